"""Decisions on the packets of callers.

The tag in a packet of an open flow names the backend server, so that any balancer
can deliver it without a table of flows. Only the opening packet needs a choice.
"""

from collections.abc import Sequence

from wasabigw.core.durations import Durations, record_duration
from wasabigw.core.ids import Seconds
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags import reach
from wasabigw.core.tags.decisions import (
    ChoiceReason,
    Deliver,
    Drop,
    DropReason,
    PacketDecision,
    Refuse,
    RefuseReason,
)
from wasabigw.core.tags.health import (
    Doubt,
    is_confirmed,
    is_lost,
    note_copy,
    note_life,
    note_probe,
    note_unanswered,
)
from wasabigw.core.tags.openings import (
    note_followed,
    note_opened,
    take_overdue,
    tried_by,
)
from wasabigw.core.tags.packets import NO_TAG, FlowId, FlowPacket
from wasabigw.core.tags.selection import choose_server, service_of
from wasabigw.core.tags.state import Flow, HealthChange, Server, TagState

MAX_FLOWS = 100_000
"""Flows whose use is counted; further ones are carried without being counted."""


def decide(packet: FlowPacket, state: TagState, now: Seconds) -> PacketDecision:
    """Decide on a packet of a caller."""
    if not state.has_view:
        return Drop(DropReason.NO_VIEW)
    if packet.is_opening:
        return _open(packet, state, now)
    return _continue(packet, state, now)


def _open(packet: FlowPacket, state: TagState, now: Seconds) -> PacketDecision:
    flow = packet.flow
    listener = state.listeners.get((flow.listener, flow.listener_port))
    if listener is None:
        if state.is_fresh(now):
            return Refuse(packet, RefuseReason.NO_LISTENER)
        return Drop(DropReason.UNSURE_OF_LISTENER)
    service = service_of(listener, flow)
    pool = state.pools.get(service, ())
    avoided = tried_by(flow.caller, state, now)
    known = state.flows.get(flow)
    if known is not None:
        if known.is_open:
            return Deliver(packet, known.server.registration, ChoiceReason.OPEN)
        if known.server not in avoided:
            avoided.append(known.server)
        _doubt_opening(
            known.server, known.opened_at, Doubt.OPENING_REPEATED, state, now
        )
        _forget(packet, state)
    for overdue in take_overdue(state, now):
        _doubt_opening(overdue.server, overdue.at, Doubt.OPENING_OVERDUE, state, now)
    chosen = choose_server(service, state, now, avoided)
    if chosen is None:
        if state.is_fresh(now):
            return Refuse(packet, RefuseReason.NO_SERVER)
        return Drop(DropReason.UNSURE_OF_SERVERS)
    server, reason = chosen
    note_probe(server.breaker, now)
    reach.note_opening(state.reach, _is_served(server, reason, pool, state))
    if _record(packet, server, state, now) is not None:
        note_opened(flow, server, state, now)
    return Deliver(packet, server.registration, reason)


def _is_served(
    server: Server, reason: ChoiceReason, pool: Sequence[Server], state: TagState
) -> bool:
    """Whether an opening goes to a backend server that may answer.

    Where the own failure domain has backend servers for the service, none of which
    answers, it is them and not the way to others that has failed.
    """
    if reason not in (ChoiceReason.UNANSWERING, ChoiceReason.REPEATED):
        return True
    home = state.failure_domain
    return any(s.registration.failure_domain == home for s in pool)


def _continue(packet: FlowPacket, state: TagState, now: Seconds) -> PacketDecision:
    if packet.tag == NO_TAG:
        return Drop(DropReason.NO_TAG)
    server = state.servers.get(packet.tag)
    if server is None:
        return Drop(DropReason.UNKNOWN_TAG)
    if server.registration.state is RegistrationState.ENDED:
        _forget(packet, state)
        return Refuse(packet, RefuseReason.SERVER_ENDED)
    if packet.is_closing or packet.is_reset:
        _forget(packet, state)
        return Deliver(packet, server.registration)
    flow = _note_use(packet, server, state, now)
    if flow is not None and _is_lost(packet, flow, state, now):
        _forget(packet, state)
        return Refuse(packet, RefuseReason.SERVER_LOST)
    return Deliver(packet, server.registration)


