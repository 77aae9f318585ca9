"""Metrics endpoint on the light HTTP server."""

import selectors
from collections.abc import Callable, Iterable, Mapping
from contextlib import ExitStack
from http import HTTPStatus

from wasabigw.core.endpoint import Endpoint
from wasabigw.runtime.composite import CompositeContext
from wasabigw.tasks.light_http import LightRequest, LightServer, RequestHandler
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.exposition import CONTENT_TYPE, Family, render
from wasabigw.telemetry.log_events import log

METRICS_PATH = "/metrics"


class LightMetrics(CompositeContext):
    """Metrics server on the selector of a task.

    A port that can't be bound is only logged, because a process must not fail for its
    metrics.

    :param bind: endpoint of the server; ``None`` to start none.
    :param families: returns the current metrics.
    :param pages: handlers of other paths.
    """

    def __init__(
        self,
        bind: Endpoint | None,
        selector: selectors.BaseSelector,
        families: Callable[[], Iterable[Family]],
        pages: Mapping[str, RequestHandler] | None = None,
    ) -> None:
        super().__init__()
        self._pages = pages or {}
        self._bind = bind
        self._selector = selector
        self._families = families

    def _start(self, stack: ExitStack) -> None:
        if self._bind is None:
            return
        try:
            server = LightServer(self._bind, self._selector, self._handle)
            stack.enter_context(server)
        except OSError as error:
            log(HttpEvent.NO_METRICS, port=self._bind.port, reason=str(error))

    def _handle(self, request: LightRequest) -> None:
        path, _, _ = request.target.partition("?")
        page = self._pages.get(path) if request.method == "GET" else None
        if page is not None:
            page(request)
            return
        respond_with_metrics(request, self._families())


def respond_with_metrics(request: LightRequest, families: Iterable[Family]) -> None:
    """Respond with all metrics, or with 404 to any other request."""
    if request.method != "GET" or request.target != METRICS_PATH:
        request.connection.respond(HTTPStatus.NOT_FOUND)
        return
    request.connection.respond(HTTPStatus.OK, render(families), CONTENT_TYPE)
