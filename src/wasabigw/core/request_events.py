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
    """Progress of a request."""

    MAY_BE_SENT = "may-be-sent"
    """Forwarding was decided, so a backend server may receive the request."""
    SENT = "sent"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request arrived completely.

    :param id: unique for each request.
    :param repeatable: whether it is idempotent and its service allows retries.
    :param deadline: time by which the caller needs the response.
    """

    id: RequestId
    idempotent: bool
    repeatable: bool
    deadline: Seconds
    now: Seconds


@dataclass(frozen=True, slots=True)
class RequestForwarded:
    """At least one byte of an attempt was sent to a backend server."""

    id: RequestId
    attempt: int
    backend_server: BackendServerId
    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponsePart:
    """A part of the response arrived; parts may arrive in any order.

    :param index: position of the part, from 0.
    """

    id: RequestId
    attempt: int
    index: int
    data: bytes
    now: Seconds


@dataclass(frozen=True, slots=True)
class ResponseComplete:
    """The backend server has sent all parts.

    :param parts: number of parts; some may not have arrived yet.
    """

    id: RequestId
    attempt: int
    parts: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller cancelled the request or disconnected."""

    id: RequestId
    now: Seconds


@dataclass(frozen=True, slots=True)
class BackendRefused:
    """The backend server refused the attempt without running it."""

    id: RequestId
    attempt: int
    now: Seconds


@dataclass(frozen=True, slots=True)
class FlowClosed:
    """The flow of an attempt ended.

    :param sent: whether any byte of the request was sent on it.
    """

    id: RequestId
    attempt: int
    sent: bool
    now: Seconds


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic tick."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class NodeRestarted:
    """All flows of this process were lost, but its request table was kept."""

    now: Seconds


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """Stored progress of a request before a restart.

    :param stage: the front end stores ``MAY_BE_SENT`` before it sends any byte.
    """

    id: RequestId
    stage: RequestStage


@dataclass(frozen=True, slots=True)
class RestoredFromDisk:
    """The process restarted and read its journal."""

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
    """Send the request to a backend server.

    :param attempt: number of the attempt, from 1, which all of its events carry.
    :param backend_server: required backend server; ``None`` for any.
    :param remaining: seconds until the deadline.
    """

    id: RequestId
    attempt: int
    backend_server: BackendServerId | None
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class RefuseRequest:
    """Refuse the request to the caller.

    :param not_run: whether the request certainly was not run.
    """

    id: RequestId
    not_run: bool
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class DeliverResponse:
    """Deliver the complete response to the caller, in the order of ``parts``."""

    id: RequestId
    parts: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class DropResponse:
    """Drop a response, or a part of one, that is no longer expected."""

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
