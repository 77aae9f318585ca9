"""Home of backend servers: announcements, admission, ramp and reports.

The home of a backend server is the one balancer that admits flows for it, so a
limit on the total of its flows holds without coordination between balancers.
"""

from functools import singledispatch

from wasabigw.core import admission, cold_start, leases
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.cold_start import (
    OpeningResult,
    OpeningSignal,
)
from wasabigw.core.home_announcements import answer_announcement
from wasabigw.core.home_changes import apply_cluster_changes
from wasabigw.core.home_events import (
    AnnouncementReceived,
    FlowsCounted,
    HomeDecision,
    HomeEvent,
    HomesChanged,
    HomeTick,
    ReplyToAnnouncement,
    SendReports,
)
from wasabigw.core.home_records import (
    MAX_HOMED_SERVERS,
    HomedServer,
    HomeState,
    is_contested,
    restart_ramp_if_cold,
    send_due_reports,
    update_listening,
)
from wasabigw.core.ids import (
    BackendServerId,
    NodeId,
    Seconds,
    ServiceId,
)
from wasabigw.core.timing import (
    ANNOUNCE_LEASE,
    FLOW_IDLE_TIMEOUT,
)
from wasabigw.core.transition import in_service

__all__ = [
    "AdmissionVerdict",
    "AnnouncementReceived",
    "FlowsCounted",
    "HomeDecision",
    "HomeState",
    "HomeTick",
    "HomesChanged",
    "OpeningResult",
    "OpeningSignal",
    "ReplyToAnnouncement",
    "SendReports",
    "admit",
    "confirm_view",
    "handle",
    "make_home_state",
    "may_send",
    "observe",
    "observe_answer",
    "observe_shed",
    "release",
]


def make_home_state(node: NodeId) -> HomeState:
    """State of a node that has not yet received the replicated state."""
    return HomeState(node)


def confirm_view(state: HomeState, fresh_until: Seconds) -> None:
    """Record until when the node may use its copy of the replicated state.

    Before the first call, flows are admitted under the rules for a stale view.
    """
    state.fresh_until = fresh_until


def admit(
    state: HomeState, backend_server: BackendServerId, now: Seconds
) -> AdmissionVerdict:
    """Check whether a new flow may open; ``ADMITTED`` also counts it as open.

    ``TAKEOVER_WAIT`` means that a retransmission by the caller may succeed: another
    home may still be admitting flows, or this one will begin to shortly.
    """
    record = state.servers.get(backend_server)
    if record is None or state.cluster is None or record.homed_since is None:
        return AdmissionVerdict.NOT_ANNOUNCED
    if not in_service(record.failure_domain, state.cluster):
        return AdmissionVerdict.NOT_ANNOUNCED
    if record.lease is None or not leases.is_valid(record.lease, now):
        waiting = not record.announced and now - record.homed_since < ANNOUNCE_LEASE
        if waiting:
            return AdmissionVerdict.TAKEOVER_WAIT
        return AdmissionVerdict.NOT_ANNOUNCED
    if is_contested(record, now):
        # The flow would open at a boot that is not registered yet.
        return AdmissionVerdict.TAKEOVER_WAIT
    if not leases.may_admit_after_takeover(record.lease, now):
        return AdmissionVerdict.TAKEOVER_WAIT
    fresh = state.fresh_until is not None and now < state.fresh_until
    if not fresh and not leases.may_admit_with_stale_view(record.lease, now):
        return AdmissionVerdict.TAKEOVER_WAIT
    return admission.admit_flow(record.admission, now)


def release(state: HomeState, backend_server: BackendServerId, now: Seconds) -> None:
    """Count a flow of a backend server as ended."""
    record = state.servers.get(backend_server)
    if record is not None:
        admission.release_flow(record.admission)


def may_send(
    state: HomeState, backend_server: BackendServerId, service: ServiceId, now: Seconds
) -> bool:
    """Whether a valid lease from the backend server at this node covers the service."""
    record = state.servers.get(backend_server)
    if record is None or record.service != service:
        return False
    return leases.is_valid(record.lease, now)


def observe(
    state: HomeState,
    backend_server: BackendServerId,
    signal: OpeningSignal,
    now: Seconds,
) -> None:
    """Record how a backend server responded to the opening of a flow."""
    record = state.servers.get(backend_server)
    if record is not None:
        cold_start.add_opening(record.detector, signal, now)
        restart_ramp_if_cold(record, now)


def observe_answer(
    state: HomeState, backend_server: BackendServerId, now: Seconds
) -> None:
    """Record that a backend server answered a caller."""
    record = state.servers.get(backend_server)
    if record is not None:
        record.answered_at = now
        record.missed_when_answered = state.missed


def observe_shed(
    state: HomeState, backend_server: BackendServerId, now: Seconds
) -> None:
    """Record that a backend server shed a request."""
    record = state.servers.get(backend_server)
    if record is not None:
        cold_start.add_shed(record.detector, now)
        restart_ramp_if_cold(record, now)


@singledispatch
def handle(event: HomeEvent, state: HomeState) -> list[HomeDecision]:
    """Update the state for an event and return the decisions that follow."""
    raise TypeError(f"unsupported event type: {type(event).__name__}")


@handle.register
def _(event: AnnouncementReceived, state: HomeState) -> list[HomeDecision]:
    update_listening(state, event.now)
    return answer_announcement(event, state)


@handle.register
def _(event: HomeTick, state: HomeState) -> list[HomeDecision]:
    update_listening(state, event.now)
    state.now = event.now
    for record in state.servers.values():
        _advance_ramp(record, state, event.now)
    decisions = send_due_reports(state.servers.values(), state, event.now)
    for record in list(state.servers.values()):
        _remove_if_expired(record, state, event.now)
    return decisions


@handle.register
def _(event: HomesChanged, state: HomeState) -> list[HomeDecision]:
    update_listening(state, event.now)
    apply_cluster_changes(event.cluster, state, event.now)
    return send_due_reports(state.servers.values(), state, event.now)


@handle.register
def _(event: FlowsCounted, state: HomeState) -> list[HomeDecision]:
    record = state.servers.get(event.backend_server)
    if record is None or record.homed_since is None:
        if len(state.handed_over_counts) < MAX_HOMED_SERVERS:
            state.handed_over_counts[event.backend_server] = event.open_flows
        return []
    record.overflow_flows = event.overflow_flows
    counted = record.admission.open_flows
    # For one idle timeout after a takeover, records of open flows may be missing here,
    # so a count can only raise the number.
    if state.now - record.homed_since < FLOW_IDLE_TIMEOUT:
        record.admission.open_flows = max(counted, event.open_flows)
    else:
        record.admission.open_flows = event.open_flows
        record.admission.previous_boot_flows = 0
    return []


def _advance_ramp(record: HomedServer, state: HomeState, now: Seconds) -> None:
    if state.cluster is None or record.homed_since is None:
        return
    if not in_service(record.failure_domain, state.cluster):
        # Its caches go cold while it gets no load.
        admission.restart_ramp(record.admission, now)
    elif leases.is_valid(record.lease, now):
        verdict = cold_start.verdict(record.detector, now)
        admission.advance_ramp(record.admission, verdict, now)
    admission.update_overload(record.admission, record.overflow_flows, now)


def _remove_if_expired(record: HomedServer, state: HomeState, now: Seconds) -> None:
    assert state.cluster is not None
    registered = record.id in state.cluster.backend_servers
    if not registered and not leases.is_valid(record.lease, now):
        del state.servers[record.id]
