"""Handover of flow records from a draining balancer to the new homes."""

from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows import records
from wasabigw.core.flows.decisions import Decision, SendHandover
from wasabigw.core.flows.events import HandoverReceived
from wasabigw.core.flows.handover import HANDOVER_RECORDS, HandedRecord, Handover
from wasabigw.core.flows.homes import home, record_handover
from wasabigw.core.flows.keys import parse_flow
from wasabigw.core.flows.records import FlowRecord
from wasabigw.core.flows.state import BalancerState, OutgoingHandover
from wasabigw.core.ids import BackendServerId, BucketNumber, FlowKey, Seconds
from wasabigw.core.states import NodeState
from wasabigw.core.view_lease import NEVER

COUNT_INTERVAL = Seconds(10.0)
"""Time between two full counts of the records; between them counts are incremental."""


def begin_handover(state: BalancerState, lost: list[BackendServerId]) -> None:
    """Collect the records to hand over, if this balancer drains.

    Only records of buckets with several candidates are needed; packets of the other
    buckets are sent to their only candidate.
    """
    own = state.cluster.nodes.get(state.node)
    if own is None or own.state is not NodeState.DRAINING:
        state.outgoing_handovers.clear()
        return
    for name in lost:
        target = state.routes.targets.get(name)
        route = state.routes.services.get(target.service) if target else None
        if route is None:
            continue
        shared_buckets = frozenset(route.others)
        flows = [
            flow
            for flow in records.flows_of(state.records, name)
            if state.records.records[flow].bucket in shared_buckets
        ]
        state.outgoing_handovers[name] = OutgoingHandover(sorted(flows), shared_buckets)


def is_drained(state: BalancerState) -> bool:
    """Whether this balancer drains and has handed over all records."""
    own = state.cluster.nodes.get(state.node)
    draining = own is not None and own.state is NodeState.DRAINING
    return draining and not state.outgoing_handovers


def next_handovers(state: BalancerState, now: Seconds) -> list[Decision]:
    """Next part of the handover of each backend server with a new home."""
    sent: list[Decision] = []
    for name in list(state.outgoing_handovers):
        receiver = home(state.homes, name)
        if receiver is None or receiver == state.node:
            continue
        sent.append(SendHandover(receiver, _next_part(state, name, now)))
    return sent


def _next_part(state: BalancerState, name: BackendServerId, now: Seconds) -> Handover:
    outgoing = state.outgoing_handovers[name]
    part = outgoing.flows[:HANDOVER_RECORDS]
    del outgoing.flows[:HANDOVER_RECORDS]
    last = not outgoing.flows
    found = state.records.records
    handed = tuple(
        _handed(flow, found[flow], now)
        for flow in part
        if flow in found and found[flow].closed != records.BOTH_CLOSED
    )
    complete: tuple[BucketNumber, ...] = ()
    if last:
        del state.outgoing_handovers[name]
        former_role = state.homes.former_roles.get(name)
        if former_role is not None and former_role.complete:
            complete = tuple(sorted(outgoing.buckets))
    return Handover(
        state.node,
        name,
        state.routes.targets[name].boot_id,
        handed,
        last,
        _open_flows(state, name) if last else 0,
        complete,
    )


def _handed(flow: FlowKey, record: FlowRecord, now: Seconds) -> HandedRecord:
    idle = Seconds(max(0.0, now - record.last_seen))
    return HandedRecord(flow.hex(), record.bucket, idle, record.slot_held)


def _open_flows(state: BalancerState, name: BackendServerId) -> int:
    found = state.records.records
    recorded = sum(
        found[flow].slot_held for flow in records.flows_of(state.records, name)
    )
    return recorded + state.inherited_flows.get(name, 0)


def receive_handover(event: HandoverReceived, state: BalancerState) -> None:
    """Add the records that a draining balancer has sent."""
    handover = event.handover
    name = handover.backend_server
    target = state.routes.targets.get(name)
    if target is None or target.boot_id != handover.boot_id:
        return
    if home(state.homes, name) != state.node or not target.usable:
        return
    for handed in handover.records:
        flow = parse_flow(handed.flow)
        if flow is not None:
            _record(flow, handed, event, state)
    if not handover.last:
        return
    record_handover(state.homes, name, frozenset(handover.complete_buckets))
    recorded = _open_flows(state, name)
    state.inherited_flows[name] = max(0, handover.open_flows - recorded)
    state.admission.count_open(name, handover.open_flows, 0)


def _record(
    flow: FlowKey, handed: HandedRecord, event: HandoverReceived, state: BalancerState
) -> None:
    target = state.routes.targets[event.handover.backend_server]
    if flow in state.records.records or records.is_full(state.records):
        return
    seen = Seconds(event.now - handed.idle)
    bucket = bucket_of(flow)
    record = FlowRecord(target, bucket, seen, seen, handed.slot_held, answered=True)
    records.insert(state.records, flow, record)


def count_copies(state: BalancerState, name: BackendServerId) -> None:
    """Count the flows that this new home has copied as the backup."""
    found = state.records.records
    for flow in records.flows_of(state.records, name):
        if found[flow].closed != records.BOTH_CLOSED:
            found[flow].slot_held = True
    state.admission.count_open(name, _open_flows(state, name), 0)


def count_flows(state: BalancerState, now: Seconds) -> None:
    """Set the counts of open flows from the records, every ``COUNT_INTERVAL``."""
    if now - state.last_count < COUNT_INTERVAL:
        return
    state.last_count = now
    for name in list(state.renewals):
        if home(state.homes, name) == state.node:
            count_flows_of(state, name, now)


def count_flows_of(state: BalancerState, name: BackendServerId, now: Seconds) -> None:
    """Set the count of open flows of a backend server homed here from the records."""
    has_overflowed = now - state.last_overflows.get(name, NEVER) < COUNT_INTERVAL
    state.admission.count_open(name, _open_flows(state, name), int(has_overflowed))


def expire_inherited(state: BalancerState, now: Seconds) -> None:
    """Stop counting inherited flows that had no packet within the idle timeout."""
    for name in list(state.inherited_flows):
        if now < state.homes.incomplete_until.get(name, Seconds(0.0)):
            continue
        del state.inherited_flows[name]
