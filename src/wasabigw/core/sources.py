"""Selection of the source of views to poll next."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from wasabigw.core.delivery_view import Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds
from wasabigw.core.view_lease import NEVER

STALE_BACKOFF = Seconds(1.0)
"""How long a source without a current view is not polled."""
FAILURE_BACKOFF = Seconds(1.0)
"""How long a source that did not answer is not polled."""


@dataclass(slots=True)
class SourceState:
    """Known sources and the time at which each may be polled again.

    :param failure_domain: failure domain of this process; its sources are preferred.
    :param seeds: addresses from the settings, used after those of the last view.
    :param own: control VM of this process, preferred to all other sources.
    :param offset: rotation of the sources, which spreads the processes of a failure
        domain over them.
    :param known: sources listed in the last view.
    :param backoff_until: end of the backoff of each source that failed or was stale.
    :param is_searching: whether the last poll gave no current view.
    """

    failure_domain: FailureDomainId
    seeds: tuple[Endpoint, ...]
    own: Endpoint | None = None
    offset: int = 0
    known: tuple[Source, ...] = ()
    backoff_until: dict[Endpoint, Seconds] = field(default_factory=dict)
    is_searching: bool = False


def next_source(state: SourceState, now: Seconds) -> tuple[Endpoint, bool]:
    """Most preferred source without backoff, or the one whose backoff ends first.

    During a search, sources come in the order of their last failures. The backoff of
    a preferred source may end before all others were polled once, and a follower
    that went back to it would poll the same few sources in turn.

    :returns: the source, and whether it is still in backoff.
    """
    preferred = _by_preference(state)
    if not state.is_searching:
        for source in preferred:
            if state.backoff_until.get(source, now) <= now:
                return source, False
    source = min(preferred, key=lambda api: state.backoff_until.get(api, NEVER))
    return source, state.backoff_until.get(source, now) > now


def record_current(state: SourceState, source: Endpoint) -> None:
    """Record that a source answered with a current view."""
    state.backoff_until.pop(source, None)
    state.is_searching = False


def record_failure(state: SourceState, source: Endpoint, now: Seconds) -> None:
    """Record that a source did not answer."""
    state.backoff_until[source] = Seconds(now + FAILURE_BACKOFF)
    state.is_searching = True


def record_stale(state: SourceState, source: Endpoint, now: Seconds) -> None:
    """Record that a source answered without a current view."""
    state.backoff_until[source] = Seconds(now + STALE_BACKOFF)
    state.is_searching = True


def set_known_sources(state: SourceState, known: tuple[Source, ...]) -> None:
    """Replace the known sources by those of a view."""
    state.known = known
    current = {source.api for source in known} | set(state.seeds)
    state.backoff_until = {
        source: until
        for source, until in state.backoff_until.items()
        if source in current
    }


def _by_preference(state: SourceState) -> Sequence[Endpoint]:
    local = [s.api for s in state.known if s.failure_domain == state.failure_domain]
    remote = [s.api for s in state.known if s.failure_domain != state.failure_domain]
    first = [state.own] if state.own is not None else []
    preferred = (
        *first,
        *_rotate(local, state.offset),
        *_rotate(remote, state.offset),
        *_rotate(state.seeds, state.offset),
    )
    return list(dict.fromkeys(preferred))


def _rotate(endpoints: Iterable[Endpoint], offset: int) -> list[Endpoint]:
    found = list(endpoints)
    if not found:
        return found
    start = offset % len(found)
    return found[start:] + found[:start]
