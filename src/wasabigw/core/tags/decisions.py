"""What to do with a packet of a caller."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.registration import Registration
from wasabigw.core.tags.packets import FlowPacket


class RefuseReason(Enum):
    """Why a caller gets a reset."""

    NO_LISTENER = "no-listener"
    NO_SERVER = "no-server"
    SERVER_ENDED = "server-ended"


class DropReason(Enum):
    """Why a packet is dropped without an answer."""

    NO_TAG = "no-tag"
    UNKNOWN_TAG = "unknown-tag"
    UNSURE_OF_LISTENER = "unsure-of-listener"
    UNSURE_OF_SERVERS = "unsure-of-servers"
    NO_VIEW = "no-view"


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send the packet to a backend server, with the tag of that server."""

    packet: FlowPacket
    server: Registration


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a reset."""

    packet: FlowPacket
    reason: RefuseReason


@dataclass(frozen=True, slots=True)
class Drop:
    """Send nothing."""

    reason: DropReason


PacketDecision = Deliver | Refuse | Drop
