"""Numbers by which a client tells the response to its request from any other one.

A response that arrives late, or twice, on a connection that is used again would
otherwise be taken for the response to the next request; a view or a lease would then
count as newer than it is. Servers return the number of the request in their response.
"""

import itertools
from collections.abc import Callable, Iterable
from typing import Any

import requests
from requests.adapters import HTTPAdapter

from wasabigw.core.numbers import whole_number
from wasabigw.core.request_number import REQUEST_NUMBER, is_response_to
from wasabigw.tasks.traffic import WsgiApplication

_ENVIRON_KEY = "HTTP_REQUEST_NUMBER"


class MismatchedResponse(requests.RequestException):
    """The response on a connection is not the one to the request."""


class NumberingAdapter(HTTPAdapter):
    """Numbers the requests of a session and checks their responses."""

    def __init__(self) -> None:
        super().__init__()
        self._numbers = itertools.count(1)

    def send(
        self, request: requests.PreparedRequest, *args: Any, **options: Any
    ) -> requests.Response:
        """Send a request.

        :raises MismatchedResponse: if the response is to another request.
        """
        number = str(next(self._numbers))
        request.headers[REQUEST_NUMBER] = number
        response = super().send(request, *args, **options)
        if not is_response_to(number, response.headers.get(REQUEST_NUMBER)):
            response.close()
            raise MismatchedResponse(f"response to another request than {number}")
        return response


def make_session() -> requests.Session:
    """Create a session that ignores the proxies and credentials of the environment."""
    session = requests.Session()
    session.trust_env = False
    session.mount("http://", NumberingAdapter())
    return session


def return_request_number(application: WsgiApplication) -> WsgiApplication:
    """Wrap a WSGI application to return the number of each request."""

    def respond(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        number = environ.get(_ENVIRON_KEY)
        if whole_number(number) is None:
            return application(environ, start_response)

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            return start_response(status, [*headers, (REQUEST_NUMBER, number)], *rest)

        return application(environ, start)

    return respond
