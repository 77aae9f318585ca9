"""Copies of the replicated state that are independent of later commands."""

from wasabigw.core.cluster import BucketTable, ClusterState, Registry


def copy_state(state: ClusterState) -> ClusterState:
    """Independent copy that shares only immutable values."""
    return ClusterState(
        revision=state.revision,
        configuration_revision=state.configuration_revision,
        services=dict(state.services),
        failure_domains=dict(state.failure_domains),
        backend_servers=dict(state.backend_servers),
        nodes=dict(state.nodes),
        voters=dict(state.voters),
        voter_places=dict(state.voter_places),
        buckets={name: _copy_table(table) for name, table in state.buckets.items()},
        quarantine=dict(state.quarantine),
        requests=dict(state.requests),
        next_backend_index=state.next_backend_index,
        declared=state.declared,
        declared_at=state.declared_at,
        registry=_copy_registry(state.registry),
    )


def _copy_table(table: BucketTable) -> BucketTable:
    others = {bucket: list(found) for bucket, found in table.others.items()}
    return BucketTable(list(table.current), others)


def _copy_registry(registry: Registry) -> Registry:
    return Registry(
        current=dict(registry.current),
        ended=list(registry.ended),
        owners=dict(registry.owners),
        next_tag=registry.next_tag,
        forgotten_at=registry.forgotten_at,
    )
