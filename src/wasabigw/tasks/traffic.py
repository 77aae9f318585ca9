"""Bytes of control traffic, counted where requests are sent and answered."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import requests

from wasabigw.core.numbers import whole_number
from wasabigw.runtime.mailbox import Mailbox

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]
_LINE = 4
"""Separator and line end of a header."""


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Bytes of requests and answers, without what TCP and IP add."""

    received: int
    sent: int


TrafficMailbox = Mailbox[Any] | None
"""Where :class:`ControlTraffic` is posted; ``None`` if nobody counts."""


def report(mailbox: TrafficMailbox, received: int, sent: int) -> None:
    """Post bytes; they go uncounted if the receiver is too far behind."""
    if mailbox is not None:
        mailbox.post(ControlTraffic(received, sent))


def report_exchange(
    mailbox: TrafficMailbox, response: requests.Response, body_bytes: int
) -> None:
    """Post the bytes of a request and of its answer with a body of a known size."""
    if mailbox is None:
        return
    request = response.request
    body = request.body or b""
    sent = len(request.path_url) + _size(request.headers.items()) + len(body)
    report(mailbox, _size(response.headers.items()) + body_bytes, sent)


def count_traffic(
    application: WsgiApplication, mailbox: TrafficMailbox
) -> WsgiApplication:
    """Post the bytes of each request that an application answers."""
    if mailbox is None:
        return application

    def respond(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        received = len(environ.get("PATH_INFO", "")) + _size(
            (key, value) for key, value in environ.items() if key.startswith("HTTP_")
        )
        received += len(environ.get("QUERY_STRING", "")) + _number(
            environ.get("CONTENT_LENGTH")
        )

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            length = dict(headers).get("Content-Length")
            report(mailbox, received, _size(headers) + _number(length))
            return start_response(status, headers, *rest)

        return application(environ, start)

    return respond


def _size(headers: Iterable[tuple[Any, Any]]) -> int:
    return sum(len(name) + len(value) + _LINE for name, value in headers)


def _number(text: str | None) -> int:
    return whole_number(text) or 0
