"""What a balancer has to know to deliver by tags, and how it is passed on.

A view is a part of the replicated state at one revision. It travels from a voter over
relays to the balancers: each asks for what has changed after its own revision. The
replicated state is the same everywhere at one revision, so a process may ask another
source each time.
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
    """A control VM, at which views can be had.

    :param api: address of the API of its voter.
    :param failure_domain: ``None`` if only its address is known.
    """

    api: Endpoint
    failure_domain: FailureDomainId | None = None


@dataclass(slots=True)
class DeliveryView:
    """Part of the replicated state at one revision.

    :param boots: registered boots by tag, with those that have ended.
    :param document: configuration in force, declared at ``declared_at``.
    :param forgotten_at: revision at which boots were last forgotten.
    :param out_of_service: failure domains whose backend servers get no new flows.
    :param sources: control VMs.
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

    :param fresh_for: how long the view is known to be current, counted from when the
        source received the poll; 0 if it is not now.
    :param is_whole: whether all that is not contained has to be forgotten.
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
    """What somebody lacks who has the view at revision ``after``."""
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
    """Bring a view up to date; ``False`` if it is not behind the update."""
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
