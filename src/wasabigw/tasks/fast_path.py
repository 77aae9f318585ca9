"""Fast path: rewrites packets in place that need no decision of a home.

It handles most packets without creating events and must rewrite them exactly as the
events would. All others are left to the events: packets with options, fragments, ICMP,
opening and closing packets, samples for the home, packets with an expired TTL, and
malformed ones.
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
_UNPACK_HEADERS = struct.Struct("!QBxHxxHBBHIIHH8xHxxH").unpack_from
_PACK_REWRITTEN_FIELDS = struct.Struct("!BBHIIHH").pack_into
_WORD = struct.Struct("!H")
_UNPACK_WORD = _WORD.unpack_from
_PACK_WORD = _WORD.pack_into
_KEY = struct.Struct("!BIHIH").pack
_hash = xxhash.xxh64_intdigest

_GENEVE_WITHOUT_OPTIONS = 0x0000080000000000
_IPV4_WITHOUT_OPTIONS = 0x45
_FRAGMENT_MASK = 0x3FFF
_FIN_SYN_RST = 0x07
_REWRITTEN_FIELDS_OFFSET = 16
_TCP_CHECKSUM_OFFSET = 44
_UDP_CHECKSUM_OFFSET = 34
_MIN_TCP_LENGTH = 40
_MIN_UDP_LENGTH = 28
_BUCKET_MASK = BUCKETS_PER_SERVICE - 1
_SAMPLE_MASK = REFRESH_SAMPLE - 1


class FastPath:
    """Rewrites packets of open flows; only used while the view is fresh.

    :ivar now: time at which the current batch of packets is handled.
    :ivar sampled: whether the last packet was left to the events as a sample.
    :ivar seen: packets whose headers the fast path accepted; selects the samples.
    """

    __slots__ = ("_routes", "_state", "now", "sampled", "seen")

    def __init__(self, state: BalancerState) -> None:
        self._state = state
        self._routes = state.routes
        self.now = Seconds(0.0)
        self.sampled = False
        self.seen = 0

    def rewrite(self, buffer: bytearray, length: int) -> bool:
        """Rewrite a packet in place.

        :returns: whether the packet is ready to be sent to the fabric; if not, it is
            unchanged and has to be handled by the events.
        """
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
        ) = _UNPACK_HEADERS(buffer)
        if (
            header != _GENEVE_WITHOUT_OPTIONS
            or version != _IPV4_WITHOUT_OPTIONS
            or total + 8 != length
            or ttl < 2
            or fragment & _FRAGMENT_MASK
        ):
            return False
        if protocol == PROTOCOL_TCP:
            tcp_header = offset_flags >> 10 & 0x3C
            if (
                offset_flags & _FIN_SYN_RST
                or total < _MIN_TCP_LENGTH
                or tcp_header < 20
                or tcp_header + 20 > total
            ):
                return False
        elif protocol != PROTOCOL_UDP or total < _MIN_UDP_LENGTH:
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
        # RFC 1624, equation 3. Both terms are below 2**16, so one carry is enough.
        total = (ip_checksum ^ 0xFFFF) + change.ip_delta
        ip_checksum = (total & 0xFFFF) + (total >> 16) ^ 0xFFFF
        _PACK_REWRITTEN_FIELDS(
            buffer,
            _REWRITTEN_FIELDS_OFFSET,
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
            _PACK_WORD(buffer, _TCP_CHECKSUM_OFFSET, checksum)
            return True
        checksum = _UNPACK_WORD(buffer, _UDP_CHECKSUM_OFFSET)[0]
        if checksum:
            total = (checksum ^ 0xFFFF) + change.transport_delta
            checksum = (total & 0xFFFF) + (total >> 16) ^ 0xFFFF
            _PACK_WORD(buffer, _UDP_CHECKSUM_OFFSET, checksum or 0xFFFF)
        return True
