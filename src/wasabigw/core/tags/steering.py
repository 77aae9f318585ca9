"""Decides what to do with each packet from a caller.

The tag in a packet of an open flow names the backend server, so that any balancer can
deliver it without a flow table. Only an opening packet needs a backend server chosen.
"""

from collections.abc import Sequence

from wasabigw.core.declaration import Listener
from wasabigw.core.durations import Durations, record_duration
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.load.counting import (
    count_acknowledgement,
    count_arrival,
    count_data,
    count_opening,
    count_release,
    discard_lost_data,
    discard_lost_opening,
    end_request,
)
from wasabigw.core.tags import caller_diversion
from wasabigw.core.tags.admission_control import (
    AdmissionOutcome,
    abandon_opening,
    admit,
    is_held,
    make_held_opening,
    record_request,
)
from wasabigw.core.tags.decisions import (
    ChoiceReason,
    Deliver,
    Drop,
    DropReason,
    Hold,
    PacketDecision,
    RefusalReason,
    Refuse,
)
from wasabigw.core.tags.domain_suspicion import (
    avoided_servers,
    collect_evidence,
    record_choice,
    update_suspicions,
)
from wasabigw.core.tags.egress import has_waiting, is_congested, is_waiting
from wasabigw.core.tags.flow_table import (
    add_flow,
    close_flow,
    remove_flow,
    restart_flow,
)
from wasabigw.core.tags.health import (
    FailureSignal,
    confirm_doubt,
    is_unreachable,
    record_failure,
    record_probe,
    record_response,
)
from wasabigw.core.tags.held_openings import HeldOpening
from wasabigw.core.tags.link_classes import record_request_data, record_request_end
from wasabigw.core.tags.openings import (
    OPENING_TIMEOUT,
    discard_opening,
    pop_overdue,
    record_opening,
    tried_servers,
)
from wasabigw.core.tags.packets import (
    MAX_UNACKNOWLEDGED_BYTES,
    NO_TAG,
    FlowId,
    FlowPacket,
    sequence_distance,
)
from wasabigw.core.tags.rejections import record_answer
from wasabigw.core.tags.selection import choose_server_for, service_of
from wasabigw.core.tags.spare_servers import busy_servers
from wasabigw.core.tags.state import (
    Flow,
    FlowState,
    HealthChange,
    Server,
    TagState,
)
from wasabigw.core.tags.unreachable_hosts import request_check
from wasabigw.core.tags.upload_admission import (
    UploadOutcome,
    admit_upload,
    record_upload,
)

NO_WAIT = Seconds(0.0)
SUSPECT_AFTER = Seconds(0.15)
"""Minimum age of data at which its retransmission counts as a failure.

Callers retransmit after 0.2 s. A balancer that was suspended receives the data and its
retransmissions at the same moment, which is no evidence of a failure.
"""
MAX_COPY_AGE = Seconds(2.0)
"""Time after the first packet of a flow during which copies of its opening arrive.

Callers send the last copy 0.6 s after the opening, and it may wait in queues.
"""
MAX_WAIT_TO_REFUSE = Seconds(0.15)
"""Time in the receive buffer after which another copy of an opening may be delivered.

Callers send an opening again after 0.2 s.
"""
MAX_BYTES_BEFORE_COPY = 2**20
"""Most bytes that a caller sends on a flow before a copy of its opening arrives."""
_LAST_RESORTS = {ChoiceReason.UNANSWERING, ChoiceReason.COLD, ChoiceReason.REPEATED}
"""Reasons of choices among backend servers that had better not get an opening."""
_REASONS_IF_STALE = {
    RefusalReason.NO_LISTENER: DropReason.UNSURE_OF_LISTENER,
    RefusalReason.NO_SERVER: DropReason.UNSURE_OF_SERVERS,
}
"""Why an opening is dropped rather than refused if the view may not be current."""


def decide(
    packet: FlowPacket,
    state: TagState,
    now: Seconds,
    waited: Seconds = NO_WAIT,
) -> PacketDecision:
    """Decide whether to deliver, refuse or drop a packet from a caller.

    :param waited: time that the packet spent in the receive buffer.
    """
    if not state.has_view:
        return Drop(DropReason.NO_VIEW)
    if packet.is_opening:
        return _decide_opening(packet, state, now, waited)
    return _decide_open_flow(packet, state, now)


