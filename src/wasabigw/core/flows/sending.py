"""Functions shared by the flow decisions: forwarding, records and bindings."""

from dataclasses import dataclass, replace

from wasabigw.core.flows import records
from wasabigw.core.flows.decisions import (
    Decision,
    Drop,
    DropReason,
    ForwardToNode,
    SendBinding,
    SendToBackend,
)
from wasabigw.core.flows.forwarding import (
    NO_CANDIDATE,
    Forwarding,
    QueriedBalancer,
    tag_of,
)
from wasabigw.core.flows.homes import backup, home
from wasabigw.core.flows.limits import take_token
from wasabigw.core.flows.records import FlowRecord
from wasabigw.core.flows.routes import BucketRoute, ServiceRoute
from wasabigw.core.flows.state import BalancerState, may_send
from wasabigw.core.flows.targets import Target
from wasabigw.core.flows.transfer import count_flows_of
from wasabigw.core.ids import BucketNumber, FlowKey, NodeId, Seconds
from wasabigw.core.timing import BINDING_LIFETIME, FLOW_IDLE_TIMEOUT, MAX_HOPS
from wasabigw.core.view import is_fresh

COPY_INTERVAL = Seconds(FLOW_IDLE_TIMEOUT / 3)
"""Time after which a packet is sent through the backup to refresh its copy."""


@dataclass(slots=True)
class PacketContext:
    """A packet of a caller with its route.

    :param sender: balancer that forwarded the packet; ``None`` if it came from the
        fabric.
    """

    flow: FlowKey
    route: ServiceRoute
    bucket: BucketNumber
    candidates: BucketRoute
    forwarding: Forwarding
    sender: NodeId | None
    now: Seconds


def initial_forwarding(bucket: BucketNumber) -> Forwarding:
    """Forwarding of a packet that comes from the fabric."""
    return Forwarding(0, bucket)


def requesting_binding(state: BalancerState, forwarding: Forwarding) -> Forwarding:
    """Add the request for a binding if this is the first balancer of the packet."""
    if forwarding.hops or forwarding.queried:
        return forwarding
    origin = QueriedBalancer(state.tag, True, NO_CANDIDATE)
    return replace(forwarding, resolve=True, queried=(origin,))


def drop(reason: DropReason) -> list[Decision]:
    """Discard the packet."""
    return [Drop(reason)]


def forward(
    node: NodeId | None, forwarding: Forwarding, state: BalancerState
) -> list[Decision]:
    """Forward the packet to another balancer, within the hop limit."""
    if node is None or node == state.node:
        return drop(DropReason.NO_HOME)
    if forwarding.hops + 1 >= MAX_HOPS:
        return drop(DropReason.HOP_LIMIT)
    return [ForwardToNode(node, forwarding.next_hop())]


def send(state: BalancerState, target: Target, now: Seconds) -> list[Decision]:
    """Send to a backend server, if :func:`may_send` allows it."""
    if not target.usable:
        return drop(DropReason.OUT_OF_SERVICE)
    if not may_send(state, target, now):
        return drop(DropReason.STALE_VIEW)
    return [SendToBackend(target)]


def send_or_forward_to_home(
    state: BalancerState, context: PacketContext, target: Target
) -> list[Decision]:
    """Send a packet of a recorded flow; under a stale view its home sends it."""
    owner = home(state.homes, target.id)
    if may_send(state, target, context.now) or owner == state.node:
        return send(state, target, context.now)
    if not target.usable:
        return drop(DropReason.OUT_OF_SERVICE)
    return forward(owner, context.forwarding, state)


