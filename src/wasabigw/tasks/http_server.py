"""HTTP servers: a cherrypy application on a server of its own.

The global engine, tree and server of cherrypy are not used, so that several
servers fit in one process and none installs signal handlers or reloads code.
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
from wasabigw.tasks.traffic import TrafficMailbox, WsgiApplication, count_traffic
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.log_events import log

IDLE_CONNECTIONS = 512
"""Idle connections that are kept; beyond it a response closes its connection."""
SESSION_IDLE = Seconds(30.0)
"""An idle connection is closed after this time."""
READ_TIMEOUT = Seconds(2.0)
"""A connection that goes silent within a request is closed after this time."""
MAX_HEADER_BYTES = 16_384
COMPRESSED_FROM = 2_048
"""Bytes of a body from which on it is compressed; smaller ones fill few packets."""
COMPRESSION_LEVEL = 6
DISCARDED_BYTES = 4 * 2**20
"""Largest body that is read although it is refused for its size."""
JSON_TYPE = "application/json"


@dataclass(frozen=True, slots=True)
class ApiError:
    """Body of an error response.

    :param error: short code that programs can test.
    :param message: what was wrong, where, and what to do.
    """

    error: str
    message: str


class _Connection(HTTPConnection):
    """Connection that frees its thread when the client goes silent."""

    def communicate(self) -> bool:
        self.socket.settimeout(READ_TIMEOUT)
        return bool(super().communicate())  # type: ignore[no-untyped-call]


class _Server(wsgi.Server):
    """Server that reports failed connections as events."""

    def error_log(self, msg: str = "", level: int = 0, traceback: bool = False) -> None:
        log(HttpEvent.CONNECTION_FAILED, name=self.server_name, reason=msg)


class HttpServer(AbstractContextManager["HttpServer"]):
    """Server that runs while its context is open.

    :param root: exposed object; its attributes are the path segments.
    :param max_body: largest request body in bytes.
    :param limits: its ``http_threads`` are the requests handled at the same time;
        ``http_queue`` further connections wait, and those beyond it get a 503.
    :param traffic: receives the bytes of each request and its answer.
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
            count_traffic(_limited(_application(root), max_body), traffic),
            numthreads=limits.http_threads,
            max=limits.http_threads,
            server_name=name,
            request_queue_size=limits.http_queue,
            timeout=int(SESSION_IDLE),
            accepted_queue_size=limits.http_queue,
            # The thread that accepts connections must not wait for a worker.
            accepted_queue_timeout=0,
        )
        self._server.ConnectionClass = _Connection
        self._server.keep_alive_conn_limit = IDLE_CONNECTIONS
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
    """Server for an exposed object; port 0 takes a free one."""
    return HttpServer(name, bind, root, max_body, limits, traffic)


def json_response(status: int, message: Any, declared: Any = None) -> bytes:
    """Set status and type of the running response; returns its body.

    A large body is compressed if the client accepts that.
    """
    cherrypy.response.status = int(status)
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    body = encode(message, declared)
    if len(body) < COMPRESSED_FROM or not _accepts_gzip():
        return body
    cherrypy.response.headers["Content-Encoding"] = "gzip"
    return compressed(body)


def compressed(body: bytes) -> bytes:
    """Body with the content encoding ``gzip`` (RFC 9110); the same for equal bodies."""
    return gzip.compress(body, COMPRESSION_LEVEL, mtime=0)


def _accepts_gzip() -> bool:
    accepted = cherrypy.request.headers.elements("Accept-Encoding")
    return any(entry.value == "gzip" and entry.qvalue > 0 for entry in accepted)


def error_response(status: int, error: str, message: str) -> bytes:
    """Error with a typed body."""
    return json_response(status, ApiError(error, message))


def _limited(application: WsgiApplication, max_body: int) -> WsgiApplication:
    """Refuse larger bodies with a typed error; the server's own one is plain text.

    The body is read up to :data:`DISCARDED_BYTES`: a client that still sends when
    the connection is closed gets a reset and never sees the error.
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
    remaining = length if length <= DISCARDED_BYTES else 0
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
    # Numbered events replace the logs of the framework.
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
