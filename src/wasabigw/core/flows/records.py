"""Flow records of a balancer, with idle expiry and counts per bucket."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabigw.core.flows.targets import Target
from wasabigw.core.ids import BackendServerId, BucketNumber, FlowKey, NodeId, Seconds
from wasabigw.core.timing import BINDING_LIFETIME, FLOW_IDLE_TIMEOUT

RECORD_LIMIT = 400_000
"""Most flows that a balancer records; at the limit it refuses new flows."""

CLOSED_RETENTION = BINDING_LIFETIME
"""How long the record of a closed flow is kept.

While other balancers may have a binding of the flow cached, a new flow with the same
key has to open at the same backend server.
"""

CALLER_CLOSED = 1
BACKEND_CLOSED = 2
BOTH_CLOSED = CALLER_CLOSED | BACKEND_CLOSED


@dataclass(slots=True, eq=False)
class FlowRecord:
    """Backend server and state of a flow.

    :param slot_held: whether it counts against the limit of the backend server.
    :param closed: flags of the sides that have closed.
    :param answered: the backend server has answered the opening, or did not do so
        within ``OPENING_TIMEOUT``.
    :param opening: admitted here without an answer so far. The opening packet may
        have been lost, and its retransmission admitted by another home.
    :param check_at: second in which the expiry is checked.
    :param copied_at: when a packet last passed the other holder of the record, which
        is the backup, or the home if this balancer is not the home.
    :param copied_to: the other holder at that time.
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
    """All records of a balancer, also those kept from former roles.

    :param counts: number of records by backend server and bucket.
    :param due: flows to check for expiry, by second.
    :param checked_until: second up to which expiry was checked.
    """

    records: dict[FlowKey, FlowRecord] = field(default_factory=dict)
    by_backend: dict[BackendServerId, set[FlowKey]] = field(default_factory=dict)
    counts: dict[tuple[BackendServerId, BucketNumber], int] = field(
        default_factory=dict
    )
    due: dict[int, list[FlowKey]] = field(default_factory=dict)
    checked_until: int | None = None
    limit: int = RECORD_LIMIT


def is_full(table: FlowTable) -> bool:
    """Whether the limit of records is reached."""
    return len(table.records) >= table.limit


def insert(table: FlowTable, flow: FlowKey, record: FlowRecord) -> None:
    """Add a record, in place of an older record with the same key."""
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
    """Mark a flow as ended; its record expires after :data:`CLOSED_RETENTION`."""
    record.closed = BOTH_CLOSED
    record.last_seen = now
    _schedule(table, flow, record, Seconds(now + CLOSED_RETENTION))


def flows_of(table: FlowTable, backend_server: BackendServerId) -> Iterable[FlowKey]:
    """Recorded flows of a backend server."""
    return tuple(table.by_backend.get(backend_server, ()))


def has_flows(
    table: FlowTable, backend_server: BackendServerId, bucket: BucketNumber
) -> bool:
    """Whether a backend server has recorded flows of a bucket."""
    return (backend_server, bucket) in table.counts


def remove_expired(table: FlowTable, now: Seconds) -> list[FlowRecord]:
    """Delete and return the records that have expired."""
    second = int(now)
    first = (
        min(table.due, default=second)
        if table.checked_until is None
        else table.checked_until
    )
    table.checked_until = second
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
    is_closed = record.closed == BOTH_CLOSED
    timeout = CLOSED_RETENTION if is_closed else FLOW_IDLE_TIMEOUT
    return Seconds(record.last_seen + timeout)


def _schedule(
    table: FlowTable, flow: FlowKey, record: FlowRecord, deadline: Seconds
) -> None:
    second = int(deadline)
    if table.checked_until is not None:
        # Seconds before this one are not checked again.
        second = max(second, table.checked_until)
    record.check_at = second
    table.due.setdefault(second, []).append(flow)