def send_recorded(
    state: BalancerState,
    context: PacketContext,
    record: FlowRecord,
    *,
    copy: bool = False,
) -> list[Decision]:
    """Send a packet of a recorded flow, perhaps through the other holder of the record.

    The home sends some packets through its backup, and a former home or a backup sends
    some through the home. The packets keep the records of both up to date, so that
    no separate replication messages are needed.

    :param copy: the packet changes the record, so the other holder has to process it.
    """
    sent = send_or_forward_to_home(state, context, record.target)
    if not isinstance(sent[0], SendToBackend):
        return sent
    if not is_fresh(state.view, context.now):
        # The view of the other holder may be stale too, and without an announcement
        # lease it could not send the packet.
        return sent
    receiver = _other_record_holder(state, record.target)
    if receiver is None or context.forwarding.hops + 1 >= MAX_HOPS:
        return sent
    if not copy and not _copy_is_due(record, receiver, context.now):
        return sent
    record.copied_at = context.now
    record.copied_to = receiver
    forwarding = context.forwarding
    if home(state.homes, record.target.id) == state.node:
        forwarding = Forwarding(forwarding.hops, context.bucket, copy=True)
    chosen = forwarding.delivering(tag_of(receiver), record.target.index)
    return forward(receiver, chosen, state)


def _other_record_holder(state: BalancerState, target: Target) -> NodeId | None:
    owner = home(state.homes, target.id)
    return backup(state.homes, target.id) if owner == state.node else owner


def _copy_is_due(record: FlowRecord, receiver: NodeId, now: Seconds) -> bool:
    if record.copied_at is None or record.copied_to != receiver:
        return True
    return now - record.copied_at >= COPY_INTERVAL


def record_flow(
    state: BalancerState,
    context: PacketContext,
    target: Target,
    *,
    admitted: bool = False,
) -> FlowRecord | None:
    """Record a flow; at the home it counts against the limit of the backend server.

    A flow that was not admitted here was counted by a previous home, or is counted
    now. Otherwise its end would free the slot of another flow.

    :returns: ``None`` if the table is full.
    """
    recorded = context.flow in state.records.records
    if records.is_full(state.records) and not recorded:
        return None
    inherited = state.inherited_flows.get(target.id, 0)
    if inherited and not admitted:
        state.inherited_flows[target.id] = inherited - 1
    counts = admitted or home(state.homes, target.id) == state.node
    record = FlowRecord(target, context.bucket, context.now, context.now, counts)
    records.insert(state.records, context.flow, record)
    if counts and not admitted and not inherited:
        count_flows_of(state, target.id, context.now)
    return record


def release_slot(state: BalancerState, record: FlowRecord, now: Seconds) -> None:
    """Stop counting a flow against the limit of its backend server."""
    if record.slot_held:
        record.slot_held = False
        state.admission.release(record.target.id, now)


def end_flow(
    state: BalancerState, flow: FlowKey, record: FlowRecord, now: Seconds
) -> None:
    """Release the slot of an ended flow; its record stays for ``CLOSED_RETENTION``."""
    release_slot(state, record, now)
    records.close(state.records, flow, record, now)


def record_closing(
    state: BalancerState,
    flow: FlowKey,
    record: FlowRecord,
    side: int,
    reset: bool,
    now: Seconds,
) -> None:
    """Update a record after one side closed the flow, or reset it."""
    if record.closed == records.BOTH_CLOSED:
        return
    record.last_seen = now
    record.closed |= side
    if reset or record.closed == records.BOTH_CLOSED:
        end_flow(state, flow, record, now)


def bindings(
    state: BalancerState, context: PacketContext, target: Target
) -> list[Decision]:
    """Bindings for the sender, the home and the balancer that requested one.

    Their rate is limited to :data:`wasabigw.core.flows.state.BINDING_RATE`.
    """
    if not context.forwarding.resolve:
        return []
    origin = context.forwarding.origin()
    receivers = {context.sender, home(state.homes, target.id)}
    if origin is not None:
        receivers.add(state.nodes_by_tag.get(origin))
    nodes = sorted(
        node for node in receivers if node is not None and node != state.node
    )
    return [
        SendBinding(node, context.flow, target.index, BINDING_LIFETIME)
        for node in nodes
        if take_token(state.binding_limit, context.now)
    ]
