"""Home of backend servers: announcements, admission, ramp and reports.

Only the home of a backend server admits flows for it, so that a limit on the
total holds by construction.
"""

from functools import singledispatch

from wasabigw.core import admission, cold_start, leases
from wasabigw.core.admission import AdmissionVerdict
from wasabigw.core.cluster import BackendServer
from wasabigw.core.cold_start import (
    ColdVerdict,
    OpeningResult,
    OpeningSignal,
)
from wasabigw.core.commands import BackendServerUp, Report
from wasabigw.core.endpoints import backend_server_problem, report_problem
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
    MAX_HOMED,
    HomedServer,
    HomeState,
    due_reports,
    flow_limit,
    open_limit,
    record_of_registered,
)
from wasabigw.core.ids import (
    BackendServerId,
    NodeId,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    AnnouncementRefused,
)
from wasabigw.core.placement import HomePlacement, home_among, is_home, placement_of
from wasabigw.core.states import BackendServerState, FlowLimit
from wasabigw.core.timing import (
    ANNOUNCE_LEASE,
    FLOW_IDLE_TIMEOUT,
    RAMP_STEPS,
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
    "observe_shed",
    "release",
]

REFUSED_RETRY = Seconds(5.0)
"""When a refused backend server should try again; a quarantine lasts as long."""


def make_home_state(node: NodeId) -> HomeState:
    """State of a node that has not yet received the replicated state."""
    return HomeState(node)


def confirm_view(state: HomeState, fresh_until: Seconds) -> None:
    """Record how long the node may use its copy of the replicated state.

    Without it, flows are admitted as with a stale view.
    """
    state.fresh_until = fresh_until


