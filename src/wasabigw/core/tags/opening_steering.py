"""Decides what to do with each opening packet from a caller."""

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.load.counting import count_arrival, count_opening
from wasabigw.core.tags import caller_diversion
from wasabigw.core.tags.admission_control import (
    AdmissionOutcome,
    admit,
    is_held,
    make_held_opening,
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
from wasabigw.core.tags.egress import is_waiting
from wasabigw.core.tags.evidence import record_unanswered
from wasabigw.core.tags.flow_table import add_flow, remove_flow
from wasabigw.core.tags.health import FailureSignal, record_probe
from wasabigw.core.tags.held_openings import HeldOpening
from wasabigw.core.tags.openings import (
    OPENING_TIMEOUT,
    pop_overdue,
    record_opening,
    tried_servers,
)
from wasabigw.core.tags.packets import FlowId, FlowPacket, sequence_distance
from wasabigw.core.tags.selection import choose_server_for, service_of
from wasabigw.core.tags.spare_servers import busy_servers
from wasabigw.core.tags.state import (
    Flow,
    FlowState,
    Server,
    TagState,
)
from wasabigw.core.tags.upload_admission import (
    UploadOutcome,
    admit_upload,
    record_upload,
)

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


def decide_opening(
    packet: FlowPacket, state: TagState, now: Seconds, waited: Seconds
) -> PacketDecision:
    """Decide whether to deliver, hold, refuse or drop an opening.

    :param waited: time that the packet spent in the receive buffer.
    """
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
    avoided = tried_servers(flow.caller, state, now)
    known = state.flows.get(flow)
    if known is not None:
        if _is_copy_of_opening(packet, known, now):
            return Deliver(packet, known.server.registration, ChoiceReason.OPEN)
        if _is_unanswered(known, now) and not is_waiting(state.egress, packet):
            avoided.add(known.server)
            _record_unanswered_opening(known, state, now)
        remove_flow(flow, state)
    upload = UploadOutcome.ADMIT
    if known is None:
        may_refuse = _may_refuse(packet, state, now, waited)
        upload = admit_upload(packet, state, now, may_refuse)
        if upload is UploadOutcome.REFUSE:
            return Refuse(packet, RefusalReason.NO_LINK_ROOM)
        if upload is UploadOutcome.DROP:
            return Drop(DropReason.NO_LINK_ROOM)
    chosen = _choose(flow, listener, service, avoided, state, now)
    if chosen is None:
        reason = RefusalReason.NO_SERVER
        return _reject_opening(packet, reason, state, now, waited)
    server, choice = chosen
    record_probe(server.breaker, now)
    record_choice(server, state, now)
    caller_diversion.record_outcome(
        state.diversion, _counts_as_served(server, choice, service, state)
    )
    count_opening(server)
    added = add_flow(packet, server, state, now)
    if added is not None:
        record_opening(flow, server, state, now)
        record_upload(flow, added, upload, state)
    return Deliver(packet, server.registration, choice)


def _choose(
    flow: FlowId,
    listener: Listener,
    service: ServiceId,
    avoided: set[Server],
    state: TagState,
    now: Seconds,
) -> tuple[Server, ChoiceReason] | None:
    """Choose a backend server by what openings and load figures show.

    :param avoided: backend servers that have not answered the caller.
    """
    if _shares_load(listener, state):
        collect_evidence(state, now)
        update_suspicions(state, now)
        avoided |= avoided_servers(service, flow.caller, state, now)
    busy: set[Server] = set()
    requirements = listener.requirements
    if requirements is not None and state.features.admission_control:
        busy = busy_servers(service, requirements.priority, avoided, state, now)
    for overdue in pop_overdue(state, now):
        record_unanswered(
            overdue.server, overdue.at, FailureSignal.OPENING_OVERDUE, state, now
        )
    chosen = choose_server_for(listener, service, state, now, avoided | busy)
    if not busy:
        return chosen
    if chosen is None or chosen[1] in _LAST_RESORTS:
        # Those with free slots have stopped answering since.
        return choose_server_for(listener, service, state, now, avoided)
    return chosen[0], ChoiceReason.FREE_SLOTS


def _record_unanswered_opening(known: Flow, state: TagState, now: Seconds) -> None:
    signal = FailureSignal.OPENING_RETRANSMITTED
    record_unanswered(known.server, known.opened_at, signal, state, now)


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
    server: Server, reason: ChoiceReason, service: ServiceId, state: TagState
) -> bool:
    """Whether an opening counts as served when deciding on diverting callers.

    An opening without an answering backend server counts as well if the local failure
    domain has backend servers for the service: these have failed then, rather than the
    path to other failure domains, and diverting callers would not help.
    """
    if reason not in (ChoiceReason.UNANSWERING, ChoiceReason.REPEATED):
        return True
    home = state.failure_domain
    pool = state.pools.get(service, ())
    return any(s.registration.failure_domain == home for s in pool)