def _decide_opening(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> PacketDecision:
    flow = packet.flow
    listener = state.listeners.get((flow.listener, flow.listener_port))
    if listener is None:
        reason = RefusalReason.NO_LISTENER
        return _reject_opening(packet, reason, state, now, waited)
    service = service_of(listener, flow)
    count_arrival(packet, service, state)
    limited = _limit_opening(packet, listener, service, state, now, waited)
    if limited is not None:
        return limited
    return _open_flow(packet, listener, service, state, now, waited)


def decide_released(
    opening: HeldOpening, state: TagState, now: Seconds
) -> PacketDecision:
    """Decide on a held opening that is released now."""
    packet, flow = opening.packet, opening.packet.flow
    waited = Seconds(opening.waited + now - opening.held_at)
    listener = state.listeners.get((flow.listener, flow.listener_port))
    if listener is None:
        reason = RefusalReason.NO_LISTENER
        return _reject_opening(packet, reason, state, now, waited)
    return _open_flow(packet, listener, opening.service, state, now, waited)


def _limit_opening(
    packet: FlowPacket,
    listener: Listener,
    service: ServiceId,
    state: TagState,
    now: Seconds,
    waited: Seconds,
) -> PacketDecision | None:
    """Decide on an opening that is not sent to a backend server now."""
    known = state.flows.get(packet.flow)
    if known is not None and (
        known.state is FlowState.OPENING or _is_copy_of_opening(packet, known, now)
    ):
        return None
    if is_held(packet.flow, state):
        return Drop(DropReason.HELD_ALREADY)
    may_refuse = _may_refuse(packet, state, now, waited)
    outcome = admit(packet, listener, service, state, now, waited, may_refuse)
    if outcome is AdmissionOutcome.ADMIT:
        return None
    if outcome is AdmissionOutcome.HOLD:
        return Hold(make_held_opening(packet, listener, service, waited, now))
    if outcome is AdmissionOutcome.REFUSE:
        return Refuse(packet, RefusalReason.NO_ROOM)
    return Drop(DropReason.NO_ROOM)


def _open_flow(
    packet: FlowPacket,
    listener: Listener,
    service: ServiceId,
    state: TagState,
    now: Seconds,
    waited: Seconds,
) -> PacketDecision:
    """Decide on an opening that is sent to a backend server, if there is one."""
    flow = packet.flow
    pool = state.pools.get(service, ())
    avoided = tried_servers(flow.caller, state, now)
    known = state.flows.get(flow)
    if known is not None:
        if _is_copy_of_opening(packet, known, now):
            return Deliver(packet, known.server.registration, ChoiceReason.OPEN)
        if _is_unanswered(known, now) and not is_waiting(state.egress, packet):
            avoided.add(known.server)
            _record_unanswered(
                known.server,
                known.opened_at,
                FailureSignal.OPENING_RETRANSMITTED,
                state,
                now,
            )
        remove_flow(packet.flow, state)
    if _shares_load(listener, state):
        collect_evidence(state, now)
        update_suspicions(state, now)
        avoided |= avoided_servers(service, flow.caller, state, now)
    outcome = UploadOutcome.ADMIT
    if known is None:
        may_refuse = _may_refuse(packet, state, now, waited)
        outcome = admit_upload(packet, state, now, may_refuse)
        if outcome is UploadOutcome.REFUSE:
            return Refuse(packet, RefusalReason.NO_LINK_ROOM)
        if outcome is UploadOutcome.DROP:
            return Drop(DropReason.NO_LINK_ROOM)
    busy: set[Server] = set()
    requirements = listener.requirements
    if requirements is not None and state.features.admission_control:
        busy = busy_servers(service, requirements.priority, avoided, state, now)
    for overdue in pop_overdue(state, now):
        _record_unanswered(
            overdue.server, overdue.at, FailureSignal.OPENING_OVERDUE, state, now
        )
    chosen = choose_server_for(listener, service, state, now, avoided | busy)
    if busy and (chosen is None or chosen[1] in _LAST_RESORTS):
        # The idle ones have stopped answering since.
        busy = set()
        chosen = choose_server_for(listener, service, state, now, avoided)
    if chosen is None:
        reason = RefusalReason.NO_SERVER
        return _reject_opening(packet, reason, state, now, waited)
    server, choice = chosen
    if busy:
        choice = ChoiceReason.FREE_SLOTS
    record_probe(server.breaker, now)
    record_choice(server, state, now)
    caller_diversion.record_outcome(
        state.diversion, _counts_as_served(server, choice, pool, state)
    )
    count_opening(server)
    added = add_flow(packet, server, state, now)
    if added is not None:
        record_opening(flow, server, state, now)
        record_upload(flow, added, outcome, state)
    return Deliver(packet, server.registration, choice)


def _is_unanswered(known: Flow, now: Seconds) -> bool:
    """Whether an opening has left long enough ago to have been answered.

    It may have waited for the link until just before its copy came.
    """
    is_opening = known.state is FlowState.OPENING
    return is_opening and now - known.opened_at >= OPENING_TIMEOUT


def _shares_load(listener: Listener, state: TagState) -> bool:
    """Whether the choice for a listener uses what callers of others have met."""
    return listener.requirements is not None and state.features.load_sharing


def _may_refuse(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> bool:
    """Whether a reset can't end a flow that another copy of the opening has opened."""
    is_first = packet.repeat == 0 and waited < MAX_WAIT_TO_REFUSE
    return is_first and state.is_fresh(now)


def _reject_opening(
    packet: FlowPacket,
    reason: RefusalReason,
    state: TagState,
    now: Seconds,
    waited: Seconds,
) -> PacketDecision:
    """Refuse an opening if the flow can't be open; drop it otherwise."""
    if not state.is_fresh(now):
        return Drop(_REASONS_IF_STALE[reason])
    if packet.repeat > 0 or waited >= MAX_WAIT_TO_REFUSE:
        # Another balancer may have delivered another copy, and a reset would end the
        # flow that it opened.
        return Drop(DropReason.MAY_BE_OPEN)
    return Refuse(packet, reason)


def _is_copy_of_opening(packet: FlowPacket, known: Flow, now: Seconds) -> bool:
    """Whether an opening packet is a late copy of the opening of a known flow.

    A copy has to reach the same backend server: the caller puts the tag of the latest
    answer into its packets. Otherwise the caller uses the port of an ended flow again,
    for a flow of its own. Packets of backend servers bypass the balancer, so a flow may
    have ended though it seems open.
    """
    if known.state is FlowState.OPENING:
        # Copies that a balancer reads at the same moment, as it was suspended, must not
        # open two flows. Later ones show that the first copy was not answered.
        is_same = packet.sequence == known.first_sequence and packet.repeat > 0
        return is_same and now - known.opened_at < OPENING_TIMEOUT
    if known.state is FlowState.OPEN and packet.sequence == known.first_sequence:
        return True
    if now - known.opened_at >= MAX_COPY_AGE:
        return False
    ahead = sequence_distance(packet.sequence, known.first_sequence)
    return 0 <= ahead <= MAX_BYTES_BEFORE_COPY


def _counts_as_served(
    server: Server, reason: ChoiceReason, pool: Sequence[Server], state: TagState
) -> bool:
    """Whether an opening counts as served when deciding on diverting callers.

    An opening without an answering backend server counts as well if the local failure
    domain has backend servers for the service: these have failed then, rather than the
    path to other failure domains, and diverting callers would not help.
    """
    if reason not in (ChoiceReason.UNANSWERING, ChoiceReason.REPEATED):
        return True
    home = state.failure_domain
    return any(s.registration.failure_domain == home for s in pool)


def _decide_open_flow(
    packet: FlowPacket, state: TagState, now: Seconds
) -> PacketDecision:
    if packet.is_reset:
        abandon_opening(packet.flow, state)
    if packet.tag == NO_TAG:
        return Drop(DropReason.NO_TAG)
    server = state.servers.get(packet.tag)
    if server is None:
        return Drop(DropReason.UNKNOWN_TAG)
    if packet.is_reset:
        remove_flow(packet.flow, state)
        return _deliver(packet, server)
    if packet.is_closing:
        _close_flow(packet, server, state, now)
        return _deliver(packet, server)
    flow = _record_use(packet, server, state, now)
    if flow is not None and _record_data(packet, flow, state, now):
        remove_flow(packet.flow, state)
        return Refuse(packet, RefusalReason.SERVER_LOST)
    return _deliver(packet, server)


def _deliver(packet: FlowPacket, server: Server) -> Deliver:
    """Deliver a packet of an open flow."""
    return Deliver(packet, server.registration, receiver=server.receiver)


def _record_unanswered(
    server: Server,
    sent_at: Seconds,
    failure: FailureSignal,
    state: TagState,
    now: Seconds,
) -> None:
    congested = is_congested(state.egress, now)
    if congested and not confirm_doubt(server.breaker, sent_at, now):
        return
    silent_for = Seconds(now - server.breaker.last_response_at)
    if record_failure(server.breaker, sent_at, now):
        state.health_changes.append(HealthChange(server, failure, silent_for))


def _record_data(packet: FlowPacket, flow: Flow, state: TagState, now: Seconds) -> bool:
    """Record data of an open flow; ``True`` if its backend server is unreachable."""
    if packet.length == 0:
        return False
    record_request_data(packet, flow, now)
    if is_waiting(state.egress, packet):
        # The backend server has not been sent the first copy yet.
        return False
    count_data(packet, flow, state, now)
    if flow.pending_sequence is None:
        record_request(flow, state, now)
        _expect_answer(flow, packet.sequence, now)
    elif _shows_progress(packet, flow.pending_sequence):
        _record_response(flow.server, state, now)
        _expect_answer(flow, packet.sequence, now)
    elif packet.sequence == flow.pending_sequence:
        _record_retransmission(packet.flow, flow, state, now)
    return is_unreachable(flow.server.breaker, now)


def _record_retransmission(
    flow_id: FlowId, flow: Flow, state: TagState, now: Seconds
) -> None:
    if now - flow.pending_since < SUSPECT_AFTER:
        return
    if has_waiting(state.egress, flow_id):
        # Backend servers acknowledge every second packet, and this may be the first.
        return
    signal = FailureSignal.DATA_RETRANSMITTED
    _record_unanswered(flow.server, flow.pending_since, signal, state, now)
    if flow.server.breaker.failures > 0:
        request_check(flow.server, flow.pending_since, state, now)


def _expect_answer(flow: Flow, sequence: int, now: Seconds) -> None:
    flow.pending_sequence = sequence
    flow.pending_since = now


def _shows_progress(packet: FlowPacket, pending_sequence: int) -> bool:
    """Whether data is so far ahead that earlier data must have been acknowledged.

    During an upload nothing else shows that the backend server is alive: it sends
    acknowledgements, which the balancer does not see, and no data.
    """
    ahead = sequence_distance(pending_sequence, packet.sequence)
    return ahead + packet.length > MAX_UNACKNOWLEDGED_BYTES


def record_release(packet: FlowPacket, state: TagState, now: Seconds) -> None:
    """Record that a packet is sent to its backend server after it has waited.

    The time that a packet waits for the link is no evidence against the backend server.
    """
    flow = state.flows.get(packet.flow)
    if flow is None:
        return
    if packet.is_opening:
        if flow.state is FlowState.OPENING:
            restart_flow(flow, now)
            discard_opening(packet.flow, state)
            record_opening(packet.flow, flow.server, state, now)
    elif packet.length:
        count_release(flow, now)
        if flow.pending_sequence is not None:
            flow.pending_since = now


def record_loss(packet: FlowPacket, state: TagState) -> None:
    """Record that a packet was not sent to its backend server after all.

    A caller that retransmits it shows nothing about the backend server.
    """
    flow = state.flows.get(packet.flow)
    if flow is None:
        return
    if packet.is_opening:
        if flow.state is FlowState.OPENING:
            discard_lost_opening(flow.server)
            remove_flow(packet.flow, state)
    elif packet.length:
        flow.pending_sequence = None
        discard_lost_data(packet, flow)


def _record_use(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> Flow | None:
    known = _flow_at(server, packet, state)
    if known is None:
        # Opened through another balancer: its acknowledgement may be an old one and
        # is no evidence that the backend server is alive now.
        known = add_flow(packet, server, state, now)
        if known is not None:
            known.state = FlowState.OPEN
            known.acknowledged = packet.acknowledged
        return known
    known.last_seen = now
    discard_opening(packet.flow, state)
    was_opening = known.state is FlowState.OPENING
    if was_opening:
        known.state = FlowState.OPEN
    if was_opening or known.acknowledged != packet.acknowledged:
        record_answer(packet, known, state, now)
        count_acknowledgement(packet, known, state, now)
        known.acknowledged = packet.acknowledged
        record_request_end(packet.flow, known, state)
        if known.pending_sequence is not None:
            known.pending_sequence = None
            service = server.registration.service
            times = state.answer_times.setdefault(service, Durations())
            record_duration(times, Seconds(now - known.pending_since))
        _record_response(server, state, now)
    return known


def _flow_at(server: Server, packet: FlowPacket, state: TagState) -> Flow | None:
    """The flow of a packet, unless it is known at another backend server."""
    known = state.flows.get(packet.flow)
    if known is not None and known.server is not server:
        remove_flow(packet.flow, state)
        return None
    return known


def _close_flow(
    packet: FlowPacket, server: Server, state: TagState, now: Seconds
) -> None:
    """Keep a flow as closed, so that its last acknowledgement does not open it."""
    known = _flow_at(server, packet, state) or add_flow(packet, server, state, now)
    if known is None:
        return
    discard_opening(packet.flow, state)
    record_answer(packet, known, state, now)
    close_flow(known)
    count_acknowledgement(packet, known, state, now)
    end_request(known)
    known.last_seen = now
    known.acknowledged = packet.acknowledged
    known.pending_sequence = None
    record_request_end(packet.flow, known, state)


def _record_response(server: Server, state: TagState, now: Seconds) -> None:
    silent_for = Seconds(now - server.breaker.last_response_at)
    if record_response(server.breaker, now):
        state.health_changes.append(HealthChange(server, None, silent_for))
