"""Counting of the bytes of control traffic, by HTTP clients and servers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import requests

from wasabigw.core.numbers import whole_number
from wasabigw.runtime.mailbox import Mailbox

WsgiApplication = Callable[[dict[str, Any], Any], Iterable[bytes]]
_HEADER_OVERHEAD = 4
"""Bytes of the separator and the line end of a header."""


@dataclass(frozen=True, slots=True)
class ControlTraffic:
    """Bytes of HTTP requests and responses, without the overhead of TCP and IP."""

    received: int
    sent: int


TrafficMailbox = Mailbox[Any] | None
"""Mailbox that receives :class:`ControlTraffic`; ``None`` to count nothing."""


def report_bytes(mailbox: TrafficMailbox, received: int, sent: int) -> None:
    """Post a number of bytes; they are not counted if the mailbox is full."""
    if mailbox is not None:
        mailbox.post(ControlTraffic(received, sent))


def report_traffic(
    mailbox: TrafficMailbox, response: requests.Response, body_bytes: int
) -> None:
    """Post the bytes of a request and its response.

    :param body_bytes: size of the body of the response.
    """
    if mailbox is None:
        return
    request = response.request
    body = request.body or b""
    sent = len(request.path_url) + _size(request.headers.items()) + len(body)
    report_bytes(mailbox, _size(response.headers.items()) + body_bytes, sent)


def count_traffic(
    application: WsgiApplication, mailbox: TrafficMailbox
) -> WsgiApplication:
    """Wrap a WSGI application to post the bytes of each request and its response."""
    if mailbox is None:
        return application

    def respond(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        received = len(environ.get("PATH_INFO", "")) + _size(
            (key, value) for key, value in environ.items() if key.startswith("HTTP_")
        )
        received += len(environ.get("QUERY_STRING", "")) + _length(
            environ.get("CONTENT_LENGTH")
        )

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            length = dict(headers).get("Content-Length")
            report_bytes(mailbox, received, _size(headers) + _length(length))
            return start_response(status, headers, *rest)

        return application(environ, start)

    return respond


def _size(headers: Iterable[tuple[Any, Any]]) -> int:
    return sum(len(name) + len(value) + _HEADER_OVERHEAD for name, value in headers)


def _length(text: str | None) -> int:
    return whole_number(text) or 0
