"""Rows of the capacity page for voters and relays."""

from collections.abc import Iterator

from wasabigw.core.timing import (
    HEARTBEAT_INTERVAL,
    LEADER_LEASE,
    LOG_KEPT_BEHIND_SNAPSHOT,
    LOG_POLL_WAIT,
    SNAPSHOT_INTERVAL,
)
from wasabigw.tasks.limits import DEFAULT_LIMITS
from wasabigw.tasks.voter_task import MEMBERSHIP_PERIOD
from wasabigw_measure._capacity_costs import (
    DEDICATED_CPU,
    ENTRY_KINDS,
    VOTERS,
    daily,
    entry_cost,
    entry_slopes,
    state_bytes,
)
from wasabigw_measure._capacity_model import (
    DAY,
    Budget,
    Role,
    Row,
    ordinary_day,
)
from wasabigw_measure._capacity_run import Measurements


def leader(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """The leading voter."""
    size, role = measured.target, Role.LEADER
    servers = size.backend_servers
    limit = 100 * DEDICATED_CPU
    per_poll = measured.poll.server
    rate = size.nodes / LOG_POLL_WAIT
    yield Row(
        role,
        "polls of all balancers (as built)",
        "`tasks/http_control.py`, `voter_task.py`",
        f"{1e3 * per_poll:.2f} ms/poll",
        f"{size.nodes} nodes x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * per_poll * rate,
        "% of a core",
        limit,
        "relays",
    )
    yield Row(
        role,
        "polls of the relays",
        "relay, not built yet",
        f"{1e3 * per_poll:.2f} ms/poll",
        f"{size.failure_domains} relays x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * per_poll * size.failure_domains / LOG_POLL_WAIT,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "polls held at the same time (as built)",
        "`tasks/http_control.py`, a thread for each held poll",
        f"{DEFAULT_LIMITS.http_threads} threads",
        f"{size.nodes} balancers",
        float(size.nodes),
        "polls",
        float(DEFAULT_LIMITS.http_threads),
        "relays, and polls that are held without a thread",
    )
    rates = ordinary_day(size)
    beats = (VOTERS - 1) / HEARTBEAT_INTERVAL
    ticking = max(0.0, measured.line(lambda s: s.membership).at(servers))
    scanning = max(0.0, measured.line(lambda s: s.membership_after_entry).at(servers))
    total = (
        rates.total * measured.report.server
        + daily(measured, "voter")
        + beats * measured.poll.client
        + ticking / MEMBERSHIP_PERIOD
        + min(rates.total, 1 / MEMBERSHIP_PERIOD) * scanning
    )
    yield Row(
        role,
        "reports, changes, heartbeats and membership of an ordinary day",
        "`tasks/voter_task.py`, `voter_link.py`, `core/membership.py`",
        f"{1e3 * measured.report.server:.2f} ms/report; membership tick "
        f"{1e3 * ticking:.2f} ms, after an entry {1e3 * scanning:.2f} ms at the target",
        f"{rates.total:.2f} entries/s, {beats:.0f} heartbeats/s at the cost of a poll",
        100 * total,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "apply an entry",
        "`core/apply.py`",
        entry_slopes(measured, "voter"),
        "slowest kind at the target",
        1e3 * max(entry_cost(measured, kind).voter for kind in ENTRY_KINDS.values()),
        "ms",
        1e3 * LEADER_LEASE,
    )
    yield from _leader_snapshot(measured)
    entry = max(entry_cost(measured, kind).size for kind in ENTRY_KINDS.values())
    kept = (LOG_KEPT_BEHIND_SNAPSHOT + SNAPSHOT_INTERVAL) * entry * 4
    yield Row(
        role,
        "memory: state, last snapshot and log",
        "`core/consensus`, `core/copying.py`",
        f"{state_bytes(measured) / 1e6:.0f} MB of state",
        "2 states (bucket tables are copied) + entries at 4 times their bytes "
        "+ process",
        (2 * state_bytes(measured) + kept + measured.process) / 1e6,
        "MB",
    )


def _leader_snapshot(measured: Measurements) -> Iterator[Row]:
    size, role = measured.target, Role.LEADER
    encode = measured.snapshot_line(lambda s: s.encode)
    copying = measured.line(lambda s: s.copy)
    yield Row(
        role,
        "snapshot every 512 entries: copy, encode",
        "`tasks/voter_task.py`, `storage.py`; the task does nothing else meanwhile",
        f"{1e6 * encode.slope:.0f} us/service to encode, "
        f"{1e6 * copying.slope:.1f} us/backend server to copy",
        "one after the other, without the disk",
        encode.at(size.services) + copying.at(size.backend_servers),
        "s",
        float(LEADER_LEASE),
        "encoding in parts or in a task of its own",
    )
    whole = measured.snapshot_line(lambda s: s.compressed).at(size.services)
    packing = measured.snapshot_line(lambda s: s.compress).at(size.services)
    starts = (size.lost_vms + size.restarted_vms) / DAY * (1 - size.server_share)
    yield Row(
        role,
        "snapshots sent to starting balancers, mean (as built)",
        "`tasks/http_control.py`",
        f"{encode.at(size.services):.2f} s to encode and {packing:.2f} s to "
        "compress at the target",
        f"{starts * DAY:.0f} starts/day, {starts * whole / 1e3:.0f} KB/s",
        100 * starts * (encode.at(size.services) + packing),
        "% of a core",
        100 * DEDICATED_CPU,
        "relays, which encode a snapshot once",
    )


def follower(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """A voter that follows."""
    role = Role.FOLLOWER
    rates = ordinary_day(measured.target)
    beats = 1 / HEARTBEAT_INTERVAL
    total = daily(measured, "voter") + beats * measured.poll.server
    yield Row(
        role,
        "entries and heartbeats of an ordinary day",
        "`tasks/http_control.py`, `voter_task.py`",
        f"{1e3 * measured.poll.server:.2f} ms/message, as a poll at the leader",
        f"{rates.total:.2f} entries/s, {beats:.0f} heartbeats/s",
        100 * total,
        "% of a core",
        100 * DEDICATED_CPU,
    )
    append = measured.append
    yield Row(
        role,
        "append with sync",
        "`tasks/storage.py`",
        f"{1e3 * append.one:.2f} ms for one entry, {1e3 * append.batch:.2f} ms for "
        f"{append.batch_entries} (this machine's disk)",
        f"{rates.total:.2f} appends/s",
        100 * rates.total * append.one,
        "% of the time",
        100 * DEDICATED_CPU,
    )


def relay(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """A relay of a failure domain."""
    size, role = measured.target, Role.RELAY
    rate = size.nodes_per_domain / LOG_POLL_WAIT
    yield Row(
        role,
        "polls of the balancers of a failure domain",
        "relay, with the HTTP server of the leader",
        f"{1e3 * measured.poll.server:.2f} ms/poll",
        f"{size.nodes_per_domain} nodes x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * measured.poll.server * rate,
        "% of a core",
        100 * DEDICATED_CPU,
        "a cheaper front end than cherrypy for polls",
    )
    yield Row(
        role,
        "polls held at the same time",
        "a thread for each held poll, as in `tasks/http_control.py`",
        f"{DEFAULT_LIMITS.http_threads} threads",
        f"{size.nodes_per_domain} balancers",
        float(size.nodes_per_domain),
        "polls",
        float(DEFAULT_LIMITS.http_threads),
        "polls that are held without a thread",
    )
    yield Row(
        role,
        "bytes to its balancers",
        "as above",
        f"{measured.poll.total:.0f} B/poll",
        f"{size.nodes_per_domain} nodes",
        (measured.poll.total / LOG_POLL_WAIT + daily(measured, "size"))
        * size.nodes_per_domain
        / 1e3,
        "KB/s",
    )
