"""Causes for which datagrams are discarded as malformed."""

from dataclasses import dataclass
from enum import Enum


class MalformedCause(Enum):
    """Cause under which a malformed datagram is counted."""

    FRAME_TOO_SHORT = "frame-too-short"
    GENEVE_VERSION = "geneve-version"
    GENEVE_OPTIONS = "geneve-options"
    UNKNOWN_CRITICAL_OPTION = "unknown-critical-option"
    INNER_PROTOCOL = "inner-protocol"
    IP_VERSION = "ip-version"
    IP_LENGTH = "ip-length"
    TRANSPORT_LENGTH = "transport-length"
    UNSUPPORTED_TRANSPORT = "unsupported-transport"
    UNSUPPORTED_ICMP = "unsupported-icmp"
    QUOTED_PACKET = "quoted-packet"


@dataclass(frozen=True, slots=True)
class Malformed:
    """A datagram that could not be decoded.

    :param offset: offset in the datagram at which decoding failed.
    """

    cause: MalformedCause
    offset: int
