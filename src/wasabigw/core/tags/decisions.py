"""Possible decisions on a packet from a caller."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.registration import Registration
from wasabigw.core.tags.admission.held_openings import HeldOpening
from wasabigw.core.tags.packets import FlowPacket


class RefusalReason(Enum):
    """Why a packet is answered with a reset."""

    NO_LISTENER = "no-listener"
    NO_SERVER = "no-server"
    SERVER_LOST = "server-lost"
    NO_LINK_ROOM = "no-link-room"
    NO_ROOM = "no-room"


class ChoiceReason(Enum):
    """Why a backend server was chosen for an opening packet."""

    LEAST_USED_HERE = "least used in the own failure domain"
    LEAST_USED_ELSEWHERE = "least used, the own failure domain has too few"
    LOAD_SHARE_HERE = "share by load figures, in the own failure domain"
    LOAD_SHARE_ELSEWHERE = (
        "share by load figures, the own failure domain has too little room"
    )
    FREE_SLOTS = "free slots by load figures, while the service is short of room"
    UNANSWERING = "none is known to answer"
    COLD = "only cold ones are left"
    AGAIN = "it got an earlier copy of the opening"
    REPEATED = "no other one is left for a repeated opening"
    OPEN = "the flow is open there"


class DropReason(Enum):
    """Why a packet is dropped."""

    NO_TAG = "no-tag"
    UNKNOWN_TAG = "unknown-tag"
    UNSURE_OF_LISTENER = "unsure-of-listener"
    UNSURE_OF_SERVERS = "unsure-of-servers"
    NO_VIEW = "no-view"
    MAY_BE_OPEN = "may-be-open"
    LINK_FULL = "link-full"
    OPENING_EXPIRED = "opening-expired"
    NO_LINK_ROOM = "no-link-room"
    NO_ROOM = "no-room"
    HELD_ALREADY = "held-already"
    HELD_TOO_LONG = "held-too-long"


class Receiver(Enum):
    """Which backend server at an endpoint may take a delivered packet."""

    NAMED = "named"
    ANY = "any"
    """Whichever runs there: the flow's own one, or one that resets unknown flows."""


@dataclass(frozen=True, slots=True)
class Deliver:
    """Send the packet to a backend server, with the tag of that server.

    :param choice: why the backend server was chosen for an opening packet; ``None`` for
        any other packet.
    :param receiver: which backend server at its endpoint may take the packet.
    """

    packet: FlowPacket
    server: Registration
    choice: ChoiceReason | None = None
    receiver: Receiver = Receiver.NAMED


@dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller with a reset."""

    packet: FlowPacket
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Drop:
    """Discard the packet without a reply."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class Hold:
    """Keep an opening until its service has room, or until its deadline."""

    opening: HeldOpening


PacketDecision = Deliver | Refuse | Drop | Hold
