"""Addresses at which processes and services are reached."""

import ipaddress
from dataclasses import dataclass

MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Endpoint:
    """IPv4 address and port."""

    address: str
    port: int


def endpoint_key(endpoint: Endpoint) -> str:
    """Key of an endpoint in maps: ``address:port``."""
    return f"{endpoint.address}:{endpoint.port}"


def malformed(endpoint: Endpoint) -> str | None:
    """What is wrong with an endpoint, or ``None``."""
    try:
        address = ipaddress.IPv4Address(endpoint.address)
    except ValueError:
        return f"{endpoint.address!r} is not an IPv4 address; write it as 10.0.0.1"
    if address.is_unspecified or address.is_multicast or int(address) == 2**32 - 1:
        return f"{address} can't be reached as a single host; use a unicast address"
    if not 0 < endpoint.port <= MAX_PORT:
        return f"port {endpoint.port} is out of range; use 1 to {MAX_PORT}"
    return None
