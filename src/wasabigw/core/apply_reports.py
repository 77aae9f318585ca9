"""Application of reports from home balancers and the leader to the replicated state.

Reports are idempotent, and an outdated report changes nothing.
"""

from dataclasses import replace
from functools import singledispatch

from wasabigw.core import buckets, commands, registrations
from wasabigw.core.cluster import BackendServer, BucketTable, Candidate, endpoint_key
from wasabigw.core.endpoint_checks import registration_problem
from wasabigw.core.ids import BackendServerId, BootId, BucketNumber, Revision
from wasabigw.core.states import BackendServerState, CandidateReason, NodeState
from wasabigw.core.timing import BUCKETS_PER_SERVICE, RAMP_STEPS
from wasabigw.core.transition import Transition, in_service
from wasabigw.core.voter_reports import VoterReport, apply_voter_report

_DRAIN_RANK = {
    BackendServerState.COLD: 0,
    BackendServerState.READY: 0,
    BackendServerState.DRAINING: 1,
    BackendServerState.LEAVING: 2,
}


@singledispatch
def apply_report(report: commands.Report, transition: Transition) -> None:
    """Apply a report to the replicated state."""
    raise TypeError(f"unsupported report type: {type(report).__name__}")


@apply_report.register
def _(report: commands.BackendServerUp, transition: Transition) -> None:
    known = transition.state.backend_servers.get(report.id)
    if registration_problem(report, transition) is not None:
        _deregister_from_former_service(report, known, transition)
    elif known is None:
        _register(report, transition)
    elif known.boot_id == report.boot_id:
        _update(report, known, transition)
    else:
        _register_restart(report, known, transition)


@apply_report.register
def _(report: commands.BackendServerDown, transition: Transition) -> None:
    known = _registered_boot(report.id, report.boot_id, transition)
    if known is not None:
        transition.deregister(known)


@apply_report.register
def _(report: commands.BackendServerStep, transition: Transition) -> None:
    known = _registered_boot(report.id, report.boot_id, transition)
    if known is None or report.step not in RAMP_STEPS or known.step == report.step:
        return
    transition.register(replace(known, step=report.step))


@apply_report.register
def _(report: commands.BackendServerDraining, transition: Transition) -> None:
    known = _registered_boot(report.id, report.boot_id, transition)
    if known is not None and _DRAIN_RANK[report.state] > _DRAIN_RANK[known.state]:
        transition.register(replace(known, state=report.state))


@apply_report.register
def _(report: commands.BackendServerOverloaded, transition: Transition) -> None:
    known = transition.state.backend_servers.get(report.id)
    if known is not None and known.overloaded is not report.overloaded:
        transition.register(replace(known, overloaded=report.overloaded))


@apply_report.register
def _(report: commands.CandidatesReleased, transition: Transition) -> None:
    table = transition.state.buckets.get(report.service)
    if table is None:
        return
    released = [
        bucket
        for bucket in report.buckets
        if not _is_overflow_target(table, bucket, report.backend_server, transition)
    ]
    buckets.release_candidates(table, report.backend_server, released, report.up_to)


@apply_report.register
def _(report: commands.CandidatesAdded, transition: Transition) -> None:
    state = transition.state
    table = state.buckets.get(report.service)
    known = state.backend_servers.get(report.backend_server)
    if table is None or known is None or known.service != report.service:
        return
    if not in_service(known.failure_domain, state):
        return
    candidate = Candidate(known.id, report.reason, transition.revision)
    for bucket in report.buckets:
        if 0 <= bucket < BUCKETS_PER_SERVICE and table.current[bucket] != known.id:
            # The backend server has flows again, so its DEPARTED entry is outdated.
            _remove_departed(table, bucket, known.id, transition.revision)
            buckets.add_candidate(table, bucket, candidate)


@apply_report.register
def _(report: commands.NodeUp, transition: Transition) -> None:
    nodes = transition.state.nodes
    known = nodes.get(report.node.id)
    node = report.node
    if node.state is NodeState.SUSPECTED:
        node = replace(node, state=NodeState.UP)
    restarted = known is None or known.incarnation != node.incarnation
    if known is not None and not restarted and known.state is NodeState.DRAINING:
        node = replace(node, state=NodeState.DRAINING)
    nodes[node.id] = node


@apply_report.register
def _(report: commands.NodeDown, transition: Transition) -> None:
    known = transition.state.nodes.get(report.node)
    if known is not None and known.incarnation == report.incarnation:
        del transition.state.nodes[report.node]


