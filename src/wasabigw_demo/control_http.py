"""HTTP server of a stand-in, in threads that own nothing."""

import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

import cherrypy
from cheroot import wsgi

from wasabigw.core.cluster import Endpoint
from wasabigw_demo.addresses import as_pair

MAX_BODY = 64 * 1024
THREADS = 2


@contextmanager
def serve(root: Any, listen: Endpoint) -> Iterator[Endpoint]:
    """Serve the exposed methods of ``root``; yields the bound endpoint."""
    configuration = {"/": {"tools.json_out.on": True, "request.show_tracebacks": False}}
    application = cherrypy.Application(root, "", configuration)
    application.log.access_log.propagate = False
    server = wsgi.Server(as_pair(listen), application, numthreads=THREADS)
    server.max_request_body_size = MAX_BODY
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
    """Serve a method of a root object for one HTTP method."""

    def mark(handler: Handler) -> Handler:
        allowed = cherrypy.tools.allow(methods=[method])(handler)
        result: Handler = cherrypy.expose(allowed)
        return result

    return mark


def refuse(problem: str) -> None:
    """Answer the current request with 400 and say what was wrong."""
    raise cherrypy.HTTPError(400, problem)
