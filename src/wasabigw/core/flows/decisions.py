"""Decisions about flows, which a front end executes.

An event for a packet yields exactly one disposition (``SendToBackend``,
``ReturnToCaller``, ``ForwardToNode``, ``Refuse`` or ``Drop``), and may yield further
decisions besides it.
"""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.flows.forwarding import Forwarding
from wasabigw.core.flows.handover import Handover
from wasabigw.core.flows.targets import Target
from wasabigw.core.home_events import SendReports
from wasabigw.core.ids import FlowKey, NodeId, Seconds

__all__ = [
    "Decision",
    "Disposition",
    "Drop",
    "DropReason",
    "ForwardToNode",
    "RefusalReason",
    "Refuse",
    "ReturnToCaller",
    "SendBinding",
    "SendHandover",
    "SendReports",
    "SendToBackend",
]


class DropReason(Enum):
    """Why a packet was dropped."""

    NO_VIEW = "no-view"
    STALE_VIEW = "stale-view"
    AMBIGUOUS = "ambiguous"
    HOP_LIMIT = "hop-limit"
    NO_HOME = "no-home"
    NOT_A_CANDIDATE = "not-a-candidate"
    RELEASING = "releasing"
    SETTLING = "settling"
    OUT_OF_SERVICE = "out-of-service"
    UNKNOWN_FLOW = "unknown-flow"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_BACKEND_SERVER = "unknown-backend-server"
    NOT_ANNOUNCED = "not-announced"
    TAKEOVER_WAIT = "takeover-wait"
    RATE_LIMITED = "rate-limited"
    UNREACHABLE = "unreachable"
    HEALING = "healing"
    WAITING = "waiting"
    RESET_IN_DOUBT = "reset-in-doubt"
    REPLY_RATE_LIMITED = "reply-rate-limited"


class RefusalReason(Enum):
    """Why a packet of a caller was refused."""

    UNKNOWN_DESTINATION = "unknown-destination"
    NO_BACKEND_SERVER = "no-backend-server"
    AT_LIMIT = "at-limit"
    TABLE_FULL = "table-full"
    FLOW_GONE = "flow-gone"


@dataclass(frozen=True, slots=True)
class SendToBackend:
    """Send the packet to a backend server."""

    target: Target


@dataclass(frozen=True, slots=True)
class ReturnToCaller:
    """Send a packet of a backend server to the caller, from the service address."""

    target: Target


@dataclass(frozen=True, slots=True)
class ForwardToNode:
    """Forward the packet to another balancer, which decides on it."""

    node: NodeId
    forwarding: Forwarding


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the packet and notify the caller, by a reset or an ICMP error."""

    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Drop:
    """Discard the packet."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class SendBinding:
    """Send another balancer the backend server of a flow, to be cached."""

    node: NodeId
    flow: FlowKey
    backend_index: int
    lifetime: Seconds


@dataclass(frozen=True, slots=True)
class SendHandover:
    """Send flow records to the new home of a backend server."""

    node: NodeId
    handover: Handover


Disposition = SendToBackend | ReturnToCaller | ForwardToNode | Refuse | Drop
Decision = Disposition | SendBinding | SendReports | SendHandover
