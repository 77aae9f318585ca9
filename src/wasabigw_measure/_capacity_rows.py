"""Rows of the capacity page from the measurements."""

from collections.abc import Iterator

from wasabigw.core.flows.records import RECORD_LIMIT
from wasabigw.core.flows.state import BINDING_RATE
from wasabigw.core.timing import (
    ANNOUNCE_INTERVAL,
    HEARTBEAT_INTERVAL,
    LEADER_LEASE,
    LOG_KEPT_BEHIND_SNAPSHOT,
    LOG_POLL_WAIT,
    REMEMBERED_REQUESTS,
    SNAPSHOT_INTERVAL,
)
from wasabigw.tasks.limits import DEFAULT_LIMITS
from wasabigw.tasks.log_follower import MIN_POLL_INTERVAL
from wasabigw.tasks.packet_task import PING_PERIOD, UPKEEP_PERIOD
from wasabigw.tasks.voter_task import MEMBERSHIP_PERIOD
from wasabigw_measure._capacity_entries import EntryCost, SizeCosts
from wasabigw_measure._capacity_model import (
    DAY,
    Budget,
    EntryRates,
    Role,
    Row,
    ordinary_day,
    seconds_to_send,
)
from wasabigw_measure._capacity_run import Measurements
from wasabigw_measure._capacity_storms import Storm

VOTERS = 5
DEDICATED_CPU = 0.5
"""Share of a core that a voter or relay on a VM of its own may use on average."""
ROUND_TRIP = 0.05
"""Assumed round trip between two regions in seconds."""
ENTRY_KINDS = {
    "up": "backend server up (new boot)",
    "step": "backend server step",
    "down": "backend server down",
    "release": "candidates released",
    "node": "node up (new incarnation)",
    "change": "change of a service",
}


def rows(measured: Measurements, budget: Budget) -> list[Row]:
    """All rows, by role."""
    return [
        *_balancer_memory(measured, budget),
        *_balancer_cpu(measured, budget),
        *_balancer_bytes(measured, budget),
        *_leader(measured, budget),
        *_follower(measured, budget),
        *_relay(measured, budget),
        *_whole(measured, budget),
        *_storms(measured, budget),
    ]


def entry_cost(measured: Measurements, kind: str) -> EntryCost:
    """Cost of an entry of a kind at the target, by the lines."""
    size = measured.target.backend_servers

    def at(value: str) -> float:
        def of(costs: SizeCosts) -> float:
            cost: float = getattr(costs.entries[kind], value)
            return cost

        return max(0.0, measured.line(of).at(size))

    return EntryCost(at("size"), at("voter"), at("balancer"))


def daily(measured: Measurements, value: str) -> float:
    """Sum over the kinds of rate times cost, per second of an ordinary day."""
    rates: EntryRates = ordinary_day(measured.target)
    costs = {name: entry_cost(measured, kind) for name, kind in ENTRY_KINDS.items()}
    total: float = sum(
        getattr(rates, name) * getattr(cost, value) for name, cost in costs.items()
    )
    return total


def state_bytes(measured: Measurements) -> float:
    """Memory of the replicated state at the target."""
    size, per = measured.target, measured.state
    return (
        size.services * per.service
        + size.backend_servers * per.server
        + size.nodes * per.node
        + REMEMBERED_REQUESTS * per.request
    )


