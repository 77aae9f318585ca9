"""Bindings that homes returned to this balancer."""

from dataclasses import dataclass, field

from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import FlowKey, Seconds

CACHE_LIMIT = 400_000
"""Bindings kept; at the limit the oldest one is dropped and queried for again."""


@dataclass(slots=True)
class FlowCache:
    """Flow key -> backend server and end of the binding."""

    entries: dict[FlowKey, tuple[Target, Seconds]] = field(default_factory=dict)
    limit: int = CACHE_LIMIT


def store_binding(
    cache: FlowCache, flow: FlowKey, target: Target, expires: Seconds
) -> None:
    """Keep a binding until it expires."""
    entries = cache.entries
    entries.pop(flow, None)
    if len(entries) >= cache.limit:
        del entries[next(iter(entries))]
    entries[flow] = (target, expires)


def lookup(cache: FlowCache, flow: FlowKey, now: Seconds) -> Target | None:
    """Backend server of a flow, if a binding is valid."""
    entry = cache.entries.get(flow)
    if entry is None or entry[1] <= now or not entry[0].usable:
        return None
    return entry[0]


def remove_binding(cache: FlowCache, flow: FlowKey) -> None:
    """Drop a binding."""
    cache.entries.pop(flow, None)


def expire(cache: FlowCache, now: Seconds) -> None:
    """Drop the oldest bindings that have expired.

    All bindings have the same lifetime, so the oldest expire first.
    """
    old = []
    for flow, (_, expires) in cache.entries.items():
        if expires > now:
            break
        old.append(flow)
    for flow in old:
        del cache.entries[flow]
