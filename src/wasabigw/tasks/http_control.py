"""Control API: changes, state, log polls, reports and consensus messages.

The handlers hold no state: they post a message to the voter task and wait for its
answer. Response bodies are typed; an error body is an ``ApiError`` or ``NotLeader``.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import cherrypy
from opentelemetry import trace
from returns.result import Failure, Success

from wasabigw.codec.consensus import encode_envelope
from wasabigw.codec.log_poll import poll_from_query
from wasabigw.codec.messages import UnknownKeys
from wasabigw.codec.views import encode_update
from wasabigw.core.cluster import Applied, Endpoint, Refusal
from wasabigw.core.commands import ChangeRequest
from wasabigw.core.consensus.messages import Envelope, SnapshotRequest
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.ids import NodeId, Revision, Seconds
from wasabigw.core.log_messages import (
    ChangeOutcome,
    InForce,
    LogBatch,
    NotLeader,
    RegistrationBatch,
    ReportRequest,
)
from wasabigw.core.numbers import whole_number
from wasabigw.core.states import RefusalCode
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.http_bodies import (
    bad_request,
    has_token,
    read_message,
    retry_later,
    unauthorized,
)
from wasabigw.tasks.http_server import (
    JSON_TYPE,
    HttpServer,
    error_response,
    json_response,
    make_http_server,
)
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.metrics_task import MetricsRequest, MetricsSnapshot
from wasabigw.tasks.voter_calls import (
    ChangeCall,
    InForceCall,
    OutcomeUnknown,
    Overloaded,
    PeerMessage,
    PollCall,
    RegistrationsForwarded,
    ReportCall,
    StateCall,
    StateView,
    ViewCall,
    reply_mailbox,
)
from wasabigw.telemetry.trace_context import TraceParent, parse_traceparent
from wasabigw.telemetry.tracing import hop_span, make_disabled_tracer

MAX_CONSENSUS_BYTES = 64 * 1024 * 1024
"""Maximum size of a snapshot, or of an append request with the most entries."""
MAX_REPORTS = 2_000
"""Maximum number of reports in one request."""
MAX_ID_LENGTH = 200
"""Maximum length of a request or report id in characters."""

CALL_TIMEOUT = Seconds(3.0)
"""Maximum wait for the commit of a command."""
READ_TIMEOUT = Seconds(1.0)
"""Maximum wait for an answer that needs no commit, beyond the wait of a poll."""
SNAPSHOT_TIMEOUT = Seconds(30.0)

_REFUSAL_STATUS = {
    RefusalCode.CONFLICT: HTTPStatus.CONFLICT,
    RefusalCode.NOT_FOUND: HTTPStatus.NOT_FOUND,
    RefusalCode.ALREADY_EXISTS: HTTPStatus.CONFLICT,
    RefusalCode.ENDPOINT_IN_USE: HTTPStatus.CONFLICT,
    RefusalCode.ENDPOINT_IN_QUARANTINE: HTTPStatus.CONFLICT,
    RefusalCode.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
}


@dataclass(frozen=True, slots=True)
class ControlApiSettings:
    """Settings of the control API.

    :param token: bearer token of operators.
    :param peers: voters whose consensus messages are accepted; ``None`` if any control
        VM may become one.
    """

    bind: Endpoint
    token: str
    peers: Collection[NodeId] | None
    limits: ProcessLimits = DEFAULT_LIMITS
    tracer: trace.Tracer = field(default_factory=make_disabled_tracer)


class _Resource:
    """Base class of the resources, which gives access to the voter task."""

    exposed = True

    def __init__(self, voter: Mailbox[Any], settings: ControlApiSettings) -> None:
        self._voter = voter
        self._settings = settings

    def _call(self, message: Any, timeout: Seconds) -> bytes:
        """Post a message with a ``reply`` mailbox and encode the answer."""
        if isinstance(self._voter.post(message), Failure):
            return retry_later("overloaded", "The mailbox of the voter is full; retry.")
        outcome = message.reply.get(timeout)
        if isinstance(outcome, Success):
            return _respond(outcome.unwrap())
        return _respond(OutcomeUnknown())


class _Changes(_Resource):
    """``POST /v1/changes``."""

    def POST(self) -> bytes:  # noqa: N802 - method names of cherrypy
        """Accept an operator's change."""
        if not has_token(self._settings.token):
            return unauthorized()
        decoded = read_message(ChangeRequest, self._settings.limits.request_body_bytes)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        request: ChangeRequest = decoded.unwrap()
        problem = _id_problem("request_id", request.request_id)
        if problem is not None:
            return bad_request(problem)
        with hop_span(self._settings.tracer, "control.change", _client_span()) as hop:
            call = ChangeCall(request, reply_mailbox("change"), hop)
            return self._call(call, CALL_TIMEOUT)


