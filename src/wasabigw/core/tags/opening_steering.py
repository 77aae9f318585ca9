"""Decides what to do with each opening packet from a caller."""

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import Seconds, ServiceId
from wasabigw.core.load.counting import count_arrival, count_opening
from wasabigw.core.tags.admission.admission_control import (
    AdmissionOutcome,
    admit,
    is_held,
    make_held_opening,
)
from wasabigw.core.tags.admission.held_openings import HeldOpening
from wasabigw.core.tags.choice.selection import choose_server_for, service_of
from wasabigw.core.tags.choice.spare_servers import busy_servers
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
from wasabigw.core.tags.flow_table import add_flow, remove_flow
from wasabigw.core.tags.link.upload_admission import (
    UploadOutcome,
    admit_upload,
    record_upload,
)
from wasabigw.core.tags.liveness import caller_diversion
from wasabigw.core.tags.liveness.domain_suspicion import (
    avoided_servers,
    collect_evidence,
    record_choice,
    update_suspicions,
)
from wasabigw.core.tags.liveness.health import record_probe
from wasabigw.core.tags.opening_copies import (
    is_copy_of_opening,
    keeps_server,
    record_overdue,
)
from wasabigw.core.tags.openings import record_opening, tried_servers
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import FlowState, Server, TagState

MAX_WAIT_TO_REFUSE = Seconds(0.15)
"""Time in the receive buffer after which another copy of an opening may be delivered.

Callers send an opening again after 0.2 s.
"""
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
        known.state is FlowState.OPENING or is_copy_of_opening(packet, known, now)
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
        if is_copy_of_opening(packet, known, now):
            return Deliver(packet, known.server.registration, ChoiceReason.OPEN)
        if known.state is FlowState.OPENING:
            if keeps_server(packet, known, state, now):
                return Deliver(packet, known.server.registration, ChoiceReason.AGAIN)
            avoided.add(known.server)
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
    record_overdue(state, now)
    chosen = choose_server_for(listener, service, state, now, avoided | busy)
    if not busy:
        return chosen
    if chosen is None or chosen[1] in _LAST_RESORTS:
        # Those with free slots have stopped answering since.
        return choose_server_for(listener, service, state, now, avoided)
    return chosen[0], ChoiceReason.FREE_SLOTS


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
