"""Cache of the bindings that homes have sent to this balancer."""

from dataclasses import dataclass, field

from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import FlowKey, Seconds

CACHE_LIMIT = 400_000
"""Most cached bindings; at the limit the oldest is evicted and requested again."""


@dataclass(slots=True)
class FlowCache:
    """Backend server and expiry of each binding, by flow key, oldest first."""

    entries: dict[FlowKey, tuple[Target, Seconds]] = field(default_factory=dict)
    limit: int = CACHE_LIMIT


def store_binding(
    cache: FlowCache, flow: FlowKey, target: Target, expires: Seconds
) -> None:
    """Cache a binding until it expires."""
    entries = cache.entries
    entries.pop(flow, None)
    if len(entries) >= cache.limit:
        del entries[next(iter(entries))]
    entries[flow] = (target, expires)


def lookup(cache: FlowCache, flow: FlowKey, now: Seconds) -> Target | None:
    """Backend server of a flow, if a valid binding is cached."""
    entry = cache.entries.get(flow)
    if entry is None or entry[1] <= now or not entry[0].usable:
        return None
    return entry[0]


def remove_binding(cache: FlowCache, flow: FlowKey) -> None:
    """Remove the binding of a flow, if there is one."""
    cache.entries.pop(flow, None)


def expire(cache: FlowCache, now: Seconds) -> None:
    """Remove expired bindings from the front of the cache.

    All bindings have the same lifetime, so the oldest ones expire first.
    """
    expired = []
    for flow, (_, expires) in cache.entries.items():
        if expires > now:
            break
        expired.append(flow)
    for flow in expired:
        del cache.entries[flow]
