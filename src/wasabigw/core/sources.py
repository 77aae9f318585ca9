"""Which source of views to ask next."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from wasabigw.core.delivery_view import Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds

STALE_BACKOFF = Seconds(1.0)
"""How long a source is left alone that had no current view."""
FAILURE_BACKOFF = Seconds(1.0)
"""How long a source is left alone that did not answer."""


@dataclass(slots=True)
class SourceState:
    """Known sources and when each may be asked again.

    :param failure_domain: of this process; its sources come first.
    :param own: control VM of this process, which comes before all others.
    :param seeds: addresses of the settings, used besides those that a view names.
    :param offset: spreads the processes of a failure domain over its sources.
    """

    failure_domain: FailureDomainId
    seeds: tuple[Endpoint, ...]
    own: Endpoint | None = None
    offset: int = 0
    known: tuple[Source, ...] = ()
    paused_until: dict[Endpoint, Seconds] = field(default_factory=dict)


def next_source(state: SourceState, now: Seconds) -> tuple[Endpoint, bool]:
    """Best source that is not paused, or the one whose pause ends first.

    :returns: the source, and whether it is paused.
    """
    ranked = _ranked(state)
    for source in ranked:
        if state.paused_until.get(source, now) <= now:
            return source, False
    return min(ranked, key=lambda source: state.paused_until[source]), True


def record_failure(state: SourceState, source: Endpoint, now: Seconds) -> None:
    """Note that a source did not answer."""
    state.paused_until[source] = Seconds(now + FAILURE_BACKOFF)


def record_stale(state: SourceState, source: Endpoint, now: Seconds) -> None:
    """Note that a source answered without a current view."""
    state.paused_until[source] = Seconds(now + STALE_BACKOFF)


def set_known_sources(state: SourceState, known: tuple[Source, ...]) -> None:
    """Take over the sources that a view names."""
    state.known = known
    current = {source.api for source in known} | set(state.seeds)
    state.paused_until = {
        source: until
        for source, until in state.paused_until.items()
        if source in current
    }


def _ranked(state: SourceState) -> Sequence[Endpoint]:
    local = [s.api for s in state.known if s.failure_domain == state.failure_domain]
    remote = [s.api for s in state.known if s.failure_domain != state.failure_domain]
    first = [state.own] if state.own is not None else []
    ranked = (
        *first,
        *_rotated(local, state.offset),
        *_rotated(remote, state.offset),
        *_rotated(state.seeds, state.offset),
    )
    return list(dict.fromkeys(ranked))


def _rotated(endpoints: Iterable[Endpoint], offset: int) -> list[Endpoint]:
    found = list(endpoints)
    if not found:
        return found
    start = offset % len(found)
    return found[start:] + found[:start]
