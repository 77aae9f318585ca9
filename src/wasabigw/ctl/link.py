"""HTTP client of the tool, which owns the connections and the token."""

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
from wasabigw.tasks.request_numbers import make_session
from wasabigw.telemetry.trace_context import TraceParent, format_traceparent
from wasabigw.telemetry.tracing import hop_span

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Limit on the response body; the state of a system of the target size is smaller."""
_CHUNK_BYTES = 65_536
_SCHEME = "http"


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """A request, identical for all endpoints that it is sent to.

    :param needs_token: whether the path requires the operator token.
    """

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    body: bytes | None = None
    needs_token: bool = True


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """Final response to a request."""

    endpoint: Endpoint
    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class CallFailed:
    """No endpoint sent a final response before the deadline.

    :param outcome_unknown: whether a server may have acted on the request.
    :param reason: outcome of the last attempt.
    """

    outcome_unknown: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts for one endpoint, in seconds."""

    connect: Seconds
    read: Seconds


@dataclass(frozen=True, slots=True)
class _Attempt:
    event: CallEvent
    reason: str
    response: ApiResponse | None = None


class ApiLink(AbstractContextManager["ApiLink"]):
    """HTTP client of one run of the tool."""

    def __init__(self, token: Token, timeouts: Timeouts, tracer: trace.Tracer) -> None:
        self._token = token
        self._timeouts = timeouts
        self._tracer = tracer
        # A proxy from the environment would receive the token, and a .netrc entry
        # would replace it; sessions made by make_session ignore both.
        self._session = make_session()
        self._last_responder: Endpoint | None = None

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
        """Send a request until an endpoint sends a final response.

        The endpoint that responded to the previous call is tried first, so that the
        timeout of an unresponsive endpoint is spent only once.
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
        state = CallState(self._ordered(endpoints), deadline)
        attempt = _Attempt(CallStarted(monotonic()), "not sent")
        while True:
            decision = handle(attempt.event, state)
            if isinstance(decision, DeadlineExceeded):
                return Failure(CallFailed(decision.outcome_unknown, attempt.reason))
            if isinstance(decision, SendTo):
                time.sleep(decision.after)
                attempt = self._send(request, decision.endpoint, deadline, parent)
                continue
            if attempt.response is None:
                raise AssertionError("the call ended without a response")
            self._last_responder = attempt.response.endpoint
            return Success(attempt.response)

    def _ordered(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        first = [e for e in endpoints if e == self._last_responder]
        return (*first, *(e for e in endpoints if e != self._last_responder))

    def _send(
        self,
        request: ApiRequest,
        endpoint: Endpoint,
        deadline: Seconds,
        parent: TraceParent | None,
    ) -> _Attempt:
        address = endpoint_key(endpoint)
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
                # The connection may be dead, so the next attempt uses a new one.
                self._session.close()
                self._session = make_session()
                reason = f"{address}: {_reason(error)}"
                if _is_connect_failure(error):
                    return _Attempt(ConnectionFailed(monotonic()), reason)
                return _Attempt(ResponseLost(monotonic()), reason)

    def _exchange(
        self,
        request: ApiRequest,
        endpoint: Endpoint,
        deadline: Seconds,
        parent: TraceParent | None,
    ) -> _Attempt:
        remaining = max(deadline - monotonic(), 0.001)
        timeouts = (
            min(self._timeouts.connect, remaining),
            min(self._timeouts.read, remaining),
        )
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
        final = ApiResponse(endpoint, response.status_code, body)
        event = ResponseReceived(
            monotonic(),
            response.status_code,
            _location(response.headers),
            _retry_after(response.headers),
        )
        reason = f"{endpoint_key(endpoint)}: status {response.status_code}"
        return _Attempt(event, reason, final)

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

    def __enter__(self) -> Self:
        return self


def _read_body(response: requests.Response, deadline: Seconds) -> bytes:
    body = bytearray()
    for chunk in response.iter_content(_CHUNK_BYTES):
        body.extend(chunk)
        if len(body) > MAX_RESPONSE_BYTES:
            raise requests.RequestException("the response is too long")
        if monotonic() > deadline:
            raise requests.ReadTimeout("the response is too slow")
    return bytes(body)


def _location(headers: CaseInsensitiveDict[str]) -> Endpoint | None:
    """Endpoint of a redirect; ``None`` unless it has the scheme of the request."""
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


def _is_connect_failure(error: requests.RequestException) -> bool:
    if isinstance(error, requests.ConnectTimeout):
        return True
    cause = error.args[0] if error.args else None
    return isinstance(cause, MaxRetryError) and isinstance(
        cause.reason, NewConnectionError
    )


def _reason(error: requests.RequestException) -> str:
    """Kind of failure, without the library's text, which may quote the request."""
    if isinstance(error, requests.Timeout):
        return "no response in time"
    if _is_connect_failure(error):
        return "connection not established"
    return f"connection failed ({type(error).__name__})"
