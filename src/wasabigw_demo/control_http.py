"""HTTP server of a stand-in; its threads own no state and post to mailboxes."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import cherrypy
from cheroot import wsgi

from wasabigw.core.cluster import Endpoint
from wasabigw_demo.addresses import socket_address

MAX_REQUEST_BODY = 64 * 1024
SERVER_THREADS = 2


@contextmanager
def serve(root: Any, listen: Endpoint) -> Iterator[Endpoint]:
    """Serve the exposed methods of ``root``; yields the endpoint that was bound."""
    configuration = {"/": {"tools.json_out.on": True, "request.show_tracebacks": False}}
    application = cherrypy.Application(root, "", configuration)
    application.log.access_log.propagate = False
    server = wsgi.Server(socket_address(listen), application, numthreads=SERVER_THREADS)
    server.max_request_body_size = MAX_REQUEST_BODY
    server.prepare()
    thread = _start_thread(server)
    try:
        yield Endpoint(*server.bind_addr[:2])
    finally:
        server.stop()
        thread.join()


def _start_thread(server: wsgi.Server) -> threading.Thread:
    """Start the thread that accepts the connections of a prepared server."""
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    return thread


Handler = TypeVar("Handler", bound=Callable[..., Any])


def exposed(method: str) -> Callable[[Handler], Handler]:
    """Expose a handler method of a root object for one HTTP method."""

    def decorate(handler: Handler) -> Handler:
        allowed = cherrypy.tools.allow(methods=[method])(handler)
        result: Handler = cherrypy.expose(allowed)
        return result

    return decorate


def reject(problem: str) -> None:
    """Fail the current request with status 400 and a description of the problem."""
    raise cherrypy.HTTPError(400, problem)
