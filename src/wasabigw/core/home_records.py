"""Records of the backend servers homed at one node, and the reports due for them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from wasabigw.core import admission, cold_start, leases
from wasabigw.core.admission import Admission, Ramp
from wasabigw.core.cluster import (
    BackendServer,
    ClusterState,
    Endpoint,
    Service,
)
from wasabigw.core.cold_start import ColdStartDetector, ColdVerdict
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerDraining,
    BackendServerOverloaded,
    BackendServerStep,
    BackendServerUp,
    Report,
)
from wasabigw.core.contenders import (
    Contenders,
    contends_for,
    is_running,
    remove_expired,
)
from wasabigw.core.home_events import HomeDecision, SendReports
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    NodeId,
    Seconds,
    ServiceId,
)
from wasabigw.core.states import BackendServerState, FlowLimit
from wasabigw.core.timing import (
    ANNOUNCE_INTERVAL,
    ANNOUNCE_LEASE,
    RAMP_STEPS,
    VIEW_LEASE,
)

MAX_HOMED_SERVERS = 4096
"""Limit on the backend servers homed at one node; further ones are refused."""

REPORT_RETRY_INTERVAL = Seconds(2.0)
"""Minimum time between two reports of one kind for one backend server.

A report whose effect is not visible in the replicated state by then is repeated.
"""

DOWN_REPORT_TRANSIT_TIME = Seconds(10.0)
"""Longest time for which a report of an ended lease may be in transit to the leader."""

MAX_EVENT_GAP = ANNOUNCE_INTERVAL
"""Longest time between two events of a home that runs; it has a tick each 0.25 s.

A longer one means that the home was paused and may have missed announcements.
"""

RESUMPTION_TIME = VIEW_LEASE
"""Time after a pause or a stale view that does not count as listened.

A home that is cut off counts the time until its view becomes stale, so it counts less
by the same time afterwards. It also is longer than :data:`ANNOUNCE_INTERVAL`, so a
backend server that runs is heard before silence counts again.
"""

INTERRUPTED_LEASE = Seconds(ANNOUNCE_LEASE + ANNOUNCE_INTERVAL)
"""Silence, as far as the home listened, that ends a lease in spite of interruptions.

The last announcement may have come an interval before the home was cut off, so that a
single interruption still leaves a backend server a whole lease afterwards.
"""

ANSWER_MARGIN = Seconds(1.5 * ANNOUNCE_INTERVAL)
"""Time from the last announcement to an answer which shows that a server still runs.

