"""Answers of the light HTTP server to whoever collects metrics."""

import selectors
from collections.abc import Callable, Iterable
from contextlib import ExitStack
from http import HTTPStatus

from wasabigw.core.endpoint import Endpoint
from wasabigw.runtime.composite import CompositeContext
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.exposition import CONTENT_TYPE, Family, render
from wasabigw.telemetry.log_events import log

METRICS_PATH = "/metrics"


class LightMetrics(CompositeContext):
    """Server for metrics beside the sockets of a task.

    A port that can't be bound is logged: no process may fail for its metrics.

    :param bind: ``None`` for no server.
    :param families: metrics at the time of the call.
    """

    def __init__(
        self,
        bind: Endpoint | None,
        selector: selectors.BaseSelector,
        families: Callable[[], Iterable[Family]],
    ) -> None:
        super().__init__()
        self._bind = bind
        self._selector = selector
        self._families = families

    def _start(self, stack: ExitStack) -> None:
        if self._bind is None:
            return
        try:
            server = LightServer(self._bind, self._selector, self._answer)
            stack.enter_context(server)
        except OSError as error:
            log(HttpEvent.NO_METRICS, port=self._bind.port, reason=str(error))

    def _answer(self, request: LightRequest) -> None:
        answer_metrics(request, self._families())


def answer_metrics(request: LightRequest, families: Iterable[Family]) -> None:
    """Answer with all metrics, if they were asked for."""
    if request.method != "GET" or request.target != METRICS_PATH:
        request.connection.respond(HTTPStatus.NOT_FOUND)
        return
    request.connection.respond(HTTPStatus.OK, render(families), CONTENT_TYPE)
