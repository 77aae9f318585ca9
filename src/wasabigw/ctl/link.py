"""HTTP calls of the tool; owns the connections and the token."""

import time
from collections.abc import Mapping, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from types import TracebackType
from typing import Self
from urllib.parse import urlsplit

import requests
from opentelemetry import trace
from requests.structures import CaseInsensitiveDict
from returns.result import Failure, Result, Success
from urllib3.exceptions import MaxRetryError, NewConnectionError

from wasabigw.core.attempts import (
    CallEvent,
    CallStarted,
    CallState,
    ConnectionFailed,
    DeadlineExceeded,
    ResponseLost,
    ResponseReceived,
    SendTo,
    handle,
)
from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw.ctl.token import Token
from wasabigw.runtime.timer import monotonic
from wasabigw.settings_types import parse_endpoint
from wasabigw.telemetry.trace_context import TraceParent, format_traceparent
from wasabigw.telemetry.tracing import hop_span

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest answer that is read; a state of the target size stays below."""
_CHUNK_BYTES = 65_536
_SCHEME = "http"


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request, the same for each endpoint that it is sent to.

    :param needs_token: whether the path requires the operator token.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    needs_token: bool = True


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Final answer to a request."""

    endpoint: Endpoint
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No endpoint gave a final answer in time.

    :param outcome_unknown: whether a server may have acted on the request.
    :param reason: what happened at the last endpoint.
    """

    outcome_unknown: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Longest waits for one endpoint, in seconds."""

    connect: Seconds
    read: Seconds


@dataclass(frozen=True, slots=True)
class _Attempt:
    event: CallEvent
    reason: str
    answer: ApiResponse | None = None


class ApiLink(AbstractContextManager["ApiLink"]):
    """HTTP connections of one run of the tool."""

    def __init__(self, token: Token, timeouts: Timeouts, tracer: trace.Tracer) -> None:
        self._token = token
        self._timeouts = timeouts
        self._tracer = tracer
        self._session = self._new_session()
        self._last_answer: Endpoint | None = None

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._session.close()

    def call(
        self, request: ApiRequest, endpoints: Sequence[Endpoint], deadline: Seconds
    ) -> Result[ApiResponse, CallFailed]:
        """Send a request until an endpoint gives a final answer.

        The endpoint that answered the call before is tried first, so that one that
        is silent costs its timeout only once.
        """
        attributes = {"http.request.method": request.method, "url.path": request.path}
        with hop_span(self._tracer, "ctl.request", attributes=attributes) as parent:
            return self._call(request, endpoints, deadline, parent)

    def _call(
        self,
        request: ApiRequest,
        endpoints: Sequence[Endpoint],
        deadline: Seconds,
        parent: TraceParent | None,
    ) -> Result[ApiResponse, CallFailed]:
        state = CallState(self._in_order(endpoints), deadline)
        attempt = _Attempt(CallStarted(monotonic()), "not sent")
        while True:
            decision = handle(attempt.event, state)
            if isinstance(decision, DeadlineExceeded):
                return Failure(CallFailed(decision.outcome_unknown, attempt.reason))
            if isinstance(decision, SendTo):
                time.sleep(decision.after)
                attempt = self._send(request, decision.endpoint, deadline, parent)
                continue
            if attempt.answer is None:
                raise AssertionError("an answer is delivered only after one arrived")
            self._last_answer = attempt.answer.endpoint
            return Success(attempt.answer)

    def _in_order(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        first = [e for e in endpoints if e == self._last_answer]
        return (*first, *(e for e in endpoints if e != self._last_answer))

    def _send(
        self,
        request: ApiRequest,
        endpoint: Endpoint,
        deadline: Seconds,
        parent: TraceParent | None,
    ) -> _Attempt:
        place = endpoint_key(endpoint)
        attributes: dict[str, str | bool | int | float] = {
            "http.request.method": request.method,
            "url.path": request.path,
            "server.address": endpoint.address,
            "server.port": endpoint.port,
        }
        with hop_span(self._tracer, "ctl.call", parent, attributes) as hop:
            try:
                return self._exchange(request, endpoint, deadline, hop)
            except requests.RequestException as error:
                # The connection may be silent for good, so the next try uses another.
                self._session.close()
                self._session = self._new_session()
                reason = f"{place}: {_reason(error)}"
                if _was_not_reached(error):
                    return _Attempt(ConnectionFailed(monotonic()), reason)
                return _Attempt(ResponseLost(monotonic()), reason)

    def _exchange(
        self,
        request: ApiRequest,
        endpoint: Endpoint,
        deadline: Seconds,
        parent: TraceParent | None,
    ) -> _Attempt:
        left = max(deadline - monotonic(), 0.001)
        timeouts = (min(self._timeouts.connect, left), min(self._timeouts.read, left))
        with self._session.request(
            request.method,
            f"{_SCHEME}://{endpoint_key(endpoint)}{request.path}",
            params=dict(request.query),
            data=request.body,
            headers=self._headers(request, parent),
            timeout=timeouts,
            allow_redirects=False,
            stream=True,
        ) as response:
            body = _read_body(response, deadline)
        answer = ApiResponse(endpoint, response.status_code, body)
        event = ResponseReceived(
            monotonic(),
            response.status_code,
            _location(response.headers),
            _retry_after(response.headers),
        )
        reason = f"{endpoint_key(endpoint)}: status {response.status_code}"
        return _Attempt(event, reason, answer)

    def _headers(
        self, request: ApiRequest, parent: TraceParent | None
    ) -> dict[str, str]:
        headers = {"Accept": "application/json"}
        if request.body is not None:
            headers["Content-Type"] = "application/json"
        if request.needs_token:
            headers["Authorization"] = self._token.authorization()
        if parent is not None:
            headers["traceparent"] = format_traceparent(parent)
        return headers

    def _new_session(self) -> requests.Session:
        session = requests.Session()
        # A proxy or a .netrc entry of the environment would get or replace the token.
        session.trust_env = False
        return session

    def __enter__(self) -> Self:
        return self


def _read_body(response: requests.Response, deadline: Seconds) -> bytes:
    body = bytearray()
    for chunk in response.iter_content(_CHUNK_BYTES):
        body.extend(chunk)
        if len(body) > MAX_RESPONSE_BYTES:
            raise requests.RequestException("the answer is too long")
        if monotonic() > deadline:
            raise requests.ReadTimeout("the answer is too slow")
    return bytes(body)


def _location(headers: CaseInsensitiveDict[str]) -> Endpoint | None:
    """Endpoint of a redirect; only the scheme that is in use is followed."""
    try:
        parts = urlsplit(headers.get("Location", ""))
        if parts.scheme != _SCHEME:
            return None
        return parse_endpoint(parts.netloc)
    except ValueError:
        return None


def _retry_after(headers: CaseInsensitiveDict[str]) -> Seconds | None:
    text = headers.get("Retry-After", "")
    is_number = text.isascii() and text.isdecimal() and len(text) <= len("86400")
    return Seconds(float(text)) if is_number else None


def _was_not_reached(error: requests.RequestException) -> bool:
    if isinstance(error, requests.ConnectTimeout):
        return True
    cause = error.args[0] if error.args else None
    return isinstance(cause, MaxRetryError) and isinstance(
        cause.reason, NewConnectionError
    )


def _reason(error: requests.RequestException) -> str:
    """Kind of a failure; the text of the library may quote the request."""
    if isinstance(error, requests.Timeout):
        return "no answer in time"
    if _was_not_reached(error):
        return "no connection"
    return f"connection failed ({type(error).__name__})"
