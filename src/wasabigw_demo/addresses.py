"""Endpoints and address ranges on the command lines of the stand-ins."""

import ipaddress
import itertools
import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass

import typer
from returns.result import Failure

from wasabigw.core import endpoint
from wasabigw.core.cluster import Endpoint

FIRST_PORT = 10_000
LAST_PORT = 29_999


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint from ``address:port``.

    :raises typer.BadParameter: if the text is not an endpoint.
    """
    parsed = endpoint.parse_endpoint(text, lowest_port=0)
    if isinstance(parsed, Failure):
        raise typer.BadParameter(parsed.failure())
    return parsed.unwrap()


def parse_named_endpoint(text: str) -> tuple[str, Endpoint]:
    """Parse a name and an endpoint from ``name=address:port``.

    :raises typer.BadParameter: if the text is not of that form.
    """
    name, separator, endpoint = text.partition("=")
    if not separator or not name:
        raise typer.BadParameter(f"{text!r} must be written as name=address:port")
    return name, parse_endpoint(endpoint)


@dataclass(frozen=True, slots=True)
class Route:
    """Route of the packets to inner addresses in ``network`` to ``endpoint``."""

    network: ipaddress.IPv4Network
    endpoint: Endpoint


def parse_network(text: str) -> ipaddress.IPv4Network:
    """Parse a network from ``address`` or ``address/prefix``.

    :raises typer.BadParameter: if the text is not a network.
    """
    try:
        return ipaddress.IPv4Network(text)
    except ValueError as error:
        message = f"{text!r} is not an IPv4 range; write it as 10.1.0.0/24"
        raise typer.BadParameter(message) from error


def parse_route(text: str) -> Route:
    """Parse a route from ``range=address:port``."""
    network, endpoint = parse_named_endpoint(text)
    return Route(parse_network(network), endpoint)


def socket_address(endpoint: Endpoint) -> tuple[str, int]:
    """Address tuple of an endpoint for socket functions."""
    return endpoint.address, endpoint.port


def free_endpoint(
    socket_type: socket.SocketKind, address: str = "127.0.0.1"
) -> Endpoint:
    """Endpoint with an unused port.

    The ports are below the ephemeral range of the system, so that no outgoing
    connection takes one before the process that gets the endpoint binds it. The
    first port is random, so that concurrent launchers do not share ports.
    """
    while True:
        port = next(_PORT_CANDIDATES)
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                continue
            return Endpoint(address, port)


def _port_candidates() -> Iterator[int]:
    count = LAST_PORT - FIRST_PORT + 1
    start = random.SystemRandom().randrange(count)
    for offset in itertools.count(start):
        yield FIRST_PORT + offset % count


_PORT_CANDIDATES = _port_candidates()
