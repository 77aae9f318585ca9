"""Packets that backend servers and balancers send to callers."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import BackendServerId, NodeId, Tag
from wasabigw.core.tags.decisions import RefusalReason
from wasabigw.core.tags.packets import FlowId, FlowPacket

PACKET_BYTES = 1200
"""Most bytes of data in a packet."""


class Kind(Enum):
    """What a packet of a backend server is for."""

    ACCEPT = "SYN+ACK"
    DATA = "data or acknowledgement"
    RESET = "RST"


@dataclass(frozen=True, slots=True)
class ServerPacket:
    """A packet from a backend server to a caller.

    :param boot: start of the backend server that sent it, counted over all of them.
    :param tag: tag that was last received on the flow.
    """

    flow: FlowId
    kind: Kind
    sender: BackendServerId
    boot: int
    tag: Tag
    sequence: int
    acknowledged: int
    length: int = 0
    closing: bool = False


@dataclass(frozen=True, slots=True)
class BalancerReset:
    """A reset that a balancer sends in place of the listener.

    :param refused: packet that is answered with the reset.
    """

    flow: FlowId
    sender: NodeId
    sequence: int
    reason: RefusalReason
    refused: FlowPacket
