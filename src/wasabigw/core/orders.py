"""Check whether an operator's order has already taken effect."""

from functools import singledispatch

from wasabigw.core.cluster import ClusterState
from wasabigw.core.commands import (
    BringFailureDomainBack,
    DeclareConfiguration,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import FailureDomainId
from wasabigw.core.states import FailureDomainState


@singledispatch
def is_in_effect(change: object, cluster: ClusterState) -> bool:
    """Whether the replicated state already reflects a change."""
    raise TypeError(f"not a change of an order: {change!r}")


@is_in_effect.register
def _(change: DeclareConfiguration, cluster: ClusterState) -> bool:
    declared = cluster.declared
    return declared is not None and change.document.version <= declared.version


@is_in_effect.register
def _(change: TakeFailureDomainOut, cluster: ClusterState) -> bool:
    state = _state_of(change.failure_domain, cluster)
    return state is FailureDomainState.OUT_OF_SERVICE


@is_in_effect.register
def _(change: BringFailureDomainBack, cluster: ClusterState) -> bool:
    state = _state_of(change.failure_domain, cluster)
    return state is FailureDomainState.IN_SERVICE


def _state_of(
    failure_domain: FailureDomainId, cluster: ClusterState
) -> FailureDomainState | None:
    known = cluster.failure_domains.get(failure_domain)
    return None if known is None else known.state
