"""Rule for the names that people give to services, failure domains and nodes."""

MAX_NAME_LENGTH = 63
NAME_RULE = "1 to 63 lowercase letters, digits and inner hyphens"
NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
"""The same rule as a regular expression, for JSON schemas."""
MAX_PORT = 65_535

_EDGE = frozenset("abcdefghijklmnopqrstuvwxyz0123456789")
_INNER = _EDGE | {"-"}


def is_name(text: str) -> bool:
    """Whether a text follows :data:`NAME_RULE`."""
    if not 1 <= len(text) <= MAX_NAME_LENGTH:
        return False
    ends_well = text[0] in _EDGE and text[-1] in _EDGE
    return ends_well and all(character in _INNER for character in text)
