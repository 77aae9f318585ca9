"""HTTP servers: a cherrypy application on a server of its own.

Each server has its own application and its own threads; the global engine,
tree and server of cherrypy are not used, so several servers fit in one process
and none installs signal handlers.
"""

import threading
from contextlib import AbstractContextManager
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self

import cherrypy
from cheroot import wsgi
from cheroot.server import HTTPConnection

from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log

THREADS = 64
"""Requests handled at the same time, most of them waiting log polls."""
WAITING_CONNECTIONS = 256
"""Connections with a request that wait for a thread; more are closed."""
IDLE_CONNECTIONS = 512
"""Idle connections kept open; beyond it each response closes its connection."""
QUEUE_TIMEOUT = 1
"""Seconds for which a connection waits for room in that queue."""
SESSION_IDLE = Seconds(30.0)
"""An idle connection is closed after this time."""
READ_TIMEOUT = Seconds(2.0)
"""A connection that goes silent within a request is closed after this time."""
MAX_HEADER_BYTES = 16_384
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
        log(ControlEvent.HTTP_CONNECTION_FAILED, reason=msg)


class HttpServer(AbstractContextManager["HttpServer"]):
    """Server that runs while its context is open.

    :param root: exposed object; its attributes are the path segments.
    :param max_body: largest request body in bytes.
    """

    def __init__(
        self, name: str, bind: Endpoint, root: object, max_body: int, threads: int
    ) -> None:
        self._name = name
        self._server = _Server(
            (bind.address, bind.port),
            _application(root),
            numthreads=threads,
            server_name=name,
            max=threads,
            request_queue_size=WAITING_CONNECTIONS,
            timeout=int(SESSION_IDLE),
            accepted_queue_size=WAITING_CONNECTIONS,
            accepted_queue_timeout=QUEUE_TIMEOUT,
        )
        self._server.ConnectionClass = _Connection
        self._server.keep_alive_conn_limit = IDLE_CONNECTIONS
        self._server.max_request_body_size = max_body
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
        log(ControlEvent.HTTP_STARTED, address=bound.address, port=bound.port)
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
    name: str, bind: Endpoint, root: object, max_body: int, threads: int | None = None
) -> HttpServer:
    """Server for an exposed object; port 0 takes a free one.

    :param threads: :data:`THREADS` by default.
    """
    return HttpServer(name, bind, root, max_body, threads or THREADS)


def json_response(status: int, message: Any, declared: Any = None) -> bytes:
    """Set status and type of the running response; returns its body."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    return encode(message, declared)


def error_response(status: int, error: str, message: str) -> bytes:
    """Error with a typed body."""
    return json_response(status, ApiError(error, message))


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
    for logger in (application.log.access_log, application.log.error_log):
        # Numbered events replace the logs of the framework.
        logger.propagate = False
        logger.disabled = True
    return application


def _error_page(status: str, message: str, traceback: str, version: str) -> bytes:
    code = int(status.split()[0])
    if code >= 500:
        log(ControlEvent.HTTP_FAILED, traceback=cherrypy._cperror.format_exc())
    cherrypy.response.headers["Content-Type"] = JSON_TYPE
    reason = status.partition(" ")[2].lower().replace(" ", "-")
    return encode(ApiError(reason, message))
