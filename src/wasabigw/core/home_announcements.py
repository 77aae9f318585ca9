"""Handling of the announcements that backend servers send to their home."""

from wasabigw.core import admission, cold_start, contenders, leases
from wasabigw.core.commands import BackendServerUp
from wasabigw.core.endpoint_checks import backend_server_problem, report_problem
from wasabigw.core.home_events import (
    AnnouncementReceived,
    HomeDecision,
    ReplyToAnnouncement,
    SendReports,
)
from wasabigw.core.home_records import (
    MAX_HOMED_SERVERS,
    HomedServer,
    HomeState,
    answers_callers,
    heard_at,
    is_contested,
    is_silent,
    make_admission,
    restart_ramp_if_cold,
    send_due_reports,
    update_limits,
)
from wasabigw.core.ids import Seconds
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    AnnouncementRefused,
)
from wasabigw.core.numbers import MAX_EXACT_INTEGER
from wasabigw.core.placement import select_home
from wasabigw.core.states import BackendServerState, FlowLimit
from wasabigw.core.timing import ANNOUNCE_INTERVAL, ANNOUNCE_LEASE, RAMP_STEPS
from wasabigw.core.transition import in_service

REFUSED_RETRY_DELAY = Seconds(5.0)
"""Retry delay for refused announcements; as long as the quarantine of an endpoint."""


def answer_announcement(
    event: AnnouncementReceived, state: HomeState
) -> list[HomeDecision]:
    """Grant or renew the lease of a backend server, or redirect or refuse it."""
    announcement, now = event.announcement, event.now
    if state.cluster is None:
        return [_refuse("this balancer has no view of the cluster yet", 1.0)]
    report = _registration_report(announcement)
    report_error = report_problem(report) or _limit_problem(announcement)
    if report_error is not None:
        return [_refuse(report_error, None)]
    nodes = state.cluster.nodes
    home = select_home(announcement.id, announcement.failure_domain, nodes.values())
    if home is None:
        return [_refuse("no balancer is registered yet; try again", 1.0)]
    if home != state.node:
        redirected = AnnouncementRedirected(home, nodes[home].api)
        return [ReplyToAnnouncement(redirected)]
    problem = backend_server_problem(report, state.cluster)
    if problem is not None:
        return _refuse_registration(problem, report, state)
    if announcement.id not in state.servers and len(state.servers) >= MAX_HOMED_SERVERS:
        text = (
            f"this balancer is the home of {MAX_HOMED_SERVERS} backend servers; "
            "add balancers"
        )
        return [_refuse(text, REFUSED_RETRY_DELAY)]
    known = state.servers.get(announcement.id)
    is_other_boot = known is not None and not _is_same_boot(known, announcement)
    if (
        known is not None
        and is_other_boot
        and not _takes_over(announcement, known, state, now)
    ):
        text = (
            f"another boot of {known.id} is registered; this one takes its place when "
            "the other one leaves or is silent, if it goes on announcing itself"
        )
        return [_refuse(text, ANNOUNCE_INTERVAL)]
    record = _record_announcement(announcement, state, now)
    accepted = AnnouncementAccepted(ANNOUNCE_LEASE, state.node)
    return [ReplyToAnnouncement(accepted), *send_due_reports([record], state, now)]


def _limit_problem(announcement: Announcement) -> str | None:
    """Why the limits of a backend server are refused, or ``None``.

    What a home accepts enters the replicated log, so it is checked here and not where
    the log is applied: earlier entries have to keep their outcome.
    """
    if max(announcement.slots, announcement.connections) > MAX_EXACT_INTEGER:
        return f"slots and connections must be at most {MAX_EXACT_INTEGER}"
    return None


def _registration_report(announcement: Announcement) -> BackendServerUp:
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
    """Refuse an announcement; end the lease for the service announced before it."""
    assert state.cluster is not None
    decisions: list[HomeDecision] = [_refuse(problem, REFUSED_RETRY_DELAY)]
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