def _balancer_memory(measured: Measurements, budget: Budget) -> Iterator[Row]:
    size, per = measured.target, measured.state
    role = Role.BALANCER
    state = state_bytes(measured)
    yield Row(
        role,
        "replicated state",
        "`core/cluster.py`, owned by `PacketTask`",
        f"{per.service:.0f} B/service, {per.server:.0f} B/backend server, "
        f"{per.node:.0f} B/node, {per.request:.0f} B/request id",
        f"{size.services} services + {size.backend_servers} backend servers + "
        f"{size.nodes} nodes + {REMEMBERED_REQUESTS} request ids",
        state / 1e6,
        "MB",
        budget.memory / 1e6,
    )
    derived = (
        size.services * per.derived_service
        + size.backend_servers * per.derived_server
        + size.nodes * per.derived_node
    )
    yield Row(
        role,
        "tables derived from it",
        "`core/flows/routes.py`, `homes.py`, `core/backend_home.py`",
        f"{per.derived_service:.0f} B/service, {per.derived_server:.0f} B/backend "
        f"server, {per.derived_node:.0f} B/node",
        "as above",
        derived / 1e6,
        "MB",
        budget.memory / 1e6,
    )
    yield Row(
        role,
        "process without any state",
        "imports of `daemon.py`",
        f"{measured.process / 1e6:.0f} MB resident",
        "measured",
        measured.process / 1e6,
        "MB",
        budget.memory / 1e6,
    )
    yield Row(
        role,
        "memory for control, total",
        "",
        "",
        "sum of the three rows above",
        (state + derived + measured.process) / 1e6,
        "MB",
        budget.memory / 1e6,
        "bucket tables as arrays of indexes",
    )
    peak = measured.snapshot_line(lambda s: s.decode_peak)
    whole = peak.at(size.services)
    yield Row(
        role,
        "the same while a snapshot is decoded",
        "`tasks/control_client.py`, `codec/messages.py`",
        f"{peak.slope:.0f} B/service",
        "peak of decoding (with the new state) + derived tables + process",
        (whole + derived + measured.process) / 1e6,
        "MB",
        budget.memory / 1e6,
        "snapshot in parts",
    )
    yield Row(
        role,
        "bucket candidates on an ordinary day",
        "`core/buckets.py`",
        f"{per.candidate:.0f} B/candidate",
        "starts/s x 512 moved buckets x 310 s",
        ordinary_day(size).up * 512 * 310 * per.candidate / 1e6,
        "MB",
        budget.memory / 1e6,
    )
    flows = measured.flows
    yield Row(
        role,
        "flow records and cache (data, not control)",
        "`core/flows/records.py`, `cache.py`",
        f"{flows.record:.0f} B/record, {flows.cached:.0f} B/cached binding at "
        f"{flows.flows} flows",
        f"{size.flows} flows / {size.nodes} nodes x 2 copies (home and backup), and a "
        f"full cache of {RECORD_LIMIT} bindings",
        (2 * size.flows / size.nodes * flows.record + RECORD_LIMIT * flows.cached)
        / 1e6,
        "MB",
    )


def _balancer_cpu(measured: Measurements, budget: Budget) -> Iterator[Row]:
    size, role = measured.target, Role.BALANCER
    servers = size.backend_servers
    limit = 100 * budget.cpu
    polls = measured.poll.client / LOG_POLL_WAIT
    yield Row(
        role,
        "log polls",
        "`tasks/log_follower.py`, `control_client.py`",
        f"{1e3 * measured.poll.client:.2f} ms/poll",
        f"{1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * polls,
        "% of a core",
        limit,
    )
    announced = measured.announcement.server * size.servers_per_node / ANNOUNCE_INTERVAL
    yield Row(
        role,
        "announcements at the home",
        "`tasks/http_balancer.py`, `core/backend_home.py`",
        f"{1e3 * measured.announcement.server:.2f} ms/announcement",
        f"{size.servers_per_node:.1f} backend servers/home, one each second",
        100 * announced,
        "% of a core",
        limit,
        "announcements over a cheaper front end than cherrypy",
    )
    entries = daily(measured, "balancer")
    rates = ordinary_day(size)
    yield Row(
        role,
        "log entries of an ordinary day",
        "`tasks/log_application.py`, `core/apply.py`",
        _entry_slopes(measured, "balancer"),
        f"{rates.total:.2f} entries/s",
        100 * entries,
        "% of a core",
        limit,
        "tables brought up to date by what an entry changed, not by a look at all",
    )
    tick = max(0.0, measured.line(lambda s: s.tick).at(servers))
    ping = max(0.0, measured.line(lambda s: s.ping).at(servers))
    ticks = tick / UPKEEP_PERIOD + ping / PING_PERIOD
    yield Row(
        role,
        "upkeep and pings",
        "`core/flows/upkeep.py`, `core/reachability.py`",
        f"{1e3 * tick:.2f} ms/upkeep tick, {1e3 * ping:.2f} ms/ping tick at the target",
        f"{1 / UPKEEP_PERIOD:.0f} upkeep ticks/s, {1 / PING_PERIOD:.0f} ping tick/s",
        100 * ticks,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "processor time for control, total",
        "",
        "",
        "sum of the four rows above",
        100 * (polls + announced + entries + ticks),
        "% of a core",
        limit,
        "announcements over a cheaper front end than cherrypy",
    )
    load = measured.line(lambda s: s.load).at(servers)
    decode = measured.snapshot_line(lambda s: s.decode).at(size.services)
    yield Row(
        role,
        "start: decode and take over a snapshot",
        "`codec/messages.py`, `core/flows/routes.py`, `homes.py`",
        f"{1e6 * measured.line(lambda s: s.load).slope:.1f} us/backend server to take "
        "over",
        f"decode {decode:.2f} s + take over {load:.2f} s",
        decode + load,
        "s",
        budget.in_force,
        "snapshot in parts",
    )


