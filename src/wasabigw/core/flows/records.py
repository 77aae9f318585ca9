"""Flow records of a home, with idle expiry and counts per bucket."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import BackendServerId, BucketNumber, FlowKey, NodeId, Seconds
from wasabigw.core.timing import BINDING_LIFETIME, FLOW_IDLE_TIMEOUT

RECORD_LIMIT = 400_000
"""Flows recorded by one balancer; at the limit new flows are refused."""

CLOSED_RETENTION = BINDING_LIFETIME
"""How long a closed flow is remembered.

While balancers may hold a binding of it, a new flow with the same key has to open
at the same backend server.
"""

CALLER_CLOSED = 1
BACKEND_CLOSED = 2
BOTH_CLOSED = CALLER_CLOSED | BACKEND_CLOSED


@dataclass(slots=True, eq=False)
class FlowRecord:
    """Where a flow belongs.

    :param slot_held: whether it counts against the limit of the backend server.
    :param closed: sides that have closed, as flags.
    :param answered: whether the backend server accepted it, or took too long to.
    :param opening: admitted here, and no answer was seen yet. The opening packet may
        have been lost and its repetition admitted by another home.
    :param check_at: second in which its expiry is checked.
    :param copied: when a packet last passed the other holder of the record: the
        backup, or the home if this balancer is not the home.
    :param copied_to: that balancer.
    """

    target: Target
    bucket: BucketNumber
    opened: Seconds
    last_seen: Seconds
    slot_held: bool
    closed: int = 0
    answered: bool = False
    opening: bool = False
    check_at: int = 0
    copied_at: Seconds | None = None
    copied_to: NodeId | None = None


@dataclass(slots=True)
class FlowTable:
    """All records of a balancer, also of flows of former homes."""

    records: dict[FlowKey, FlowRecord] = field(default_factory=dict)
    by_backend: dict[BackendServerId, set[FlowKey]] = field(default_factory=dict)
    counts: dict[tuple[BackendServerId, BucketNumber], int] = field(
        default_factory=dict
    )
    due: dict[int, list[FlowKey]] = field(default_factory=dict)
    swept: int | None = None
    limit: int = RECORD_LIMIT


def is_full(table: FlowTable) -> bool:
    """Whether no further flow can be recorded."""
    return len(table.records) >= table.limit


def insert(table: FlowTable, flow: FlowKey, record: FlowRecord) -> None:
    """Record a flow in place of an older record of the same key."""
    remove(table, flow)
    table.records[flow] = record
    name = record.target.id
    table.by_backend.setdefault(name, set()).add(flow)
    slot = (name, record.bucket)
    table.counts[slot] = table.counts.get(slot, 0) + 1
    _schedule(table, flow, record, Seconds(record.last_seen + FLOW_IDLE_TIMEOUT))


def remove(table: FlowTable, flow: FlowKey) -> FlowRecord | None:
    """Delete a record and return it."""
    record = table.records.pop(flow, None)
    if record is None:
        return None
    name = record.target.id
    flows = table.by_backend[name]
    flows.discard(flow)
    if not flows:
        del table.by_backend[name]
    slot = (name, record.bucket)
    left = table.counts[slot] - 1
    if left:
        table.counts[slot] = left
    else:
        del table.counts[slot]
    return record


def close(table: FlowTable, flow: FlowKey, record: FlowRecord, now: Seconds) -> None:
    """Keep a flow that has ended for :data:`CLOSED_RETENTION` only."""
    record.closed = BOTH_CLOSED
    record.last_seen = now
    _schedule(table, flow, record, Seconds(now + CLOSED_RETENTION))


def flows_of(table: FlowTable, backend_server: BackendServerId) -> Iterable[FlowKey]:
    """Recorded flows of a backend server."""
    return tuple(table.by_backend.get(backend_server, ()))


def has_flows(
    table: FlowTable, backend_server: BackendServerId, bucket: BucketNumber
) -> bool:
    """Whether a flow of a bucket is recorded for a backend server."""
    return (backend_server, bucket) in table.counts


def remove_expired(table: FlowTable, now: Seconds) -> list[FlowRecord]:
    """Delete the records that no packet has refreshed in time."""
    second = int(now)
    first = min(table.due, default=second) if table.swept is None else table.swept
    table.swept = second
    expired = []
    for when in range(first, second):
        for flow in table.due.pop(when, ()):
            record = table.records.get(flow)
            if record is None or record.check_at != when:
                continue
            deadline = _deadline(record)
            if deadline > now:
                _schedule(table, flow, record, deadline)
                continue
            remove(table, flow)
            expired.append(record)
    return expired


def _deadline(record: FlowRecord) -> Seconds:
    ended = record.closed == BOTH_CLOSED
    timeout = CLOSED_RETENTION if ended else FLOW_IDLE_TIMEOUT
    return Seconds(record.last_seen + timeout)


def _schedule(
    table: FlowTable, flow: FlowKey, record: FlowRecord, deadline: Seconds
) -> None:
    second = int(deadline)
    if table.swept is not None:
        # A second that has been swept already would never be looked at again.
        second = max(second, table.swept)
    record.check_at = second
    table.due.setdefault(second, []).append(flow)
