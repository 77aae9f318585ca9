"""Rules for ids: names that people choose, and ids that backend servers announce."""

MAX_NAME_LENGTH = 63
NAME_RULE = "1 to 63 lowercase letters, digits and inner hyphens"
NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
"""The same rule as a regular expression, for JSON schemas."""

_EDGE = frozenset("abcdefghijklmnopqrstuvwxyz0123456789")
_INNER = _EDGE | {"-"}


def is_name(text: str) -> bool:
    """Whether a text follows :data:`NAME_RULE`."""
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        return False
    ends_well = text[0] in _EDGE and text[-1] in _EDGE
    return ends_well and all(character in _INNER for character in text)


def name_problem(kind: str, name: str) -> str | None:
    """What is wrong with an id, or ``None``.

    :param kind: what the id names, for the message.
    """
    if is_name(name):
        return None
    return f"{kind} id {name[:MAX_NAME_LENGTH]!a} must have {NAME_RULE}"


def announced_id_problem(kind: str, announced: str) -> str | None:
    """What is wrong with an id that a backend server announces, or ``None``.

    Such ids come from the platform and are only compared, so they may be host names
    or random text.
    """
    short_enough = 0 < len(announced) <= MAX_NAME_LENGTH
    if short_enough and announced.isprintable() and " " not in announced:
        return None
    return (
        f"{kind} id {announced[:MAX_NAME_LENGTH]!a} must have 1 to {MAX_NAME_LENGTH} "
        "printable characters and no spaces"
    )
