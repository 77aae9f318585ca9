"""Rows of the capacity page for balancers."""

from collections.abc import Iterator

from wasabigw.core.flows.records import RECORD_LIMIT
from wasabigw.core.flows.state import BINDING_RATE
from wasabigw.core.timing import (
    ANNOUNCE_INTERVAL,
    LOG_POLL_WAIT,
    MAX_STORED_REQUESTS,
)
from wasabigw.tasks.packet_task import MAINTENANCE_PERIOD, PING_PERIOD
from wasabigw_measure._capacity_costs import (
    ENTRY_KINDS,
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
    seconds_to_send,
)
from wasabigw_measure._capacity_run import Measurements


def balancer_memory(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Memory of a balancer."""
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
        f"{size.nodes} nodes + {MAX_STORED_REQUESTS} request ids",
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


def balancer_cpu(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Processor time of a balancer."""
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
        entry_slopes(measured, "balancer"),
        f"{rates.total:.2f} entries/s",
        100 * entries,
        "% of a core",
        limit,
        "tables brought up to date by what an entry changed, not by a look at all",
    )
    tick = max(0.0, measured.line(lambda s: s.tick).at(servers))
    ping = max(0.0, measured.line(lambda s: s.ping).at(servers))
    ticks = tick / MAINTENANCE_PERIOD + ping / PING_PERIOD
    yield Row(
        role,
        "upkeep and pings",
        "`core/flows/maintenance.py`, `core/reachability.py`",
        f"{1e3 * tick:.2f} ms/upkeep tick, {1e3 * ping:.2f} ms/ping tick at the target",
        f"{1 / MAINTENANCE_PERIOD:.0f} upkeep ticks/s, "
        f"{1 / PING_PERIOD:.0f} ping tick/s",
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


def balancer_bytes(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Bytes that a balancer sends and receives for control."""
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
