"""Whether a balancer may send the reports that it sends."""

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

_REPORTS_OF_HOMES = (
    BackendServerUp
    | BackendServerDown
    | BackendServerStep
    | BackendServerDraining
    | BackendServerOverloaded
    | CandidatesReleased
    | CandidatesAdded
)


def refusal_of(request: ReportRequest, cluster: ClusterState) -> Refusal | None:
    """Why reports are refused; ``None`` if they may be proposed."""
    revision = cluster.configuration_revision
    wrong = [r for r in request.reports if not isinstance(r, _REPORTS_OF_HOMES)]
    if wrong:
        message = f"{type(wrong[0]).__name__} is proposed by the leader only"
        return Refusal(RefusalCode.INVALID, message, revision)
    known = cluster.nodes.get(request.node)
    if known is None or known.incarnation != request.incarnation:
        message = (
            f"balancer {request.node} is not registered with this incarnation; "
            "poll the log and send the reports again"
        )
        return Refusal(RefusalCode.CONFLICT, message, revision)
    return None