def _record_announcement(
    announcement: Announcement, state: HomeState, now: Seconds
) -> HomedServer:
    record = state.servers.get(announcement.id)
    if record is None or not _is_same_boot(record, announcement):
        record = _new_record(announcement, state, now)
        state.servers[record.id] = record
    record.homed_since = now if record.homed_since is None else record.homed_since
    record.state = announcement.state
    record.slots = announcement.slots
    record.connections = announcement.connections
    if not record.announced:
        _initialize_open_flows(record, announcement, state)
    record.announced = True
    _update_unrecorded_flows(record, announcement, state)
    record.lease = leases.renew(record.lease, now)
    record.missed_when_heard = state.missed
    cold_start.report_load(record.detector, _load_is_bad(announcement))
    is_cold = announcement.state is BackendServerState.COLD
    cold_start.report_readiness(record.detector, is_cold)
    update_limits(record, state)
    restart_ramp_if_cold(record, now)
    return record


def _is_same_boot(record: HomedServer, announcement: Announcement) -> bool:
    return (record.boot_id, record.service, record.endpoint) == (
        announcement.boot_id,
        announcement.service,
        announcement.endpoint,
    )


def _takes_over(
    announcement: Announcement, known: HomedServer, state: HomeState, now: Seconds
) -> bool:
    """Whether a boot replaces the known one, whose open flows end then.

    It does once the known boot leaves, or is silent while the other one goes on
    announcing itself.
    """
    if known.state is BackendServerState.LEAVING:
        return True
    contender = contenders.record_contender(announcement, known.contenders, now)
    if not contenders.is_running(contender):
        return False
    if heard_at(known) <= contender.first_at and is_contested(known, now):
        # Most likely a restart, so that new flows had better go elsewhere.
        admission.restart_ramp(known.admission, now)
    if known.endpoint != announcement.endpoint and answers_callers(known, state, now):
        return False
    return is_silent(known, state, now)


def _new_record(
    announcement: Announcement, state: HomeState, now: Seconds
) -> HomedServer:
    """Record of a new boot, at the first ramp step."""
    assert state.cluster is not None
    previous = state.servers.get(announcement.id)
    previous_flows = 0
    lease = None
    if previous is not None:
        lease = _contender_lease(announcement, previous)
        previous_flows = (
            previous.admission.open_flows + previous.admission.previous_boot_flows
        )
    registered = state.cluster.backend_servers.get(announcement.id)
    limits = make_admission(
        state.cluster.services.get(announcement.service),
        announcement.slots,
        announcement.connections,
        RAMP_STEPS[0],
        now,
    )
    limits.previous_boot_flows = previous_flows
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
        homed_since=now if previous is None else previous.homed_since,
        confirmed_step=0 if registered is None else registered.step,
        lease=lease,
    )


def _contender_lease(
    announcement: Announcement, previous: HomedServer
) -> leases.Lease | None:
    """Lease of a boot that has announced itself here before it took over."""
    contender = previous.contenders.get(contenders.key_of(announcement))
    if contender is None:
        return None
    return leases.Lease(contender.first_at, contender.last_at)


def _initialize_open_flows(
    record: HomedServer, announcement: Announcement, state: HomeState
) -> None:
    """Start from the larger of the previous home's count and the announced count."""
    reported = _reported_flows(record, announcement, state)
    handed_over = state.handed_over_counts.pop(record.id, 0)
    record.admission.open_flows = max(
        record.admission.open_flows, handed_over, reported
    )


def _update_unrecorded_flows(
    record: HomedServer, announcement: Announcement, state: HomeState
) -> None:
    """Count the flows that were dropped when the failure domain went out of service.

    No closing packets were sent for them, so the backend server may still hold them
    when the failure domain returns. From then on the number can only fall, because a
    load report alone does not prove that flows are open.
    """
    assert state.cluster is not None
    reported = _reported_flows(record, announcement, state)
    unrecorded = max(0, reported - record.admission.open_flows)
    if in_service(record.failure_domain, state.cluster):
        unrecorded = min(unrecorded, record.admission.unrecorded_flows)
    record.admission.unrecorded_flows = unrecorded


def _reported_flows(
    record: HomedServer, announcement: Announcement, state: HomeState
) -> int:
    assert state.cluster is not None
    service = state.cluster.services.get(record.service)
    by_slots = service is not None and service.limit_by is FlowLimit.SLOTS
    load = announcement.load
    reported = load.busy_slots if by_slots else load.open_connections
    return max(0, min(reported, MAX_EXACT_INTEGER))


def _load_is_bad(announcement: Announcement) -> bool:
    load = announcement.load
    return (
        not load.healthy
        or load.open_connections > announcement.connections
        or load.busy_slots > announcement.slots
    )
