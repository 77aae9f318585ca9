"""Flow keys and endpoint keys as numbers, for fast lookups."""

import struct
from functools import lru_cache
from ipaddress import IPv4Address

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import FlowKey
from wasabigw.core.states import Protocol

KNOWN_ADDRESSES = 32_768
"""Size of the cache of parsed addresses.

Without the cache, parsing takes most of the time to apply a large change.
"""

_KEY = struct.Struct("!BIHIH")


def flow_key(
    protocol: int, caller: int, caller_port: int, service: int, service_port: int
) -> FlowKey:
    """Key of a flow from a caller to a service address."""
    return FlowKey(_KEY.pack(protocol, caller, caller_port, service, service_port))


def parse_flow(text: str) -> FlowKey | None:
    """Flow key from hexadecimal; ``None`` if it is not one."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        return None
    return FlowKey(key) if len(key) == _KEY.size else None


def key_fields(flow: FlowKey) -> tuple[int, int, int, int, int]:
    """Protocol, caller address and port, service address and port."""
    fields: tuple[int, int, int, int, int] = _KEY.unpack(flow)
    return fields


@lru_cache(KNOWN_ADDRESSES)
def address_number(address: str) -> int:
    """IPv4 address as a number."""
    return int(IPv4Address(address))


def endpoint_number(protocol: int, address: int, port: int) -> int:
    """Number that is unique for a protocol, address and port."""
    return address << 24 | port << 8 | protocol


def number_of(endpoint: Endpoint, protocol: Protocol) -> int:
    """:func:`endpoint_number` of a configured endpoint."""
    return endpoint_number(
        protocol.value, address_number(endpoint.address), endpoint.port
    )
