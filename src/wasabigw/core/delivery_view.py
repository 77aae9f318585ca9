"""Views: the state that a balancer needs to deliver by tags, and their updates.

A view is a part of the replicated state at one revision. Voters serve it to relays
and relays to balancers; each polls for the changes after its own revision. The
replicated state is the same everywhere at one revision, so a process may poll
another source each time.
"""

from dataclasses import dataclass, field

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    FailureDomainId,
    Revision,
    Seconds,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument, Registration


@dataclass(frozen=True, slots=True)
class Source:
    """A control VM that serves views.

    :param api: address of the API of its voter.
    :param failure_domain: ``None`` if only its address is known.
    """

    api: Endpoint
    failure_domain: FailureDomainId | None = None


@dataclass(slots=True)
class DeliveryView:
    """Part of the replicated state at one revision.

    :param boots: registered boots by tag, including superseded ones.
    :param document: configuration in force, declared at ``declared_at``.
    :param forgotten_at: revision at which boots were last removed.
    :param out_of_service: failure domains whose backend servers get no new flows.
    :param sources: control VMs that serve views.
    """

    revision: Revision = NO_REVISION
    boots: dict[Tag, Registration] = field(default_factory=dict)
    document: DeclaredDocument | None = None
    declared_at: Revision = NO_REVISION
    forgotten_at: Revision = NO_REVISION
    out_of_service: tuple[FailureDomainId, ...] = ()
    sources: tuple[Source, ...] = ()


@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """What has changed in a view after a revision.

    :param fresh_for: how long the view is guaranteed to be current, from the time at
        which the source received the poll; 0 if there is no guarantee.
    :param is_whole: whether the update is a complete view that replaces the previous
        one.
    :param document: ``None`` if it has not changed.
    """

    revision: Revision
    fresh_for: Seconds
    is_whole: bool
    boots: tuple[Registration, ...]
    document: DeclaredDocument | None
    declared_at: Revision
    forgotten_at: Revision
    out_of_service: tuple[FailureDomainId, ...]
    sources: tuple[Source, ...]


def update_since(view: DeliveryView, after: Revision, fresh_for: Seconds) -> ViewUpdate:
    """Update for a process that has the view at revision ``after``."""
    is_whole = after == NO_REVISION or after < view.forgotten_at
    since = NO_REVISION if is_whole else after
    return ViewUpdate(
        view.revision,
        fresh_for,
        is_whole,
        tuple(
            boot for boot in view.boots.values() if is_whole or boot.changed_at > since
        ),
        view.document if is_whole or view.declared_at > since else None,
        view.declared_at,
        view.forgotten_at,
        view.out_of_service,
        view.sources,
    )


def apply_update(view: DeliveryView, update: ViewUpdate) -> bool:
    """Apply an update; ``False`` if the view is at least as recent as the update."""
    if update.revision <= view.revision:
        return False
    if update.is_whole:
        view.boots = {}
        view.document = None
    view.boots.update((boot.tag, boot) for boot in update.boots)
    view.document = update.document or view.document
    view.revision = update.revision
    view.declared_at = update.declared_at
    view.forgotten_at = update.forgotten_at
    view.out_of_service = update.out_of_service
    view.sources = update.sources
    return True