def _doubt_opening(
    server: Server, sent_at: Seconds, doubt: Doubt, state: TagState, now: Seconds
) -> None:
    silent_for = Seconds(now - server.breaker.heard_at)
    if note_unanswered(server.breaker, sent_at, now):
        state.health_changes.append(HealthChange(server, doubt, silent_for))


def _is_lost(packet: FlowPacket, flow: Flow, state: TagState, now: Seconds) -> bool:
    if packet.length == 0:
        return False
    breaker = flow.server.breaker
    if flow.pending is None:
        flow.pending, flow.pending_since, flow.copies = packet.sequence, now, 0
    elif packet.sequence == flow.pending:
        flow.copies += 1
        caller = packet.flow.caller
        silent_for = Seconds(now - breaker.heard_at)
        if note_copy(breaker, caller, flow.pending_since, flow.copies, now):
            change = HealthChange(flow.server, Doubt.DATA_REPEATED, silent_for)
            state.health_changes.append(change)
    return is_lost(breaker, flow.pending_since, now)


def is_loss(decision: PacketDecision) -> bool:
    """Whether a packet is refused because its backend server can't be reached."""
    return isinstance(decision, Refuse) and decision.reason is RefuseReason.SERVER_LOST


def give_up(packet: FlowPacket, state: TagState) -> list[Refuse]:
    """Give up all open flows of the backend server that a refused packet was for.

    A caller whose flow has ended by then opens a new one for its next request, which
    would otherwise be lost with the flow. The word of one caller is not enough.
    """
    server = state.servers.get(packet.tag)
    if server is None or not is_confirmed(server.breaker):
        return []
    lost = [
        _last_packet(flow, known)
        for flow, known in state.flows.items()
        if known.server is server and known.is_open
    ]
    for last in lost:
        _forget(last, state)
    return [Refuse(last, RefuseReason.SERVER_LOST) for last in lost]


def _last_packet(flow: FlowId, known: Flow) -> FlowPacket:
    tag, acknowledged = known.server.registration.tag, known.acknowledged
    return FlowPacket(flow, tag, False, False, False, 0, 0, acknowledged, 0)


def _note_use(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> Flow | None:
    known = state.flows.get(packet.flow)
    if known is not None and known.server is not server:
        _forget(packet, state)
        known = None
    if known is None:
        # Opened through another balancer: what it acknowledges may be old.
        known = _record(packet, server, state, now)
        if known is not None:
            known.is_open = True
            known.acknowledged = packet.acknowledged
        return known
    known.last_seen = now
    note_followed(packet.flow, state)
    if not known.is_open or known.acknowledged != packet.acknowledged:
        known.is_open = True
        known.acknowledged = packet.acknowledged
        if known.pending is not None:
            known.pending = None
            service = server.registration.service
            times = state.answer_times.setdefault(service, Durations())
            record_duration(times, Seconds(now - known.pending_since))
        silent_for = Seconds(now - server.breaker.heard_at)
        if note_life(server.breaker, now):
            state.health_changes.append(HealthChange(server, None, silent_for))
    return known


def _record(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> Flow | None:
    if len(state.flows) >= MAX_FLOWS:
        return None
    flow = state.flows[packet.flow] = Flow(server, now, now)
    server.open_flows += 1
    return flow


def _forget(packet: FlowPacket, state: TagState) -> None:
    known = state.flows.pop(packet.flow, None)
    if known is not None:
        known.server.open_flows -= 1
        note_followed(packet.flow, state)


def expire_flows(state: TagState, now: Seconds) -> None:
    """Forget flows that have been idle for longer than they may be."""
    ended = [
        flow
        for flow, known in state.flows.items()
        if now - known.last_seen >= state.idle_timeout
    ]
    for flow in ended:
        known = state.flows.pop(flow)
        known.server.open_flows -= 1
        note_followed(flow, state)
