"""Types of values in settings files."""

from typing import Annotated, Any

from pydantic import BeforeValidator, PlainSerializer, WithJsonSchema
from returns.result import Failure

from wasabigw.core import endpoint
from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.endpoint_checks import MAX_PORT
from wasabigw.core.names import NAME_PATTERN, NAME_RULE, is_name

_ENDPOINT_RULE = "an IPv4 address and a port, such as '10.0.0.1:8080'"


def parse_endpoint(value: Any) -> Endpoint:
    """Parse ``address:port``.

    :raises ValueError: with the expected format, which pydantic reports.
    """
    if isinstance(value, Endpoint):
        return value
    if not isinstance(value, str):
        raise ValueError(_ENDPOINT_RULE)
    parsed = endpoint.parse_endpoint(value)
    if isinstance(parsed, Failure):
        raise ValueError(f"{_ENDPOINT_RULE}, with a port from 1 to {MAX_PORT}")
    return parsed.unwrap()


EndpointSetting = Annotated[
    Endpoint,
    BeforeValidator(parse_endpoint),
    PlainSerializer(endpoint_key),
    WithJsonSchema({"type": "string", "pattern": r"^[0-9.]+:[0-9]+$"}),
]
"""``address:port`` in a file, :class:`Endpoint` in the code."""


def check_name(value: Any) -> str:
    """Validate the name of a node, service, failure domain or region.

    :raises ValueError: with the naming rule, which pydantic reports.
    """
    if not isinstance(value, str) or not is_name(value):
        raise ValueError(NAME_RULE)
    return value


Name = Annotated[
    str,
    BeforeValidator(check_name),
    WithJsonSchema({"type": "string", "pattern": f"^{NAME_PATTERN}$"}),
]
"""Id of a node, service, failure domain or region."""
