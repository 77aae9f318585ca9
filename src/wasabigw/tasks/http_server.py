"""HTTP servers, each of which runs a cherrypy application on its own server.

The global engine, tree and server of cherrypy are not used, so that several
servers can run in one process and none installs signal handlers or reloads code.
"""

import gzip
import threading
from collections.abc import Iterable
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

import cherrypy
from cheroot import wsgi
from cheroot.server import HTTPConnection

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.request_numbers import return_request_number
from wasabigw.tasks.traffic import TrafficMailbox, WsgiApplication, count_traffic
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

MAX_IDLE_CONNECTIONS = 512
"""Idle connections that stay open; beyond it, a connection closes after a response."""
SESSION_IDLE = Seconds(30.0)
"""Time after which an idle connection is closed."""
READ_TIMEOUT = Seconds(2.0)
"""Time without data after which a connection is closed within a request."""
MAX_HEADER_BYTES = 16_384
MIN_COMPRESSED_BYTES = 2_048
"""Minimum size of a compressed body; smaller ones fit into a few packets anyway."""
COMPRESSION_LEVEL = 6
MAX_DISCARDED_BYTES = 4 * 2**20
"""Maximum size of a body that is read although it is rejected for its size."""
JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class ApiError:
    """Body of an error response.

    :param error: error code for programs.
    :param message: what is wrong, where, and how to correct it.
    """

    error: str
    message: str


class _Connection(HTTPConnection):
    """Connection that times out in a request, so that its thread becomes free."""

    def communicate(self) -> bool:
        self.socket.settimeout(READ_TIMEOUT)
        return bool(super().communicate())  # type: ignore[no-untyped-call]


class _Server(wsgi.Server):
    """Server that logs failed connections as events."""

    def error_log(self, msg: str = "", level: int = 0, traceback: bool = False) -> None:
        log(HttpEvent.CONNECTION_FAILED, name=self.server_name, reason=msg)


class HttpServer(AbstractContextManager["HttpServer"]):
    """Server that runs while its context is open.

    :param root: exposed object; its attributes are the path segments.
    :param max_body: maximum request body in bytes.
    :param limits: ``http_threads`` is the number of requests that are handled
        concurrently; ``http_queue`` connections are queued, further ones get a 503.
    :param traffic: receives the byte counts of each request and response.
    """

    def __init__(
        self,
        name: str,
        bind: Endpoint,
        root: object,
        max_body: int,
        limits: ProcessLimits,
        traffic: TrafficMailbox,
    ) -> None:
        self._name = name
        self._server = _Server(
            (bind.address, bind.port),
            count_traffic(
                return_request_number(_limit_body_size(_application(root), max_body)),
                traffic,
            ),
            numthreads=limits.http_threads,
            max=limits.http_threads,
            server_name=name,
            request_queue_size=limits.http_queue,
            timeout=int(SESSION_IDLE),
            accepted_queue_size=limits.http_queue,
            # The thread that accepts connections must not block on a full queue.
            accepted_queue_timeout=0,
        )
        self._server.ConnectionClass = _Connection
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{name}", daemon=True
        )

    @property
    def endpoint(self) -> Endpoint:
        """Address and port that the server listens on."""
        address, port = self._server.bind_addr[:2]
        return Endpoint(address, port)

    def __enter__(self) -> Self:
        self._server.prepare()
        self._thread.start()
        bound = self.endpoint
        log(
            HttpEvent.SERVER_STARTED,
            name=self._name,
            address=bound.address,
            port=bound.port,
        )
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.stop()
        self._thread.join()


def make_http_server(
    name: str,
    bind: Endpoint,
    root: object,
    max_body: int,
    limits: ProcessLimits = DEFAULT_LIMITS,
    traffic: TrafficMailbox = None,
) -> HttpServer:
    """Create a server for an exposed object; port 0 selects a free port."""
    return HttpServer(name, bind, root, max_body, limits, traffic)


def json_response(status: int, message: Any, declared: Any = None) -> bytes:
    """Set status and content type of the current response; returns its body.

    A large body is compressed if the client accepts gzip.
    """
    cherrypy.response.status = int(status)
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    body = encode(message, declared)
    if len(body) < MIN_COMPRESSED_BYTES or not _accepts_gzip():
        return body
    cherrypy.response.headers["Content-Encoding"] = "gzip"
    return compressed(body)


def compressed(body: bytes) -> bytes:
    """Compress a body with gzip (RFC 9110); equal bodies give equal results."""
    return gzip.compress(body, COMPRESSION_LEVEL, mtime=0)


def _accepts_gzip() -> bool:
    accepted = cherrypy.request.headers.elements("Accept-Encoding")
    return any(entry.value == "gzip" and entry.qvalue > 0 for entry in accepted)


def error_response(status: int, error: str, message: str) -> bytes:
    """Error response with a typed body."""
    return json_response(status, ApiError(error, message))


def _limit_body_size(application: WsgiApplication, max_body: int) -> WsgiApplication:
    """Reject larger bodies with a typed error; that of the server is plain text.

    The body is read up to :data:`MAX_DISCARDED_BYTES`: a client that is still
    sending when the connection is closed gets a reset and never sees the error.
    """

    def respond(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        length = environ.get("CONTENT_LENGTH") or "0"
        if not length.isdecimal() or int(length) <= max_body:
            return application(environ, start_response)
        _discard(environ, int(length))
        text = f"the body has {length} bytes; at most {max_body} are accepted"
        body = encode(ApiError("request-entity-too-large", text))
        headers = [("Content-Type", JSON_TYPE), ("Content-Length", str(len(body)))]
        start_response("413 Request Entity Too Large", headers)
        return [body]

    return respond


def _discard(environ: dict[str, Any], length: int) -> None:
    remaining = length if length <= MAX_DISCARDED_BYTES else 0
    with suppress(OSError):
        while remaining > 0:
            chunk = environ["wsgi.input"].read(min(remaining, 65_536))
            if not chunk:
                return
            remaining -= len(chunk)


def _application(root: object) -> Any:
    application = cherrypy.Application(
        root,
        "",
        {
            "/": {
                "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
                "request.process_request_body": False,
                "request.show_tracebacks": False,
                "error_page.default": _error_page,
            }
        },
    )
    # Log events of wasabigw replace the logs of the framework.
    for logger in (application.log.access_log, application.log.error_log):
        logger.propagate = False
        logger.disabled = True
    return application


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    code, _, reason = status.partition(" ")
    if int(code) >= 500:
        log(HttpEvent.HANDLER_FAILED, traceback=cherrypy._cperror.format_exc())
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return encode(ApiError(reason.lower().replace(" ", "-"), message))
