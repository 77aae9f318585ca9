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
    describe_entry_costs,
    entry_cost,
    ordinary_day_cost,
    state_bytes,
)
from wasabigw_measure._capacity_model import (
    DAY,
    Budget,
    Role,
    Row,
    ordinary_day_rates,
)
from wasabigw_measure._capacity_run import Measurements


def leader_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for the voter that leads."""
    target, role = measured.target, Role.LEADER
    servers = target.backend_servers
    limit = 100 * DEDICATED_CPU
    per_poll = measured.poll.server
    polls_per_second = target.nodes / LOG_POLL_WAIT
    yield Row(
        role,
        "polls of all balancers (as built)",
        "`tasks/http_control.py`, `voter_task.py`",
        f"{1e3 * per_poll:.2f} ms/poll",
        f"{target.nodes} nodes x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * per_poll * polls_per_second,
        "% of a core",
        limit,
        "relays",
    )
    yield Row(
        role,
        "polls of the relays",
        "relay, not built yet",
        f"{1e3 * per_poll:.2f} ms/poll",
        f"{target.failure_domains} relays x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * per_poll * target.failure_domains / LOG_POLL_WAIT,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "polls held at the same time (as built)",
        "`tasks/http_control.py`, a thread for each held poll",
        f"{DEFAULT_LIMITS.http_threads} threads",
        f"{target.nodes} balancers",
        float(target.nodes),
        "polls",
        float(DEFAULT_LIMITS.http_threads),
        "relays, and polls that are held without a thread",
    )
    rates = ordinary_day_rates(target)
    heartbeats = (VOTERS - 1) / HEARTBEAT_INTERVAL
    membership_tick = max(0.0, measured.line(lambda s: s.membership).at(servers))
    changed_tick = max(
        0.0, measured.line(lambda s: s.membership_after_entry).at(servers)
    )
    cpu_share = (
        rates.total * measured.report.server
        + ordinary_day_cost(measured, "voter")
        + heartbeats * measured.poll.client
        + membership_tick / MEMBERSHIP_PERIOD
        + min(rates.total, 1 / MEMBERSHIP_PERIOD) * changed_tick
    )
    yield Row(
        role,
        "reports, changes, heartbeats and membership of an ordinary day",
        "`tasks/voter_task.py`, `voter_link.py`, `core/membership.py`",
        f"{1e3 * measured.report.server:.2f} ms/report; membership tick "
        f"{1e3 * membership_tick:.2f} ms, after an entry {1e3 * changed_tick:.2f} ms "
        "at the target",
        f"{rates.total:.2f} entries/s, {heartbeats:.0f} heartbeats/s at the cost of "
        "a poll",
        100 * cpu_share,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "apply an entry",
        "`core/apply.py`",
        describe_entry_costs(measured, "voter"),
        "slowest kind at the target",
        1e3 * max(entry_cost(measured, kind).voter for kind in ENTRY_KINDS.values()),
        "ms",
        1e3 * LEADER_LEASE,
    )
    yield from _leader_snapshot(measured)
    largest_entry = max(
        entry_cost(measured, kind).size for kind in ENTRY_KINDS.values()
    )
    log_bytes = (LOG_KEPT_BEHIND_SNAPSHOT + SNAPSHOT_INTERVAL) * largest_entry * 4
    yield Row(
        role,
        "memory: state, last snapshot and log",
        "`core/consensus`, `core/copying.py`",
        f"{state_bytes(measured) / 1e6:.0f} MB of state",
        "2 states (bucket tables are copied) + entries at 4 times their bytes "
        "+ process",
        (2 * state_bytes(measured) + log_bytes + measured.process) / 1e6,
        "MB",
    )


def _leader_snapshot(measured: Measurements) -> Iterator[Row]:
    target, role = measured.target, Role.LEADER
    encode_line = measured.snapshot_line(lambda s: s.encode)
    copy_line = measured.line(lambda s: s.copy)
    yield Row(
        role,
        "snapshot every 512 entries: copy, encode",
        "`tasks/voter_task.py`, `storage.py`; the task does nothing else meanwhile",
        f"{1e6 * encode_line.slope:.0f} us/service to encode, "
        f"{1e6 * copy_line.slope:.1f} us/backend server to copy",
        "one after the other, without the disk",
        encode_line.at(target.services) + copy_line.at(target.backend_servers),
        "s",
        float(LEADER_LEASE),
        "encoding in parts or in a task of its own",
    )
    compressed_bytes = measured.snapshot_line(lambda s: s.compressed).at(
        target.services
    )
    compress_time = measured.snapshot_line(lambda s: s.compress).at(target.services)
    starts = (target.lost_vms + target.restarted_vms) / DAY * (1 - target.server_share)
    yield Row(
        role,
        "snapshots sent to starting balancers, mean (as built)",
        "`tasks/http_control.py`",
        f"{encode_line.at(target.services):.2f} s to encode and {compress_time:.2f} s "
        "to compress at the target",
        f"{starts * DAY:.0f} starts/day, {starts * compressed_bytes / 1e3:.0f} KB/s",
        100 * starts * (encode_line.at(target.services) + compress_time),
        "% of a core",
        100 * DEDICATED_CPU,
        "relays, which encode a snapshot once",
    )


def follower_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for a voter that follows."""
    role = Role.FOLLOWER
    rates = ordinary_day_rates(measured.target)
    heartbeats = 1 / HEARTBEAT_INTERVAL
    cpu_share = ordinary_day_cost(measured, "voter") + heartbeats * measured.poll.server
    yield Row(
        role,
        "entries and heartbeats of an ordinary day",
        "`tasks/http_control.py`, `voter_task.py`",
        f"{1e3 * measured.poll.server:.2f} ms/message, as a poll at the leader",
        f"{rates.total:.2f} entries/s, {heartbeats:.0f} heartbeats/s",
        100 * cpu_share,
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


def relay_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for the relay of a failure domain."""
    target, role = measured.target, Role.RELAY
    polls_per_second = target.nodes_per_domain / LOG_POLL_WAIT
    yield Row(
        role,
        "polls of the balancers of a failure domain",
        "relay, with the HTTP server of the leader",
        f"{1e3 * measured.poll.server:.2f} ms/poll",
        f"{target.nodes_per_domain} nodes x {1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * measured.poll.server * polls_per_second,
        "% of a core",
        100 * DEDICATED_CPU,
        "a cheaper front end than cherrypy for polls",
    )
    yield Row(
        role,
        "polls held at the same time",
        "a thread for each held poll, as in `tasks/http_control.py`",
        f"{DEFAULT_LIMITS.http_threads} threads",
        f"{target.nodes_per_domain} balancers",
        float(target.nodes_per_domain),
        "polls",
        float(DEFAULT_LIMITS.http_threads),
        "polls that are held without a thread",
    )
    yield Row(
        role,
        "bytes to its balancers",
        "as above",
        f"{measured.poll.total:.0f} B/poll",
        f"{target.nodes_per_domain} nodes",
        (measured.poll.total / LOG_POLL_WAIT + ordinary_day_cost(measured, "size"))
        * target.nodes_per_domain
        / 1e3,
        "KB/s",
    )