class _State(_Resource):
    """``GET /v1/state``."""

    def GET(self) -> bytes:  # noqa: N802
        """Current configuration."""
        if not has_token(self._settings.token):
            return unauthorized()
        return self._call(StateCall(reply_mailbox("state")), READ_TIMEOUT)


class _InForce(_Resource):
    """``GET /v1/in-force``."""

    def GET(self, revision: Any = None) -> bytes:  # noqa: N802
        """Which nodes have applied a revision, by default that of the configuration."""
        if not has_token(self._settings.token):
            return unauthorized()
        wanted: Revision | None = None
        if revision is not None:
            number = whole_number(revision)
            if number is None:
                return bad_request("parameter revision must be a whole number")
            wanted = Revision(number)
        return self._call(InForceCall(wanted, reply_mailbox("in-force")), READ_TIMEOUT)


class _Log(_Resource):
    """``GET /v1/log``."""

    def GET(self, **query: Any) -> bytes:  # noqa: N802
        """Log poll of a balancer."""
        poll = poll_from_query(query)
        if isinstance(poll, Failure):
            return bad_request(str(poll.failure()))
        message = PollCall(poll.unwrap(), reply_mailbox("poll"))
        timeout = Seconds(min(message.poll.wait, CALL_TIMEOUT) + READ_TIMEOUT)
        return self._call(message, timeout)


class _View(_Resource):
    """``GET /v1/view``."""

    def GET(self, after: Any = None, wait_ms: Any = "0") -> bytes:  # noqa: N802
        """Changes of the delivery view after a revision."""
        revision, milliseconds = whole_number(after), whole_number(wait_ms)
        if revision is None or milliseconds is None:
            return bad_request("parameters after and wait_ms must be whole numbers")
        wait = Seconds(min(milliseconds / 1000, CALL_TIMEOUT))
        message = ViewCall(Revision(revision), wait, reply_mailbox("view"))
        return self._call(message, Seconds(wait + READ_TIMEOUT))


class _Reports(_Resource):
    """``POST /v1/reports``."""

    def POST(self) -> bytes:  # noqa: N802
        """Accept reports from a balancer."""
        limit = self._settings.limits.request_body_bytes
        decoded = read_message(ReportRequest, limit, UnknownKeys.IGNORE)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        request: ReportRequest = decoded.unwrap()
        problem = _id_problem("report_id", request.report_id)
        if problem is not None:
            return bad_request(problem)
        if not 0 < len(request.reports) <= MAX_REPORTS:
            return bad_request(f"reports must contain 1 to {MAX_REPORTS} reports")
        return self._call(ReportCall(request, reply_mailbox("report")), CALL_TIMEOUT)


class _Registrations(_Resource):
    """``POST /v1/registrations``."""

    def POST(self) -> bytes:  # noqa: N802
        """Accept announcements and departures that another control VM forwards."""
        limit = self._settings.limits.request_body_bytes
        decoded = read_message(RegistrationBatch, limit, UnknownKeys.IGNORE)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        forwarded = RegistrationsForwarded(decoded.unwrap())
        if isinstance(self._voter.post(forwarded), Failure):
            return retry_later("overloaded", "The mailbox of the voter is full; retry.")
        cherrypy.response.status = int(HTTPStatus.ACCEPTED)
        return b""


class _Consensus(_Resource):
    """``POST /v1/consensus``."""

    def POST(self) -> bytes:  # noqa: N802
        """Pass a message from another voter to the voter task."""
        decoded = read_message(Envelope, MAX_CONSENSUS_BYTES, UnknownKeys.IGNORE)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        envelope = decoded.unwrap()
        peers = self._settings.peers
        if peers is not None and envelope.sender not in peers:
            return error_response(
                HTTPStatus.FORBIDDEN,
                "unknown-voter",
                f"{envelope.sender} is not a voter of this cluster; add it to the "
                "voters in the settings of each voter",
            )
        is_snapshot = isinstance(envelope.body, SnapshotRequest)
        reply: Mailbox[Any] = reply_mailbox("consensus")
        if isinstance(self._voter.post(PeerMessage(envelope, reply)), Failure):
            return retry_later("overloaded", "The mailbox of the voter is full; retry.")
        outcome = reply.get(SNAPSHOT_TIMEOUT if is_snapshot else READ_TIMEOUT)
        if not isinstance(outcome, Success):
            return retry_later("no-answer", "The voter did not answer in time.")
        cherrypy.response.headers["Content-Type"] = JSON_TYPE
        return encode_envelope(outcome.unwrap())


