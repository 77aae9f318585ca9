"""Classification of packets as events for the flow decisions."""

from dataclasses import dataclass

from wasabigw.codec import ipv4
from wasabigw.codec.ipv4 import Segment, make_rewrite
from wasabigw.core.flows.events import (
    AnswerClosing,
    AnswerData,
    AnswerEvent,
    AnswerOpened,
    CallerEvent,
    FlowClosing,
    FlowData,
    FlowOpened,
    UnknownDestination,
)
from wasabigw.core.flows.keys import endpoint_number, flow_key
from wasabigw.core.flows.routes import RoutingTable, ServiceRoute
from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import Seconds
from wasabigw.tasks.messages import PacketDropReason

PacketEvent = CallerEvent | AnswerEvent | UnknownDestination

_CLOSING = ipv4.FIN | ipv4.RST


@dataclass(frozen=True, slots=True)
class ServiceFragment:
    """A first fragment for a service address; its sender gets an ICMP error."""


Classification = PacketEvent | PacketDropReason | ServiceFragment


def prepare_rewrites(target: Target) -> tuple[ipv4.Rewrite, ipv4.Rewrite]:
    """Prepare the rewrites of packets to a backend server and of its answers."""
    service = (target.service_address, target.service_port)
    backend = (target.address, target.port)
    return make_rewrite(*service, *backend), make_rewrite(*backend, *service)


def classify(
    segment: Segment, routes: RoutingTable, sampled: bool, now: Seconds
) -> Classification:
    """Classify a packet.

    :param sampled: whether the packet passes the home, see ``REFRESH_SAMPLE``.
    :returns: the event of the packet, or why it is dropped without one.
    """
    if segment.is_fragment:
        return _classify_fragment(segment, routes)
    if segment.protocol == ipv4.PROTOCOL_ICMP:
        return _classify_icmp_error(segment, routes, now)
    flags = segment.tcp_flags
    if flags & ipv4.SYN and flags & _CLOSING:
        return PacketDropReason.CONTRADICTORY_FLAGS
    route = routes.by_endpoint.get(
        endpoint_number(segment.protocol, segment.destination, segment.destination_port)
    )
    if route is not None:
        return _classify_from_caller(segment, route, sampled, now)
    target = routes.by_backend_endpoint.get(
        endpoint_number(segment.protocol, segment.source, segment.source_port)
    )
    if target is not None:
        return _classify_from_backend_server(segment, target, sampled, now)
    return UnknownDestination(now)


def _classify_from_caller(
    segment: Segment, route: ServiceRoute, sampled: bool, now: Seconds
) -> CallerEvent:
    flow = flow_key(
        segment.protocol,
        segment.source,
        segment.source_port,
        segment.destination,
        segment.destination_port,
    )
    flags = segment.tcp_flags
    if flags & _CLOSING:
        return FlowClosing(flow, route.id, now, reset=bool(flags & ipv4.RST))
    if flags & ipv4.SYN and not flags & ipv4.ACK:
        return FlowOpened(flow, route.id, now)
    return FlowData(flow, route.id, now, sampled)


def _classify_from_backend_server(
    segment: Segment, target: Target, sampled: bool, now: Seconds
) -> AnswerEvent:
    flow = flow_key(
        segment.protocol,
        segment.destination,
        segment.destination_port,
        target.service_address,
        target.service_port,
    )
    flags = segment.tcp_flags
    if flags & _CLOSING:
        return AnswerClosing(flow, target.id, now, reset=bool(flags & ipv4.RST))
    if flags & ipv4.SYN:
        return AnswerOpened(flow, target.id, now)
    return AnswerData(flow, target.id, now, sampled)


def _classify_icmp_error(
    segment: Segment, routes: RoutingTable, now: Seconds
) -> CallerEvent | AnswerEvent | PacketDropReason:
    """Classify an ICMP error as a packet of the flow that it quotes."""
    quoted = segment.quoted
    if quoted is None:
        return PacketDropReason.ICMP_ECHO
    route = routes.by_endpoint.get(
        endpoint_number(quoted.protocol, quoted.source, quoted.source_port)
    )
    if route is not None and segment.destination == quoted.source:
        flow = flow_key(
            quoted.protocol,
            quoted.destination,
            quoted.destination_port,
            quoted.source,
            quoted.source_port,
        )
        return FlowData(flow, route.id, now, related=True)
    target = routes.by_backend_endpoint.get(
        endpoint_number(quoted.protocol, quoted.destination, quoted.destination_port)
    )
    if target is None or segment.destination != quoted.source:
        return PacketDropReason.ICMP_OF_UNKNOWN_FLOW
    flow = flow_key(
        quoted.protocol,
        quoted.source,
        quoted.source_port,
        target.service_address,
        target.service_port,
    )
    return AnswerData(flow, target.id, now, related=True)


def _classify_fragment(
    segment: Segment, routes: RoutingTable
) -> PacketDropReason | ServiceFragment:
    number = endpoint_number(
        segment.protocol, segment.destination, segment.destination_port
    )
    if segment.is_first_fragment and number in routes.by_endpoint:
        return ServiceFragment()
    return PacketDropReason.FRAGMENT
