"""Matching of responses to requests on connections that are used again."""

REQUEST_NUMBER = "Request-Number"
"""Header with a number that a client does not use twice on a connection."""


def is_response_to(number: str, returned: str | None) -> bool:
    """Whether a response may be the one to a request.

    :param returned: number in the response; ``None`` if its server returns none, as
        servers of older versions do.
    """
    return returned is None or returned == number
