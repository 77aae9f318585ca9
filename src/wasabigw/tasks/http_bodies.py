"""Helpers of cherrypy handlers: reading requests and building error responses."""

import hmac
from http import HTTPStatus
from typing import Any

import cherrypy
from returns.result import Failure, Result, Success

from wasabigw.codec.messages import MalformedMessage, UnknownKeys, decode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.endpoint import parse_endpoint
from wasabigw.core.numbers import whole_number
from wasabigw.tasks.http_server import error_response


def read_message(
    expected: Any, limit: int, unknown: UnknownKeys = UnknownKeys.REFUSE
) -> Result[Any, str]:
    """Decode the body of the current request.

    :param limit: maximum body size in bytes; a larger body is answered with 413.
    :param unknown: how unknown keys, for example of a newer version, are handled.
    """
    body = read_body(limit)
    if isinstance(body, Failure):
        return body
    decoded: Result[Any, MalformedMessage] = decode(body.unwrap(), expected, unknown)
    return decoded.alt(str)


def has_token(expected: str) -> bool:
    """Whether the current request carries the expected bearer token."""
    header = cherrypy.request.headers.get("Authorization", "")
    scheme, _, token = header.partition(" ")
    matches = hmac.compare_digest(token.strip().encode(), expected.encode())
    return scheme.lower() == "bearer" and bool(expected) and matches


def unauthorized() -> bytes:
    """Error response to a request without the operators' token."""
    cherrypy.response.headers["WWW-Authenticate"] = "Bearer"
    return error_response(
        HTTPStatus.UNAUTHORIZED,
        "unauthorized",
        "Send the operators' token as 'Authorization: Bearer TOKEN'.",
    )


def bad_request(problem: str) -> bytes:
    """Error response to a malformed request."""
    return error_response(HTTPStatus.BAD_REQUEST, "malformed", problem)


def retry_later(error: str, message: str, seconds: float = 1.0) -> bytes:
    """Error response to a request that may succeed when it is retried."""
    cherrypy.response.headers["Retry-After"] = f"{seconds:.0f}"
    return error_response(HTTPStatus.SERVICE_UNAVAILABLE, error, message)


def endpoint_from(text: Any) -> Endpoint | None:
    """Parse ``address:port``; ``None`` if it is malformed."""
    if not isinstance(text, str):
        return None
    return parse_endpoint(text).value_or(None)


def read_body(limit: int) -> Result[bytes, str]:
    """Body of the current request, or why it could not be read.

    :param limit: maximum body size in bytes; a larger body is answered with 413.
    """
    text = cherrypy.request.headers.get("Content-Length", "")
    length = whole_number(text)
    if length is None:
        return Failure("the header Content-Length must give the size of the body")
    if length > limit:
        raise cherrypy.HTTPError(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f"the body has {length} bytes; at most {limit} are accepted",
        )
    try:
        data: bytes = cherrypy.request.rfile.read(length)
    except TimeoutError:
        cherrypy.response.headers["Connection"] = "close"
        return Failure("the body did not arrive in time")
    if len(data) != length:
        return Failure(f"the body ended after {len(data)} of {length} bytes")
    return Success(data)
