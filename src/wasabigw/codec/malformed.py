"""Why a datagram could not be used."""

from dataclasses import dataclass
from enum import Enum


class MalformedCause(Enum):
    """Cause by which malformed packets are counted."""

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
    """A datagram that can't be used.

    :param offset: byte of the datagram at which the fault was found.
    """

    cause: MalformedCause
    offset: int
