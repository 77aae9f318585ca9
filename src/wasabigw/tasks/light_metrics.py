"""Answers of the light HTTP server to whoever collects metrics."""

import selectors
from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, ExitStack
from http import HTTPStatus
from types import TracebackType
from typing import Self

from wasabigw.core.endpoint import Endpoint
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.telemetry.events_http import HttpEvent
from wasabigw.telemetry.exposition import CONTENT_TYPE, Family, render
from wasabigw.telemetry.log_events import log

METRICS_PATH = "/metrics"


class LightMetrics(AbstractContextManager["LightMetrics"]):
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
        self._bind = bind
        self._selector = selector
        self._families = families
        self._stack = ExitStack()

    def __enter__(self) -> Self:
        if self._bind is None:
            return self
        try:
            server = LightServer(self._bind, self._selector, self._answer)
            self._stack.enter_context(server)
        except OSError as error:
            log(HttpEvent.NO_METRICS, port=self._bind.port, reason=str(error))
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.__exit__(exc_type, exc_value, traceback)

    def _answer(self, request: LightRequest) -> None:
        answer_metrics(request, self._families())


def answer_metrics(request: LightRequest, families: Iterable[Family]) -> None:
    """Answer with all metrics, if they were asked for."""
    if request.method != "GET" or request.target != METRICS_PATH:
        request.connection.respond(HTTPStatus.NOT_FOUND)
        return
    request.connection.respond(HTTPStatus.OK, render(families), CONTENT_TYPE)