def _entry_slopes(measured: Measurements, value: str) -> str:
    parts = []
    for kind in ENTRY_KINDS.values():
        line = measured.line(lambda s, k=kind: getattr(s.entries[k], value))  # type: ignore[misc]
        parts.append(f"{kind} {1e3 * line.base:.2f} ms + {1e9 * line.slope:.0f} ns x n")
    return "for n backend servers: " + "; ".join(parts)


def _balancer_bytes(measured: Measurements, budget: Budget) -> Iterator[Row]:
    size, role = measured.target, Role.BALANCER
    polls = measured.poll.total / LOG_POLL_WAIT
    yield Row(
        role,
        "log polls",
        "`tasks/log_follower.py`, HTTP/JSON",
        f"{measured.poll.sent:.0f} B sent, {measured.poll.received:.0f} B received, "
        "with HTTP, TCP and IP",
        f"{1 / LOG_POLL_WAIT:.0f} polls/s",
        polls,
        "B/s",
        budget.rate,
    )
    announced = measured.announcement.total * size.servers_per_node / ANNOUNCE_INTERVAL
    yield Row(
        role,
        "announcements at the home",
        "`tasks/http_balancer.py`, HTTP/JSON",
        f"{measured.announcement.sent:.0f} B in, "
        f"{measured.announcement.received:.0f} B out, with HTTP, TCP and IP",
        f"{size.servers_per_node:.1f} backend servers/home, one each second",
        announced,
        "B/s",
        budget.rate,
        "longer renewal interval and lease for servers of large services; backend "
        "servers speak plain HTTP, so the headers stay",
    )
    pings = 4 * (size.failure_domains - 1) * measured.ping / PING_PERIOD
    yield Row(
        role,
        "pings between failure domains",
        "`core/reachability.py`, `tasks/ping_frames.py`",
        f"{measured.ping} B/frame with UDP and IP",
        f"{size.failure_domains - 1} other failure domains, a ping and a reply in each "
        "direction",
        pings,
        "B/s",
        budget.rate,
        "one ping in several seconds for each balancer, shared by the balancers of a "
        "failure domain",
    )
    bindings = BINDING_RATE * measured.binding
    yield Row(
        role,
        "BINDING frames, at the limit",
        "`core/flows/sending.py`",
        f"{measured.binding} B/frame with UDP and IP",
        f"{BINDING_RATE:.0f} frames/s, the limit in `core/flows/state.py`",
        bindings,
        "B/s",
        budget.rate,
    )
    entries = daily(measured, "size")
    yield Row(
        role,
        "log entries of an ordinary day",
        "`tasks/log_follower.py`",
        "; ".join(
            f"{kind} {entry_cost(measured, kind).size:.0f} B"
            for kind in ENTRY_KINDS.values()
        ),
        f"{ordinary_day(size).total:.2f} entries/s",
        entries,
        "B/s",
        budget.rate,
    )
    rates = ordinary_day(size)
    reports = (rates.total - rates.change) / size.nodes * measured.report.total
    yield Row(
        role,
        "reports",
        "`tasks/report_sender.py`",
        f"{measured.report.total:.0f} B/report",
        "reports of an ordinary day / nodes",
        reports,
        "B/s",
        budget.rate,
    )
    yield Row(
        role,
        "bytes for control in both directions, total",
        "",
        "",
        "sum of the six rows above",
        polls + announced + pings + bindings + entries + reports,
        "B/s",
        budget.rate,
        "announcements and pings, see above",
    )
    snapshot = measured.snapshot_line(lambda s: s.size)
    packed = measured.snapshot_line(lambda s: s.compressed)
    whole = packed.at(size.services)
    yield Row(
        role,
        "start: a snapshot at the rate of the budget",
        "`tasks/voter_task.py`, `codec/messages.py`",
        f"{packed.slope:.0f} B/service compressed, "
        f"{snapshot.slope:.0f} B/service plain",
        f"{whole / 1e6:.2f} MB at {budget.rate:.0f} B/s; "
        f"{snapshot.at(size.services) / 1e6:.1f} MB before compression",
        seconds_to_send(whole, budget.rate),
        "s",
        budget.in_force,
        "snapshot in parts from the relay of the own failure domain at a higher rate; "
        "bucket tables computed anew where no bucket has a former candidate",
    )
    starts = (size.lost_vms + size.restarted_vms) / DAY * (1 - size.server_share)
    yield Row(
        role,
        "snapshots on an ordinary day, mean",
        "as above",
        f"{packed.slope:.0f} B/service compressed",
        f"{starts * DAY / size.nodes:.2f} starts of a node/day",
        starts / size.nodes * whole,
        "B/s",
        budget.rate,
    )


