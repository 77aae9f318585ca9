"""Rules for names that arrive from outside."""

MAX_NAME_LENGTH = 63
"""Longest id; ids are kept in tables and in the log."""


def name_problem(kind: str, name: str) -> str | None:
    """What is wrong with an id, or ``None``.

    :param kind: what the id names, for the message.
    """
    if 0 < len(name) <= MAX_NAME_LENGTH and name.isprintable() and " " not in name:
        return None
    return (
        f"{kind} id {name[:MAX_NAME_LENGTH]!r} must have 1 to {MAX_NAME_LENGTH} "
        "printable characters and no spaces"
    )