One that has crashed answered for up to an interval after its last announcement.
"""

NEVER = Seconds(float("-inf"))
NONE = Seconds(0.0)
LEAVING_STATES = (BackendServerState.DRAINING, BackendServerState.LEAVING)
_RUNNING_STATES = (BackendServerState.COLD, BackendServerState.READY)


@dataclass(slots=True)
class HomedServer:
    """A backend server that is, or was, homed at this node.

    :param homed_since: when this node became its home; ``None`` if it no longer is.
    :param confirmed_step: last known ramp step in the replicated state.
    :param announced: whether the backend server has announced itself since this node
        became its home.
    :param overflow_flows: open flows that were passed to OVERFLOW candidates.
    :param last_sent: time of the last report of each kind.
    :param contenders: other boots that announce themselves under the id.
    :param missed_when_heard: value of :attr:`HomeState.missed` at its last announcement
        or, if there has been none since, when this node became its home.
    :param answered_at: when this home last saw an answer of it to a caller.
    :param missed_when_answered: value of :attr:`HomeState.missed` then.
    """

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    slots: int
    connections: int
    state: BackendServerState
    admission: Admission
    homed_since: Seconds | None
    confirmed_step: int = 0
    announced: bool = False
    lease: leases.Lease | None = None
    overflow_flows: int = 0
    detector: ColdStartDetector = field(default_factory=ColdStartDetector)
    last_sent: dict[type[Report], Seconds] = field(default_factory=dict)
    contenders: Contenders = field(default_factory=dict)
    missed_when_heard: Seconds = NONE
    answered_at: Seconds = NEVER
    missed_when_answered: Seconds = NONE


@dataclass(slots=True)
class HomeState:
    """Backend servers homed at this node; owned by its packet task.

    :param cluster: the node's copy of the replicated state; ``None`` before the
        first one has been received.
    :param fresh_until: end of the view lease; ``None`` if it is not known.
    :param last_servers: backend servers in the last replicated state that was
        compared.
    :param membership: balancers in that state on which the choice of homes depends.
    :param handed_over_counts: open flows handed over before this node learned that
        it is the home.
    :param now: time of the last tick.
    :param last_event: time of the last event.
    :param missed: total time that does not count as listened, because this node may
        have been unable to hear backend servers.
    :param listening_since: end of the last pause or stale view.
    """

    node: NodeId
    cluster: ClusterState | None = None
    fresh_until: Seconds | None = None
    servers: dict[BackendServerId, HomedServer] = field(default_factory=dict)
    last_servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    membership: tuple[object, ...] = ()
    handed_over_counts: dict[BackendServerId, int] = field(default_factory=dict)
    now: Seconds = NEVER
    last_event: Seconds = NEVER
    missed: Seconds = NONE
    listening_since: Seconds = NEVER


def make_admission(
    service: Service | None, slots: int, connections: int, step: int, now: Seconds
) -> Admission:
    """Admission state of a backend server that starts at a ramp step."""
    return Admission(
        limit=open_flow_limit(service, slots, connections),
        connections=connections,
        ramp=Ramp(step, now),
    )


def open_flow_limit(service: Service | None, slots: int, connections: int) -> int:
    """Limit on the open flows of a backend server at the full step."""
    by_slots = service is not None and service.limit_by is FlowLimit.SLOTS
    return slots if by_slots else connections


def record_from_registration(
    server: BackendServer, cluster: ClusterState, now: Seconds
) -> HomedServer:
    """Record of a registered backend server when this node becomes its home."""
    return HomedServer(
        id=server.id,
        service=server.service,
        failure_domain=server.failure_domain,
        endpoint=server.endpoint,
        boot_id=server.boot_id,
        slots=server.slots,
        connections=server.connections,
        state=server.state,
        admission=make_admission(
            cluster.services.get(server.service),
            server.slots,
            server.connections,
            server.step,
            now,
        ),
        homed_since=now,
        confirmed_step=server.step,
    )


def has_fresh_view(state: HomeState, now: Seconds) -> bool:
    """Whether this node may assume that it still is the home."""
    return state.fresh_until is None or now < state.fresh_until


def update_listening(state: HomeState, now: Seconds) -> None:
    """Update for how long this node has been unable to hear its backend servers.

    It has to be called for each event, before leases are compared with the time.
    """
    previous, state.last_event = state.last_event, now
    if previous == NEVER:
        return
    if now - previous > MAX_EVENT_GAP or not has_fresh_view(state, now):
        state.listening_since = now
    missed_until = min(now, state.listening_since + RESUMPTION_TIME)
    state.missed = Seconds(state.missed + max(0.0, missed_until - previous))


def due_reports(
    record: HomedServer,
    registered: BackendServer | None,
    state: HomeState,
    now: Seconds,
) -> list[Report]:
    """Reports to send now, for what the replicated state does not show yet.

    :param registered: the backend server in the replicated state.
    """
    if record.homed_since is None:
        return []
    due = [
        report
        for report in _pending_reports(record, registered, state, now)
        if now - record.last_sent.get(type(report), NEVER) >= REPORT_RETRY_INTERVAL
    ]
    record.last_sent.update({type(report): now for report in due})
    return due


def _pending_reports(
    record: HomedServer,
    registered: BackendServer | None,
    state: HomeState,
    now: Seconds,
) -> Iterator[Report]:
    if not leases.is_valid(record.lease, now):
        if registered is not None:
            yield from _reports_of_silence(record, registered, state, now)
        return
    if registered is None or not _matches_registration(record, registered):
        yield up_report(record)
        return
    if now - record.last_sent.get(BackendServerDown, NEVER) < DOWN_REPORT_TRANSIT_TIME:
        # The lease is valid again: the report sender replaces a queued
        # BackendServerDown by this report.
        yield up_report(record)
    step = record.admission.ramp.step
    if step != registered.step:
        yield BackendServerStep(record.id, record.boot_id, step)
    if _is_later_in_shutdown(record.state, registered.state):
        yield BackendServerDraining(record.id, record.boot_id, record.state)
    if record.admission.overloaded is not registered.overloaded:
        yield BackendServerOverloaded(record.id, record.admission.overloaded)


def _reports_of_silence(
    record: HomedServer,
    registered: BackendServer,
    state: HomeState,
    now: Seconds,
) -> Iterator[Report]:
    remove_expired(record.contenders, now)
    if not is_silent(record, state, now):
        return
    # A contender that runs takes over at its next announcement, and keeps the buckets
    # then; if it has crashed, it expires. Those that announced themselves once don't
    # count, because there may always be another one in a crash loop.
    if any(map(is_running, record.contenders.values())):
        return
    if not answers_callers(record, state, now):
        yield BackendServerDown(registered.id, registered.boot_id)
    elif registered.step != RAMP_STEPS[0]:
        # Most of its new flows go elsewhere, and its open flows stay.
        admission.restart_ramp(record.admission, now)
        yield BackendServerStep(registered.id, registered.boot_id, RAMP_STEPS[0])


def heard_at(record: HomedServer) -> Seconds:
    """Time of the last announcement of the known boot to this home."""
    return NEVER if record.lease is None else record.lease.renewed_at


def is_silent(record: HomedServer, state: HomeState, now: Seconds) -> bool:
    """Whether this home has listened to the known boot in vain for a lease."""
    homed_since = NEVER if record.homed_since is None else record.homed_since
    heard = max(heard_at(record), homed_since)
    return _lease_has_ended(heard, record.missed_when_heard, state, now)


def _lease_has_ended(
    since: Seconds, missed_before: Seconds, state: HomeState, now: Seconds
) -> bool:
    """Whether this home has listened for a lease since a time.

    It has done so in one piece, or in pieces of which the first part does not count. If
    only one piece counted, a home with slow polls would never notice a silence.

    :param missed_before: value of :attr:`HomeState.missed` at that time.
    """
    if now - max(since, state.listening_since) >= ANNOUNCE_LEASE:
        return True
    if now - state.listening_since < RESUMPTION_TIME:
        return False
    return now - since - (state.missed - missed_before) >= INTERRUPTED_LEASE


def answers_callers(record: HomedServer, state: HomeState, now: Seconds) -> bool:
    """Whether answers show that a backend server runs although it is silent here.

    Answers reach the home through other balancers, too, so that a path that is cut
    between the two doesn't end the flows.
    """
    homed_since = NEVER if record.homed_since is None else record.homed_since
    heard = max(heard_at(record), homed_since)
    is_later = record.answered_at - heard > ANSWER_MARGIN
    return is_later and not _lease_has_ended(
        record.answered_at, record.missed_when_answered, state, now
    )


def is_contested(record: HomedServer, now: Seconds) -> bool:
    """Whether another boot may be running at the endpoint of the known one."""
    return contends_for(record.endpoint, record.contenders, heard_at(record), now)


def up_report(record: HomedServer) -> BackendServerUp:
    """Report that registers a backend server in its current state."""
    return BackendServerUp(
        id=record.id,
        service=record.service,
        failure_domain=record.failure_domain,
        endpoint=record.endpoint,
        boot_id=record.boot_id,
        slots=record.slots,
        connections=record.connections,
        state=record.state,
        step=record.admission.ramp.step,
    )


def _matches_registration(record: HomedServer, registered: BackendServer) -> bool:
    both_run = record.state in _RUNNING_STATES and registered.state in _RUNNING_STATES
    if both_run and record.state is not registered.state:
        return False
    return (
        record.service,
        record.endpoint,
        record.boot_id,
        record.slots,
        record.connections,
    ) == (
        registered.service,
        registered.endpoint,
        registered.boot_id,
        registered.slots,
        registered.connections,
    )


def _is_later_in_shutdown(
    announced: BackendServerState, known: BackendServerState
) -> bool:
    if announced not in LEAVING_STATES or announced is known:
        return False
    return known is not BackendServerState.LEAVING


def restart_ramp_if_cold(record: HomedServer, now: Seconds) -> None:
    """Restart the ramp if the cold-start verdict is ``COLD``."""
    if cold_start.verdict(record.detector, now) is ColdVerdict.COLD:
        admission.restart_ramp(record.admission, now)
        cold_start.clear_evidence(record.detector)


def _due_for(record: HomedServer, state: HomeState, now: Seconds) -> list[Report]:
    if state.cluster is None:
        return []
    registered = state.cluster.backend_servers.get(record.id)
    return due_reports(record, registered, state, now)


def update_limits(record: HomedServer, state: HomeState) -> None:
    """Apply the announced limits and the service's choice between them."""
    assert state.cluster is not None
    service = state.cluster.services.get(record.service)
    record.admission.limit = open_flow_limit(service, record.slots, record.connections)
    record.admission.connections = record.connections


def send_due_reports(
    records: Iterable[HomedServer], state: HomeState, now: Seconds
) -> list[HomeDecision]:
    """Decision to send the due reports of the given backend servers, if any."""
    reports = [report for record in records for report in _due_for(record, state, now)]
    return [SendReports(tuple(reports))] if reports else []
