"""API of a balancer: announcements, status, flows, handover and local removal.

The handlers hold no state: they post a message to the packet task and wait for its
reply. The body of an error is an :class:`ApiError`.
"""

import ipaddress
from dataclasses import dataclass
from functools import singledispatch
from http import HTTPStatus
from typing import Any

import cherrypy
from returns.result import Failure, Success

from wasabigw.codec.messages import UnknownKeys
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementOutcome,
    AnnouncementRedirected,
    AnnouncementRefused,
)
from wasabigw.core.states import Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.http_bodies import (
    bad_request,
    endpoint_from,
    has_token,
    read_message,
    retry_later,
    unauthorized,
)
from wasabigw.tasks.http_server import HttpServer, json_response, make_http_server
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.messages import (
    AnnouncementRequest,
    FlowRequest,
    HandoverRequest,
    LocalOutRequest,
    StatusRequest,
)
from wasabigw.tasks.metrics_task import MetricsRequest

REPLY_TIMEOUT = Seconds(2.0)
"""Maximum wait for a reply of the packet task."""


@dataclass(frozen=True, slots=True)
class BalancerApiSettings:
    """Settings of the API of a balancer.

    :param token: bearer token of operators.
    """

    bind: Endpoint
    token: str
    limits: ProcessLimits = DEFAULT_LIMITS


class _Resource:
    """Base class of the resources, which gives access to the packet task."""

    exposed = True

    def __init__(self, packets: Mailbox[Any], settings: BalancerApiSettings) -> None:
        self._packets = packets
        self._settings = settings

    def _call(self, message: Any) -> bytes:
        """Post a message with a ``reply`` mailbox and encode the reply."""
        if isinstance(self._packets.post(message), Failure):
            return retry_later(
                "overloaded", "The mailbox of the balancer is full; retry."
            )
        outcome = message.reply.get(REPLY_TIMEOUT)
        if isinstance(outcome, Success):
            return _respond(outcome.unwrap())
        return retry_later("no-answer", "The balancer did not answer in time; retry.")


class _Announcements(_Resource):
    """``POST /v1/announcements``."""

    def POST(self) -> bytes:  # noqa: N802 - method names of cherrypy
        """Announce a backend server, or redirect the announcement to its home."""
        limit = self._settings.limits.request_body_bytes
        decoded = read_message(Announcement, limit, UnknownKeys.IGNORE)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        return self._call(AnnouncementRequest(decoded.unwrap(), _reply_mailbox()))


class _Status(_Resource):
    """``GET /v1/status``."""

    def GET(self) -> bytes:  # noqa: N802
        """Revision in force, freshness and counters."""
        return self._call(StatusRequest(_reply_mailbox()))


class _Flows(_Resource):
    """``GET /v1/flows``."""

    def GET(  # noqa: N802
        self, protocol: Any = None, caller: Any = None, service: Any = None
    ) -> bytes:
        """Path of the packets of a flow."""
        protocols = {member.name.lower(): member for member in Protocol}
        chosen = protocols.get(protocol) if isinstance(protocol, str) else None
        if chosen is None:
            return bad_request(
                f"parameter protocol must be one of: {', '.join(protocols)}"
            )
        endpoints = (_ipv4_endpoint(caller), _ipv4_endpoint(service))
        if endpoints[0] is None or endpoints[1] is None:
            return bad_request(
                "parameters caller and service must be given as 10.0.0.1:80"
            )
        return self._call(
            FlowRequest(chosen, endpoints[0], endpoints[1], _reply_mailbox())
        )


class _Handover(_Resource):
    """``POST /v1/handover``."""

    def __init__(
        self, packets: Mailbox[Any], settings: BalancerApiSettings, body: type
    ) -> None:
        super().__init__(packets, settings)
        self._body = body

    def POST(self) -> bytes:  # noqa: N802
        """Take over records from a draining balancer."""
        limit = self._settings.limits.request_body_bytes
        decoded = read_message(self._body, limit, UnknownKeys.IGNORE)
        if isinstance(decoded, Failure):
            return bad_request(decoded.failure())
        return self._call(HandoverRequest(decoded.unwrap(), _reply_mailbox()))


class _Out(_Resource):
    """``POST /v1/local/out``."""

    def POST(self) -> bytes:  # noqa: N802
        """Take the local failure domain out of service at this balancer."""
        if not has_token(self._settings.token):
            return unauthorized()
        return self._call(LocalOutRequest(_reply_mailbox()))


class _Metrics(_Resource):
    """``GET /v1/metrics``; its messages go to the metrics task."""

    def GET(self) -> bytes:  # noqa: N802
        """All metrics of this process."""
        return self._call(MetricsRequest(_reply_mailbox()))


class _Local:
    """Resources of ``/v1/local``."""

    def __init__(self, packets: Mailbox[Any], settings: BalancerApiSettings) -> None:
        self.out = _Out(packets, settings)


class _Version1:
    """Resources of ``/v1``."""

    def __init__(
        self,
        packets: Mailbox[Any],
        settings: BalancerApiSettings,
        handover: type,
        metrics: Mailbox[Any] | None,
    ) -> None:
        if metrics is not None:
            self.metrics = _Metrics(metrics, settings)
        self.announcements = _Announcements(packets, settings)
        self.status = _Status(packets, settings)
        self.flows = _Flows(packets, settings)
        self.handover = _Handover(packets, settings, handover)
        self.local = _Local(packets, settings)


class _Root:
    """Root of the balancer API."""

    def __init__(self, version1: _Version1) -> None:
        self.v1 = version1


def make_balancer_server(
    packets: Mailbox[Any],
    settings: BalancerApiSettings,
    handover: type,
    metrics: Mailbox[Any] | None = None,
) -> HttpServer:
    """Create the HTTP server of a balancer.

    :param packets: mailbox of the packet task.
    :param handover: type that the body of ``POST /v1/handover`` is decoded as.
    :param metrics: mailbox of the metrics task.
    """
    root = _Root(_Version1(packets, settings, handover, metrics))
    limits = settings.limits
    return make_http_server(
        "balancer", settings.bind, root, limits.request_body_bytes, limits, metrics
    )


@singledispatch
def _respond(reply: object) -> bytes:
    return json_response(HTTPStatus.OK, reply)


@_respond.register
def _(reply: AnnouncementAccepted) -> bytes:
    return json_response(HTTPStatus.OK, reply, AnnouncementOutcome)


@_respond.register
def _(reply: AnnouncementRedirected) -> bytes:
    location = f"http://{reply.api.address}:{reply.api.port}/v1/announcements"
    cherrypy.response.headers["Location"] = location
    return json_response(HTTPStatus.TEMPORARY_REDIRECT, reply, AnnouncementOutcome)


@_respond.register
def _(reply: AnnouncementRefused) -> bytes:
    if reply.retry_after is None:
        status = HTTPStatus.UNPROCESSABLE_ENTITY
    else:
        status = HTTPStatus.CONFLICT
        cherrypy.response.headers["Retry-After"] = f"{reply.retry_after:.0f}"
    return json_response(status, reply, AnnouncementOutcome)


def _reply_mailbox() -> Mailbox[Any]:
    return Mailbox("reply", capacity=1)


def _ipv4_endpoint(text: Any) -> Endpoint | None:
    endpoint = endpoint_from(text)
    if endpoint is None:
        return None
    try:
        ipaddress.IPv4Address(endpoint.address)
    except ValueError:
        return None
    return endpoint