class _Metrics(_Resource):
    """``GET /v1/metrics``; its messages go to the metrics task."""

    def GET(self) -> bytes:  # noqa: N802
        """All metrics of this process."""
        return self._call(MetricsRequest(reply_mailbox("metrics")), READ_TIMEOUT)


class _Version1:
    """Resources of ``/v1``; cherrypy maps a dash in a path to an underscore."""

    def __init__(
        self,
        voter: Mailbox[Any],
        settings: ControlApiSettings,
        metrics: Mailbox[Any] | None,
    ) -> None:
        if metrics is not None:
            self.metrics = _Metrics(metrics, settings)
        self.changes = _Changes(voter, settings)
        self.state = _State(voter, settings)
        self.in_force = _InForce(voter, settings)
        self.log = _Log(voter, settings)
        self.view = _View(voter, settings)
        self.reports = _Reports(voter, settings)
        self.registrations = _Registrations(voter, settings)
        self.consensus = _Consensus(voter, settings)


class _Root:
    """Root of the control API."""

    def __init__(self, version1: _Version1) -> None:
        self.v1 = version1


def make_control_server(
    voter: Mailbox[Any],
    settings: ControlApiSettings,
    metrics: Mailbox[Any] | None = None,
) -> HttpServer:
    """Create the HTTP server of a voter.

    :param voter: mailbox of the voter task.
    :param metrics: mailbox of the metrics task.
    """
    root = _Root(_Version1(voter, settings, metrics))
    return make_http_server(
        "control", settings.bind, root, MAX_CONSENSUS_BYTES, settings.limits, metrics
    )


@singledispatch
def _respond(answer: object) -> bytes:
    raise TypeError(f"unexpected answer of the voter task: {answer!r}")


@_respond.register
def _(answer: Applied) -> bytes:
    return json_response(HTTPStatus.OK, answer, ChangeOutcome)


@_respond.register
def _(answer: Refusal) -> bytes:
    return json_response(_REFUSAL_STATUS[answer.code], answer, ChangeOutcome)


@_respond.register
def _(answer: LogBatch) -> bytes:
    return json_response(HTTPStatus.OK, answer, LogBatch | NotLeader)


@_respond.register
def _(answer: ViewUpdate) -> bytes:
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return encode_update(answer)


@_respond.register
def _(answer: StateView) -> bytes:
    return json_response(HTTPStatus.OK, answer)


@_respond.register
def _(answer: InForce) -> bytes:
    return json_response(HTTPStatus.OK, answer)


@_respond.register
def _(answer: MetricsSnapshot) -> bytes:
    return json_response(HTTPStatus.OK, answer)


@_respond.register
def _(answer: NotLeader) -> bytes:
    if answer.leader is None:
        cherrypy.response.headers["Retry-After"] = "1"
        return json_response(HTTPStatus.SERVICE_UNAVAILABLE, answer, ChangeOutcome)
    request = cherrypy.request
    query = f"?{request.query_string}" if request.query_string else ""
    host = f"{answer.leader.address}:{answer.leader.port}"
    location = f"http://{host}{request.path_info}{query}"
    cherrypy.response.headers["Location"] = location
    return json_response(HTTPStatus.TEMPORARY_REDIRECT, answer, ChangeOutcome)


@_respond.register
def _(answer: OutcomeUnknown) -> bytes:
    return retry_later(
        "outcome-unknown",
        "No majority confirmed the request in time; it may still take effect. "
        "Repeat it with the same id.",
    )


@_respond.register
def _(answer: Overloaded) -> bytes:
    return retry_later("overloaded", f"{answer.message}; nothing was done. Retry.")


def _client_span() -> TraceParent | None:
    """Span of the client from the ``traceparent`` header of W3C Trace Context."""
    text = cherrypy.request.headers.get("traceparent", "")
    return parse_traceparent(text).value_or(None)


def _id_problem(name: str, value: str) -> str | None:
    if 0 < len(value) <= MAX_ID_LENGTH:
        return None
    return f"{name} must have 1 to {MAX_ID_LENGTH} characters"
