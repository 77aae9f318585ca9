"""Records with a checksum, one JSON object per line."""

import zlib
from typing import Any

from returns.result import Failure, Result

from wasabigw.codec.messages import UnknownKeys, decode, encode

_PREFIX = b'{"crc32":"'
_MIDDLE = b'","record":'
_SUFFIX = b"}"
_DIGITS = 8
_PAYLOAD_AT = len(_PREFIX) + _DIGITS + len(_MIDDLE)


def write_record(record: Any) -> bytes:
    """Encode a record as a line with its line feed."""
    payload = encode(record)
    return b"".join((_PREFIX, _checksum(payload), _MIDDLE, payload, _SUFFIX, b"\n"))


def read_record(line: bytes, expected: Any) -> Result[Any, str]:
    """Decode a line without its line feed; the failure describes what is wrong."""
    payload = line[_PAYLOAD_AT : -len(_SUFFIX)]
    head = _PREFIX + _checksum(payload) + _MIDDLE
    if line[:_PAYLOAD_AT] != head or line[-len(_SUFFIX) :] != _SUFFIX:
        return Failure("the record is incomplete or its CRC-32 does not match")
    # A newer version may have written the record before a downgrade to this one.
    decoded = decode(payload, expected, UnknownKeys.IGNORE)
    return decoded.alt(lambda problem: f"unexpected data: {problem}")


def read_single_record(data: bytes, expected: Any) -> Result[Any, str]:
    """Decode a file that holds exactly one record."""
    if not data.endswith(b"\n") or data.count(b"\n") != 1:
        return Failure("the file is incomplete or holds more than one record")
    return read_record(data[:-1], expected)


def _checksum(payload: bytes) -> bytes:
    return b"%08x" % zlib.crc32(payload)