@apply_report.register
def _(report: commands.NodeSuspected, transition: Transition) -> None:
    nodes = transition.state.nodes
    known = nodes.get(report.node)
    if known is None or known.incarnation != report.incarnation:
        return
    if known.state is NodeState.UP:
        nodes[known.id] = replace(known, state=NodeState.SUSPECTED)


@apply_report.register
def _(report: VoterReport, transition: Transition) -> None:
    apply_voter_report(report, transition.state.voters, transition.state.voter_places)


@apply_report.register
def _(report: commands.EndpointReleased, transition: Transition) -> None:
    key = endpoint_key(report.endpoint)
    quarantined = transition.state.quarantine.get(key)
    if quarantined is not None and quarantined.since == report.since:
        del transition.state.quarantine[key]


@apply_report.register
def _(report: commands.BootAnnounced, transition: Transition) -> None:
    registrations.register_boot(report, transition.state.registry, transition.revision)


@apply_report.register
def _(report: commands.BootSilent, transition: Transition) -> None:
    registrations.mark_boot_silent(
        report.id, report.tag, transition.state.registry, transition.revision
    )


@apply_report.register
def _(report: commands.BootsForgotten, transition: Transition) -> None:
    registrations.remove_boots(
        report.tags, transition.state.registry, transition.revision
    )


def _backend_server(
    report: commands.BackendServerUp, index: int, step: int
) -> BackendServer:
    return BackendServer(
        id=report.id,
        index=index,
        service=report.service,
        failure_domain=report.failure_domain,
        endpoint=report.endpoint,
        boot_id=report.boot_id,
        slots=report.slots,
        connections=report.connections,
        state=report.state,
        step=step,
    )


def _register(report: commands.BackendServerUp, transition: Transition) -> None:
    index = transition.state.next_backend_index
    transition.state.next_backend_index += 1
    step = report.step if report.step in RAMP_STEPS else RAMP_STEPS[0]
    transition.register(_backend_server(report, index, step))


def _update(
    report: commands.BackendServerUp, known: BackendServer, transition: Transition
) -> None:
    """Update the limits of the same boot.

    The ramp step is kept, and a drain is not undone.
    """
    state = (
        report.state
        if _DRAIN_RANK[report.state] >= _DRAIN_RANK[known.state]
        else known.state
    )
    updated = replace(
        known, slots=report.slots, connections=report.connections, state=state
    )
    if updated != known:
        transition.register(updated)


def _register_restart(
    report: commands.BackendServerUp, known: BackendServer, transition: Transition
) -> None:
    """Register a new boot of a known backend server.

    The flows of the earlier boot are lost, and the ramp starts at its first step.
    """
    if known.service != report.service:
        # Cached bindings refer to the index, so an index never changes its service.
        transition.deregister(known)
        _register(replace(report, step=RAMP_STEPS[0]), transition)
        return
    if known.endpoint != report.endpoint:
        transition.quarantine(known.endpoint, known.service)
    transition.mark_departed(known)
    transition.register(_backend_server(report, known.index, RAMP_STEPS[0]))


def _deregister_from_former_service(
    report: commands.BackendServerUp,
    known: BackendServer | None,
    transition: Transition,
) -> None:
    """Deregister a backend server that announces itself for another service.

    Its endpoint is quarantined. The home balancer repeats the report, which
    registers the backend server for the new service after the quarantine.
    """
    if known is None or report.service not in transition.state.services:
        return
    same_location = (known.failure_domain, known.endpoint) == (
        report.failure_domain,
        report.endpoint,
    )
    if same_location and known.service != report.service:
        transition.deregister(known)


def _registered_boot(
    name: BackendServerId, boot_id: BootId, transition: Transition
) -> BackendServer | None:
    known = transition.state.backend_servers.get(name)
    return known if known is not None and known.boot_id == boot_id else None


def _is_overflow_target(
    table: BucketTable,
    bucket: BucketNumber,
    name: BackendServerId,
    transition: Transition,
) -> bool:
    """Whether a candidate takes new flows of an overloaded backend server now."""
    if not 0 <= bucket < BUCKETS_PER_SERVICE:
        return False
    current = transition.state.backend_servers.get(table.current[bucket] or name)
    if current is None or not current.overloaded:
        return False
    return any(
        candidate.backend_server == name
        and candidate.reason is CandidateReason.OVERFLOW
        for candidate in table.others.get(bucket, [])
    )


def _remove_departed(
    table: BucketTable, bucket: BucketNumber, name: BackendServerId, up_to: Revision
) -> None:
    others = table.others.get(bucket, [])
    if any(
        c.backend_server == name and c.reason is CandidateReason.DEPARTED
        for c in others
    ):
        buckets.release_candidates(table, name, [bucket], up_to)
