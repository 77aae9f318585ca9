"""Syntax of ids: names chosen by operators, and ids announced by backend servers."""

MAX_NAME_LENGTH = 63
NAME_RULE = "1 to 63 lowercase letters, digits and inner hyphens"
NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
""":data:`NAME_RULE` as a regular expression, for JSON schemas."""

_EDGE = frozenset("abcdefghijklmnopqrstuvwxyz0123456789")
_INNER = _EDGE | {"-"}


def is_name(text: str) -> bool:
    """Whether a text follows :data:`NAME_RULE`."""
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        return False
    has_valid_ends = text[0] in _EDGE and text[-1] in _EDGE
    return has_valid_ends and all(character in _INNER for character in text)


def name_problem(kind: str, name: str) -> str | None:
    """Error message for an invalid id, or ``None``.

    :param kind: what the id identifies, for the message.
    """
    if is_name(name):
        return None
    return f"{kind} id {name[:MAX_NAME_LENGTH]!a} must have {NAME_RULE}"


def announced_id_problem(kind: str, announced: str) -> str | None:
    """Error message for an invalid id that a backend server announced, or ``None``.

    Such ids come from the platform and are only compared for equality, so host names
    and random text are allowed.
    """
    has_valid_length = 0 < len(announced) <= MAX_NAME_LENGTH
    if has_valid_length and announced.isprintable() and " " not in announced:
        return None
    return (
        f"{kind} id {announced[:MAX_NAME_LENGTH]!a} must have 1 to {MAX_NAME_LENGTH} "
        "printable characters and no spaces"
    )
