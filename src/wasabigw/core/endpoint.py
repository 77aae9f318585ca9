"""IPv4 endpoints of processes and services."""

import ipaddress
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from wasabigw.core.numbers import whole_number

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Endpoint:
    """IPv4 address and port."""

    address: str
    port: int


def endpoint_key(endpoint: Endpoint) -> str:
    """Endpoint as ``address:port``, also used as a map key."""
    return f"{endpoint.address}:{endpoint.port}"


def address_number(address: str) -> int:
    """IPv4 address as an integer, as in packet headers."""
    return int(ipaddress.IPv4Address(address))


def address_text(number: int) -> str:
    """IPv4 address in dotted notation from an integer."""
    return str(ipaddress.IPv4Address(number))


def parse_endpoint(text: str, lowest_port: int = 1) -> Result[Endpoint, str]:
    """Endpoint from ``address:port``, or an error message.

    :param lowest_port: 0 where port 0, which selects a free port, is allowed.
    """
    address, separator, port = text.rpartition(":")
    number = whole_number(port) if len(port) <= len(str(MAX_PORT)) else None
    try:
        parsed = ipaddress.IPv4Address(address)
    except ValueError:
        parsed = None
    if not separator or parsed is None or number is None:
        return Failure(f"{text!r} is not an address and a port such as 10.0.0.1:8080")
    if not lowest_port <= number <= MAX_PORT:
        return Failure(f"the port in {text!r} must be {lowest_port} to {MAX_PORT}")
    return Success(Endpoint(str(parsed), number))


def endpoint_problem(endpoint: Endpoint) -> str | None:
    """What makes an endpoint invalid, or ``None``."""
    try:
        address = ipaddress.IPv4Address(endpoint.address)
    except ValueError:
        return f"{endpoint.address!r} is not an IPv4 address; write it as 10.0.0.1"
    if address.is_unspecified or address.is_multicast or int(address) == 2**32 - 1:
        return f"{address} can't be reached as a single host; use a unicast address"
    if not 0 < endpoint.port <= MAX_PORT:
        return f"port {endpoint.port} is out of range; use 1 to {MAX_PORT}"
    return None
