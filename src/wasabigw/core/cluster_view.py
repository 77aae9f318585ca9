"""Views for balancers that deliver by tags, from the replicated state."""

from wasabigw.core.cluster import ClusterState
from wasabigw.core.delivery_view import DeliveryView, Source
from wasabigw.core.ids import FailureDomainId
from wasabigw.core.states import FailureDomainState


def view_of(cluster: ClusterState) -> DeliveryView:
    """View of a copy of the replicated state, at its revision."""
    registry = cluster.registry
    boots = {boot.tag: boot for boot in registry.ended}
    boots.update((boot.tag, boot) for boot in registry.current.values())
    return DeliveryView(
        revision=cluster.revision,
        boots=boots,
        document=cluster.declared,
        declared_at=cluster.declared_at,
        forgotten_at=registry.forgotten_at,
        out_of_service=out_of_service(cluster),
        sources=tuple(
            Source(place.api, place.failure_domain)
            for place in cluster.voter_places.values()
        ),
    )


def out_of_service(cluster: ClusterState) -> tuple[FailureDomainId, ...]:
    """Failure domains whose backend servers get no new flows."""
    return tuple(
        domain.id
        for domain in cluster.failure_domains.values()
        if domain.state is FailureDomainState.OUT_OF_SERVICE
    )