def admit(
    state: HomeState, backend_server: BackendServerId, now: Seconds
) -> AdmissionVerdict:
    """Whether a new flow may open; ``ADMITTED`` counts it as open.

    ``TAKEOVER_WAIT`` means that the caller's retransmission may succeed, because
    another home may still admit flows or this one is about to.
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
    """Whether the backend server itself vouches for its service at this node."""
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
        _return_to_first_step_if_cold(record, now)


def observe_shed(
    state: HomeState, backend_server: BackendServerId, now: Seconds
) -> None:
    """Record that a backend server shed a request."""
    record = state.servers.get(backend_server)
    if record is not None:
        cold_start.add_shed(record.detector, now)
        _return_to_first_step_if_cold(record, now)


@singledispatch
def handle(event: HomeEvent, state: HomeState) -> list[HomeDecision]:
    """Decisions that follow from an event."""
    raise TypeError(f"no rule for the event {type(event).__name__}")


@handle.register
def _(event: AnnouncementReceived, state: HomeState) -> list[HomeDecision]:
    announcement, now = event.announcement, event.now
    if state.cluster is None:
        return [_refuse("this balancer has no view of the cluster yet", 1.0)]
    report = _report_of(announcement)
    malformed = report_problem(report)
    if malformed is not None:
        return [_refuse(malformed, None)]
    nodes = state.cluster.nodes
    home = home_among(announcement.id, announcement.failure_domain, nodes.values())
    if home is None:
        return [_refuse("no balancer is registered yet; try again", 1.0)]
    if home != state.node:
        redirected = AnnouncementRedirected(home, nodes[home].api)
        return [ReplyToAnnouncement(redirected)]
    problem = backend_server_problem(report, state.cluster)
    if problem is not None:
        return _refuse_registration(problem, report, state)
    if announcement.id not in state.servers and len(state.servers) >= MAX_HOMED:
        text = (
            f"this balancer is the home of {MAX_HOMED} backend servers; add balancers"
        )
        return [_refuse(text, REFUSED_RETRY)]
    record = _announced(announcement, state, now)
    accepted = AnnouncementAccepted(ANNOUNCE_LEASE, state.node)
    return [ReplyToAnnouncement(accepted), *_send_due(record, state, now)]


@handle.register
def _(event: HomeTick, state: HomeState) -> list[HomeDecision]:
    state.now = event.now
    reports: list[Report] = []
    for record in list(state.servers.values()):
        _advance(record, state, event.now)
        reports += _due(record, state, event.now)
        _forget_if_gone(record, state, event.now)
    return [SendReports(tuple(reports))] if reports else []


@handle.register
def _(event: HomesChanged, state: HomeState) -> list[HomeDecision]:
    cluster, now = event.cluster, event.now
    state.cluster = cluster
    placement = placement_of(state.node, cluster)
    moved = placement.membership != state.membership
    for server in cluster.backend_servers.values():
        if moved or state.seen.get(server.id) is not server:
            _update_home(server, placement, state, now)
    for name in state.seen.keys() - cluster.backend_servers.keys():
        _deregistered(name, state)
    state.membership = placement.membership
    state.seen = dict(cluster.backend_servers)
    state.counted = {
        name: count
        for name, count in state.counted.items()
        if name in cluster.backend_servers
    }
    _update_limits(state)
    reports = [r for record in state.servers.values() for r in _due(record, state, now)]
    return [SendReports(tuple(reports))] if reports else []


@handle.register
def _(event: FlowsCounted, state: HomeState) -> list[HomeDecision]:
    record = state.servers.get(event.backend_server)
    if record is None or record.homed_since is None:
        if len(state.counted) < MAX_HOMED:
            state.counted[event.backend_server] = event.open_flows
        return []
    record.overflow_flows = event.overflow_flows
    counted = record.admission.open_flows
    # Until all records are here, the count of another source may be the right one.
    if state.now - record.homed_since < FLOW_IDLE_TIMEOUT:
        record.admission.open_flows = max(counted, event.open_flows)
    else:
        record.admission.open_flows = event.open_flows
        record.admission.ended_flows = 0
    return []


def _report_of(announcement: Announcement) -> BackendServerUp:
    return BackendServerUp(
        id=announcement.id,
        service=announcement.service,
        failure_domain=announcement.failure_domain,
        endpoint=announcement.endpoint,
        boot_id=announcement.boot_id,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state,
        step=RAMP_STEPS[0],
    )


def _refuse(message: str, retry_after: float | None) -> ReplyToAnnouncement:
    seconds = None if retry_after is None else Seconds(retry_after)
    return ReplyToAnnouncement(AnnouncementRefused(message, seconds))


def _refuse_registration(
    problem: str, report: BackendServerUp, state: HomeState
) -> list[HomeDecision]:
    """Refuse, and stop to vouch for the service that was announced before."""
    assert state.cluster is not None
    decisions: list[HomeDecision] = [_refuse(problem, REFUSED_RETRY)]
    known = state.cluster.backend_servers.get(report.id)
    if known is None or known.service == report.service:
        return decisions
    if (known.failure_domain, known.endpoint) == (
        report.failure_domain,
        report.endpoint,
    ):
        record = state.servers.get(report.id)
        if record is not None:
            record.lease = None
        decisions.append(SendReports((report,)))
    return decisions


def _announced(
    announcement: Announcement, state: HomeState, now: Seconds
) -> HomedServer:
    record = state.servers.get(announcement.id)
    if record is None or not _same_process(record, announcement):
        record = _new_record(announcement, state, now)
        state.servers[record.id] = record
    record.homed_since = now if record.homed_since is None else record.homed_since
    record.state = announcement.state
    record.slots = announcement.slots
    record.connections = announcement.connections
    if not record.announced:
        _take_over_count(record, announcement, state)
    record.announced = True
    record.lease = leases.renewed(record.lease, now)
    cold_start.report_load(record.detector, _load_is_bad(announcement))
    low = announcement.state is BackendServerState.COLD
    cold_start.report_readiness(record.detector, low)
    _update_limit(record, state)
    _return_to_first_step_if_cold(record, now)
    return record


def _same_process(record: HomedServer, announcement: Announcement) -> bool:
    return (record.boot_id, record.service, record.endpoint) == (
        announcement.boot_id,
        announcement.service,
        announcement.endpoint,
    )


def _new_record(
    announcement: Announcement, state: HomeState, now: Seconds
) -> HomedServer:
    """Record of a process that has just started, at the first ramp step."""
    assert state.cluster is not None
    former = state.servers.get(announcement.id)
    ended = 0
    if former is not None:
        ended = former.admission.open_flows + former.admission.ended_flows
    registered = state.cluster.backend_servers.get(announcement.id)
    limits = flow_limit(
        state.cluster.services.get(announcement.service),
        announcement.slots,
        announcement.connections,
        RAMP_STEPS[0],
        now,
    )
    limits.ended_flows = ended
    return HomedServer(
        id=announcement.id,
        service=announcement.service,
        failure_domain=announcement.failure_domain,
        endpoint=announcement.endpoint,
        boot_id=announcement.boot_id,
        slots=announcement.slots,
        connections=announcement.connections,
        state=announcement.state,
        admission=limits,
        homed_since=now if former is None else former.homed_since,
        confirmed_step=0 if registered is None else registered.step,
    )


def _take_over_count(
    record: HomedServer, announcement: Announcement, state: HomeState
) -> None:
    """Take the larger of the counts of the last home and the backend server."""
    assert state.cluster is not None
    service = state.cluster.services.get(record.service)
    by_slots = service is not None and service.limit_by is FlowLimit.SLOTS
    load = announcement.load
    reported = load.busy_slots if by_slots else load.open_connections
    handed_over = state.counted.pop(record.id, 0)
    record.admission.open_flows = max(
        record.admission.open_flows, handed_over, reported
    )


def _load_is_bad(announcement: Announcement) -> bool:
    load = announcement.load
    return (
        not load.healthy
        or load.open_connections > announcement.connections
        or load.busy_slots > announcement.slots
    )


def _return_to_first_step_if_cold(record: HomedServer, now: Seconds) -> None:
    if cold_start.verdict(record.detector, now) is ColdVerdict.COLD:
        admission.restart_ramp(record.admission, now)
        cold_start.forget_recent(record.detector)


def _advance(record: HomedServer, state: HomeState, now: Seconds) -> None:
    if state.cluster is None or record.homed_since is None:
        return
    if not in_service(record.failure_domain, state.cluster):
        # It loses its caches while it has no load.
        admission.restart_ramp(record.admission, now)
    elif leases.is_valid(record.lease, now):
        verdict = cold_start.verdict(record.detector, now)
        admission.advance_ramp(record.admission, verdict, now)
    admission.update_overload(record.admission, record.overflow_flows, now)


def _due(record: HomedServer, state: HomeState, now: Seconds) -> list[Report]:
    if state.cluster is None:
        return []
    fresh = state.fresh_until is None or now < state.fresh_until
    registered = state.cluster.backend_servers.get(record.id)
    return due_reports(record, registered, fresh, now)


def _send_due(
    record: HomedServer, state: HomeState, now: Seconds
) -> list[HomeDecision]:
    reports = _due(record, state, now)
    return [SendReports(tuple(reports))] if reports else []


def _forget_if_gone(record: HomedServer, state: HomeState, now: Seconds) -> None:
    assert state.cluster is not None
    registered = record.id in state.cluster.backend_servers
    if not registered and not leases.is_valid(record.lease, now):
        del state.servers[record.id]


def _update_home(
    server: BackendServer, placement: HomePlacement, state: HomeState, now: Seconds
) -> None:
    assert state.cluster is not None
    record = state.servers.get(server.id)
    if not is_home(server, placement, state.cluster):
        if record is not None:
            _lost(record)
    elif record is None or record.homed_since is None:
        gained = record_of_registered(server, state.cluster, now)
        gained.admission.open_flows = state.counted.pop(server.id, 0)
        state.servers[server.id] = gained
    else:
        _follow_confirmed_step(record, server, now)


def _lost(record: HomedServer) -> None:
    """Another node is the home now; the lease still runs for packets in transit."""
    record.homed_since = None
    record.announced = False
    record.sent.clear()


def _follow_confirmed_step(
    record: HomedServer, server: BackendServer, now: Seconds
) -> None:
    """A step that fell without a report of this home was lowered by operators."""
    if server.boot_id != record.boot_id:
        return
    ramp = record.admission.ramp
    if server.step < record.confirmed_step and server.step < ramp.step:
        admission.restart_ramp(record.admission, now)
    record.confirmed_step = server.step


def _deregistered(name: BackendServerId, state: HomeState) -> None:
    record = state.servers.get(name)
    if record is not None and record.lease is None:
        del state.servers[name]


def _update_limits(state: HomeState) -> None:
    for record in state.servers.values():
        _update_limit(record, state)


def _update_limit(record: HomedServer, state: HomeState) -> None:
    """Follow the announced limits and the service's choice between them."""
    assert state.cluster is not None
    service = state.cluster.services.get(record.service)
    record.admission.limit = open_limit(service, record.slots, record.connections)
    record.admission.connections = record.connections
