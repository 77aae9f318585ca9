"""Authorization of the reports that balancers send to the leader."""

from wasabigw.core.cluster import ClusterState, Refusal
from wasabigw.core.commands import (
    BackendServerDown,
    BackendServerDraining,
    BackendServerOverloaded,
    BackendServerStep,
    BackendServerUp,
    CandidatesAdded,
    CandidatesReleased,
)
from wasabigw.core.log_messages import ReportRequest
from wasabigw.core.states import RefusalCode

_HOME_BALANCER_REPORTS = (
    BackendServerUp
    | BackendServerDown
    | BackendServerStep
    | BackendServerDraining
    | BackendServerOverloaded
    | CandidatesReleased
    | CandidatesAdded
)


def report_refusal(request: ReportRequest, cluster: ClusterState) -> Refusal | None:
    """Reason to refuse a report request; ``None`` if it may be proposed."""
    revision = cluster.configuration_revision
    unauthorized = [
        r for r in request.reports if not isinstance(r, _HOME_BALANCER_REPORTS)
    ]
    if unauthorized:
        message = f"{type(unauthorized[0]).__name__} is proposed by the leader only"
        return Refusal(RefusalCode.INVALID, message, revision)
    known = cluster.nodes.get(request.node)
    if known is None or known.incarnation != request.incarnation:
        message = (
            f"balancer {request.node} is not registered with this incarnation; "
            "poll the log and send the reports again"
        )
        return Refusal(RefusalCode.CONFLICT, message, revision)
    return None
