"""HTTP client that finds the control leader; each wait has a time limit."""

import time
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from enum import Enum
from http import HTTPStatus
from types import TracebackType
from typing import Any

import requests
from returns.result import Failure, Result, Success
from urllib3.exceptions import MaxRetryError

from wasabigw.codec.messages import UnknownKeys, decode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import NotLeader
from wasabigw.tasks.peer_session import PeerSession
from wasabigw.tasks.traffic import TrafficMailbox, report_exchange

CONNECT_TIMEOUT = Seconds(0.5)
READ_MARGIN = Seconds(1.0)
"""Read timeout beyond the wait that the call requests."""
TRANSFER_TIMEOUT = Seconds(10.0)
"""Maximum time to receive a response body; the largest ones hold a snapshot."""
MAX_RESPONSE_BYTES = 64 * 2**20
_CHUNK_BYTES = 65_536


class ProblemKind(Enum):
    """Why a call got no response from the leader."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed-out"
    NOT_LEADER = "not-leader"
    BUSY = "busy"
    REFUSED = "refused"
    MALFORMED = "malformed"


@dataclass(frozen=True, slots=True)
class CallProblem:
    """A call without a response from the leader.

    :param leader: leader that the endpoint has named, if any.
    """

    kind: ProblemKind
    endpoint: Endpoint
    detail: str
    leader: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class ControlCall:
    """A request to the leader.

    :param expected: type of the response; a union that includes :class:`NotLeader`.
    :param wait: how long the leader may hold the request.
    """

    method: str
    path: str
    expected: Any
    query: dict[str, str] = field(default_factory=dict)
    body: bytes | None = None
    wait: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float


class ControlClient(AbstractContextManager["ControlClient"]):
    """Connection to the leader; owned by one task.

    :param endpoints: control endpoints of the settings, at least one.
    :param traffic: receives the byte counts of each request and response.
    """

    def __init__(
        self, endpoints: Sequence[Endpoint], traffic: TrafficMailbox = None
    ) -> None:
        self._endpoints = tuple(endpoints)
        self._traffic = traffic
        self._current = self._endpoints[0]
        self._session = PeerSession()

    @property
    def current(self) -> Endpoint:
        """Endpoint of the next call."""
        return self._current

    @property
    def calls_per_round(self) -> int:
        """Number of calls that try each endpoint and one redirect."""
        return len(self._endpoints) + 1

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        self._session.close()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def call(self, call: ControlCall) -> Result[Any, CallProblem]:
        """Call the current endpoint; after a problem the next endpoint becomes current.

        A problem also closes the connection, because a middlebox may have lost its
        connection state.
        """
        outcome = self._exchange(call)
        if isinstance(outcome, Failure):
            problem = outcome.failure()
            if problem.kind is not ProblemKind.REFUSED:
                self.close()
                self._current = self._next_endpoint(problem)
        return outcome

    def _next_endpoint(self, problem: CallProblem) -> Endpoint:
        if problem.leader is not None and problem.leader != self._current:
            return problem.leader
        if self._current not in self._endpoints:
            return self._endpoints[0]
        index = self._endpoints.index(self._current) + 1
        return self._endpoints[index % len(self._endpoints)]

    def _exchange(self, call: ControlCall) -> Result[Any, CallProblem]:
        try:
            status, body = self._send(call)
        except requests.Timeout as error:
            return self._problem(ProblemKind.TIMED_OUT, _reason(error))
        except (requests.RequestException, OSError) as error:
            return self._problem(ProblemKind.UNREACHABLE, _reason(error))
        if body is None:
            detail = f"the response exceeds {MAX_RESPONSE_BYTES} bytes or took too long"
            return self._problem(ProblemKind.MALFORMED, detail)
        return self._decode(call, status, body)

    def _send(self, call: ControlCall) -> tuple[int, bytes | None]:
        with self._session.open().request(
            call.method,
            f"http://{self._current.address}:{self._current.port}{call.path}",
            params=call.query,
            data=call.body,
            headers={"Content-Type": "application/json"} if call.body else None,
            timeout=(CONNECT_TIMEOUT, call.wait + READ_MARGIN),
            allow_redirects=False,
            stream=True,
        ) as response:
            body = _read_bounded(response, time.monotonic)
            report_exchange(self._traffic, response, len(body or b""))
            return response.status_code, body

    def _decode(
        self, call: ControlCall, status: int, body: bytes
    ) -> Result[Any, CallProblem]:
        decoded = decode(body, call.expected, UnknownKeys.IGNORE)
        response = decoded.unwrap() if isinstance(decoded, Success) else None
        if isinstance(response, NotLeader):
            return self._problem(
                ProblemKind.NOT_LEADER,
                "the endpoint is not the leader",
                response.leader,
            )
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            return self._problem(ProblemKind.BUSY, _text(body))
        if response is not None:
            return Success(response)
        if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return self._problem(ProblemKind.REFUSED, f"status {status}: {_text(body)}")
        detail = f"status {status}: {decoded.failure()}"
        return self._problem(ProblemKind.MALFORMED, detail)

    def _problem(
        self, kind: ProblemKind, detail: str, leader: Endpoint | None = None
    ) -> Failure[CallProblem]:
        return Failure(CallProblem(kind, self._current, detail, leader))


def _reason(error: Exception) -> str:
    """Text of the root cause; the text of the library quotes the whole request."""
    cause: BaseException = error
    while (next_cause := _cause_of(cause)) is not None:
        cause = next_cause
    text = cause.strerror if isinstance(cause, OSError) and cause.strerror else ""
    return text or type(cause).__name__


def _cause_of(error: BaseException) -> BaseException | None:
    if isinstance(error, MaxRetryError):
        return error.reason
    wrapped = [arg for arg in error.args if isinstance(arg, BaseException)]
    return wrapped[0] if wrapped else error.__cause__


def _read_bounded(
    response: requests.Response, clock: Callable[[], float]
) -> bytes | None:
    """Body of a response; ``None`` if it exceeds the limits of size or time."""
    deadline = clock() + TRANSFER_TIMEOUT
    data = bytearray()
    for chunk in response.iter_content(_CHUNK_BYTES):
        data += chunk
        if len(data) > MAX_RESPONSE_BYTES or clock() > deadline:
            return None
    return bytes(data)


def _text(body: bytes) -> str:
    return body[:500].decode(errors="replace")
