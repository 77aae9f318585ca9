"""Events and decisions of the request rules in :mod:`wasabigw.core.requests`."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import BackendServerId, RequestId, Seconds


class RefusalReason(Enum):
    """Why a request was refused."""

    DEADLINE_PASSED = "deadline-passed"
    TABLE_FULL = "table-full"
    SHED = "shed"
    NOT_SENT = "not-sent"
    REPEATED_ID = "repeated-id"


class RequestStage(Enum):
    """How far a request has come."""

    MAY_BE_SENT = "may-be-sent"
    """A forward was decided; from now on the backend server may have it."""
    SENT = "sent"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request is complete.

    :param id: drawn anew for each request.
    :param repeatable: an idempotent request that its service lets be retried.
    :param deadline: time by which the caller must have the response.
    """

    id: RequestId
    idempotent: bool
    repeatable: bool
    deadline: Seconds
    now: Seconds


@dataclass(frozen=True, slots=True)
class RequestForwarded:
    """At least one byte of an attempt went to a backend server."""

    id: RequestId
    attempt: int
    backend_server: BackendServerId
    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """A part of the response; parts may arrive in any order.

    :param index: position, from 0.
    """

    id: RequestId
    attempt: int
    index: int
    data: bytes
    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """The backend server has sent all parts.

    :param parts: how many there are; some may still be on the way.
    """

    id: RequestId
    attempt: int
    parts: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller no longer waits."""

    id: RequestId
    now: Seconds


@dataclass(frozen=True, slots=True)
class BackendRefused:
    """The backend server itself refused the attempt before running it."""

    id: RequestId
    attempt: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """The flow of an attempt ended.

    :param sent: whether any byte of the request went out on it.
    """

    id: RequestId
    attempt: int
    sent: bool
    now: Seconds


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class NodeRestarted:
    """All flows of this process are gone, but its ledger is not."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """What the disk says of a request before a restart.

    :param stage: the front end writes ``MAY_BE_SENT`` before it sends anything.
    """

    id: RequestId
    stage: RequestStage


@dataclass(frozen=True, slots=True)
class RestoredFromDisk:
    """The process started again and read its journal."""

    entries: tuple[JournalEntry, ...]
    now: Seconds


RequestEvent = (
    RequestArrived
    | RequestForwarded
    | ResponsePart
    | ResponseComplete
    | RequestCancelled
    | BackendRefused
    | FlowClosed
    | Tick
    | NodeRestarted
    | RestoredFromDisk
)


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Send the request.

    :param attempt: number to be carried by all events of this forward, from 1.
    :param backend_server: the only one it may go to; ``None`` if any will do.
    :param remaining: seconds that the backend server has left.
    """

    id: RequestId
    attempt: int
    backend_server: BackendServerId | None
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Tell the caller that there will be no response.

    :param not_run: the request certainly was not run.
    """

    id: RequestId
    not_run: bool
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class DeliverResponse:
    """Give the whole response to the caller, in this order."""

    id: RequestId
    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class DropResponse:
    """A response, or a part of one, that nobody waits for."""

    id: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class CancelAtBackend:
    """Tell the backend server that the response is no longer needed."""

    id: RequestId
    attempt: int
    backend_server: BackendServerId | None


@dataclass(frozen=True, slots=True)
class ReportUnknownOutcome:
    """Tell the caller that the request may or may not have run."""

    id: RequestId


RequestDecision = (
    ForwardRequest
    | RefuseRequest
    | DeliverResponse
    | DropResponse
    | CancelAtBackend
    | ReportUnknownOutcome
)
