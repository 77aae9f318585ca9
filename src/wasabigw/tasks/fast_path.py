"""Packets that need no decision of a home: rewritten in place.

This replaces the dispatch on events for most packets and must give the same answers.
It leaves everything unusual to the events: options, fragments, ICMP, opening and
closing packets, samples for the home, expired TTLs and anything malformed.
"""

import struct

import xxhash

from wasabigw.codec.ipv4 import PROTOCOL_TCP, PROTOCOL_UDP, Rewrite
from wasabigw.core.flows.routes import compile_direct
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.ids import Seconds
from wasabigw.core.timing import BUCKETS_PER_SERVICE, REFRESH_SAMPLE

# Geneve header, version and length, total length, fragment, TTL, protocol, checksum,
# source, destination, ports, TCP offset and flags, TCP checksum.
_FIELDS = struct.Struct("!QBxHxxHBBHIIHH8xHxxH").unpack_from
_PATCH = struct.Struct("!BBHIIHH").pack_into
_WORD = struct.Struct("!H")
_UNPACK_WORD = _WORD.unpack_from
_PACK_WORD = _WORD.pack_into
_KEY = struct.Struct("!BIHIH").pack
_hash = xxhash.xxh64_intdigest

_PLAIN_FRAME = 0x0000080000000000
_PLAIN_IP = 0x45
_FRAGMENT = 0x3FFF
_FIN_SYN_RST = 0x07
_PATCH_OFFSET = 16
_TCP_CHECKSUM = 44
_UDP_CHECKSUM = 34
_LEAST_TCP = 40
_LEAST_UDP = 28
_BUCKET_MASK = BUCKETS_PER_SERVICE - 1
_SAMPLE_MASK = REFRESH_SAMPLE - 1


class FastPath:
    """Rewrites plain mid-flow packets under a fresh view.

    :ivar now: time of the current batch of packets.
    :ivar sampled: whether the last packet was left to the events as a sample.
    """

    __slots__ = ("_routes", "_state", "now", "sampled", "seen")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._routes = state.routes
        self.now = Seconds(0.0)
        self.sampled = False
        self.seen = 0

    def rewrite(self, buffer: bytearray, length: int) -> bool:
        """Rewrite the packet in place; true if it can go to the fabric as it is."""
        self.sampled = False
        (
            header,
            version,
            total,
            fragment,
            ttl,
            protocol,
            ip_checksum,
            source,
            destination,
            source_port,
            destination_port,
            offset_flags,
            checksum,
        ) = _FIELDS(buffer)
        if (
            header != _PLAIN_FRAME
            or version != _PLAIN_IP
            or total + 8 != length
            or ttl < 2
            or fragment & _FRAGMENT
        ):
            return False
        if protocol == PROTOCOL_TCP:
            tcp_header = offset_flags >> 10 & 0x3C
            if (
                offset_flags & _FIN_SYN_RST
                or total < _LEAST_TCP
                or tcp_header < 20
                or tcp_header + 20 > total
            ):
                return False
        elif protocol != PROTOCOL_UDP or total < _LEAST_UDP:
            return False
        self.seen = seen = self.seen + 1
        if not seen & _SAMPLE_MASK:
            self.sampled = True
            return False
        routes = self._routes
        route = routes.by_endpoint.get(
            destination << 24 | destination_port << 8 | protocol
        )
        if route is not None:
            key = _KEY(protocol, source, source_port, destination, destination_port)
            target = None
            if protocol == PROTOCOL_TCP:
                direct = route.direct or compile_direct(routes, route)
                target = direct[_hash(key) & _BUCKET_MASK]
            if target is None:
                entry = self._state.cache.entries.get(key)  # type: ignore[call-overload]
                if entry is None or entry[1] <= self.now or not entry[0].usable:
                    return False
                target = entry[0]
            change: Rewrite = target.to_backend
            destination = change.new_address
            destination_port = change.new_port
        else:
            target = routes.by_backend_endpoint.get(
                source << 24 | source_port << 8 | protocol
            )
            if target is None or not target.usable:
                return False
            change = target.to_caller
            source = change.new_address
            source_port = change.new_port
        # RFC 1624, equation 3, with one fold: both terms are below 2**16.
        total = (ip_checksum ^ 0xFFFF) + change.ip_delta
        ip_checksum = (total & 0xFFFF) + (total >> 16) ^ 0xFFFF
        _PATCH(
            buffer,
            _PATCH_OFFSET,
            ttl - 1,
            protocol,
            ip_checksum,
            source,
            destination,
            source_port,
            destination_port,
        )
        if protocol == PROTOCOL_TCP:
            total = (checksum ^ 0xFFFF) + change.transport_delta
            checksum = (total & 0xFFFF) + (total >> 16) ^ 0xFFFF
            _PACK_WORD(buffer, _TCP_CHECKSUM, checksum)
            return True
        checksum = _UNPACK_WORD(buffer, _UDP_CHECKSUM)[0]
        if checksum:
            total = (checksum ^ 0xFFFF) + change.transport_delta
            checksum = (total & 0xFFFF) + (total >> 16) ^ 0xFFFF
            _PACK_WORD(buffer, _UDP_CHECKSUM, checksum or 0xFFFF)
        return True