def _leader(measured: Measurements, budget: Budget) -> Iterator[Row]:
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
        _entry_slopes(measured, "voter"),
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


def _follower(measured: Measurements, budget: Budget) -> Iterator[Row]:
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


def _relay(measured: Measurements, budget: Budget) -> Iterator[Row]:
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


def _whole(measured: Measurements, budget: Budget) -> Iterator[Row]:
    size, role = measured.target, Role.WHOLE
    yield Row(
        role,
        "VMs set aside for control",
        "voters and relays",
        "",
        f"{VOTERS} voters + {size.failure_domains} relays",
        float(VOTERS + size.failure_domains),
        "VMs",
        float(budget.dedicated_vms),
    )
    rates = ordinary_day(size)
    yield Row(
        role,
        "log entries on an ordinary day",
        "`tasks/report_sender.py`, `voter_task.py`",
        "up to one entry for each report",
        f"{size.lost_vms} losses, {size.restarted_vms} restarts, "
        f"{size.changes_per_day} changes",
        rates.total * DAY,
        "entries",
    )
    change = entry_cost(measured, ENTRY_KINDS["change"])
    commit = 2 * measured.append.one + ROUND_TRIP
    for name, polls, carrier in (
        (
            "change in force (as built, all balancers at the leader)",
            size.nodes,
            "relays",
        ),
        ("change in force through relays", size.nodes_per_domain, ""),
    ):
        relayed = polls != size.nodes
        queue = polls * measured.poll.server + (ROUND_TRIP if relayed else 0.0)
        yield Row(
            role,
            name,
            "`voter_task.py`, `log_follower.py`, `log_application.py`",
            f"{1e3 * commit:.1f} ms to commit, {1e3 * measured.poll.server:.2f} "
            f"ms/poll, {1e3 * change.balancer:.1f} ms to apply",
            f"commit with an assumed round trip of {1e3 * ROUND_TRIP:.0f} ms + "
            f"{polls} polls one after the other + half a round trip"
            f"{' and one to the relay' if relayed else ''} + "
            f"{MIN_POLL_INTERVAL:.1f} s between polls + apply + next poll",
            commit
            + 2 * queue
            + ROUND_TRIP
            + MIN_POLL_INTERVAL
            + change.voter
            + change.balancer,
            "s",
            budget.in_force,
            carrier,
        )


def _storms(measured: Measurements, budget: Budget) -> Iterator[Row]:
    for storm in measured.storms:
        yield _storm_row(storm, budget)
    size = measured.target
    hour = 3_600.0
    rates = ordinary_day(size)
    backlog = daily(measured, "size") * hour
    yield Row(
        Role.WHOLE,
        "regions meet again: entries of an hour for each balancer that was cut off",
        "`tasks/voter_task.py`, `log_follower.py`",
        f"{daily(measured, 'size'):.0f} B/s of entries",
        f"{rates.total * hour:.0f} entries, {backlog / 1e3:.0f} KB before "
        f"compression, at {budget.rate:.0f} B/s; beyond "
        f"{LOG_KEPT_BEHIND_SNAPSHOT} kept entries a snapshot",
        seconds_to_send(backlog, budget.rate),
        "s",
        budget.in_force,
        "a rate above 3 KB/s after a cut, or a snapshot from the relay",
    )


def _storm_row(storm: Storm, budget: Budget) -> Row:
    seconds = seconds_to_send(storm.compressed, budget.rate)
    total = seconds + storm.voter + storm.balancer
    return Row(
        Role.WHOLE,
        storm.name,
        "`tasks/voter_task.py`, `log_application.py`",
        f"{storm.entries} entries with {storm.reports} reports, {storm.compressed} B "
        f"for each balancer ({storm.size} B before compression); applied in "
        f"{storm.voter:.2f} s at a voter and {storm.balancer:.2f} s at a balancer",
        f"{seconds:.1f} s at {budget.rate:.0f} B/s + apply",
        total,
        "s",
        budget.in_force,
        "one entry for the loss or return of a failure domain in place of one report "
        "for each backend server; reports without boot ids",
    )
