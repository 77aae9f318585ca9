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
    seconds_to_send,
)
from wasabigw_measure._capacity_run import Measurements


def balancer_memory_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for the memory of a balancer."""
    target, state = measured.target, measured.state
    role = Role.BALANCER
    replicated_state = state_bytes(measured)
    yield Row(
        role,
        "replicated state",
        "`core/cluster.py`, owned by `PacketTask`",
        f"{state.service:.0f} B/service, {state.server:.0f} B/backend server, "
        f"{state.node:.0f} B/node, {state.request:.0f} B/request id",
        f"{target.services} services + {target.backend_servers} backend servers + "
        f"{target.nodes} nodes + {MAX_STORED_REQUESTS} request ids",
        replicated_state / 1e6,
        "MB",
        budget.memory / 1e6,
    )
    derived_tables = (
        target.services * state.derived_service
        + target.backend_servers * state.derived_server
        + target.nodes * state.derived_node
    )
    yield Row(
        role,
        "tables derived from it",
        "`core/flows/routes.py`, `homes.py`, `core/backend_home.py`",
        f"{state.derived_service:.0f} B/service, {state.derived_server:.0f} B/backend "
        f"server, {state.derived_node:.0f} B/node",
        "as above",
        derived_tables / 1e6,
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
        (replicated_state + derived_tables + measured.process) / 1e6,
        "MB",
        budget.memory / 1e6,
        "bucket tables as arrays of indexes",
    )
    peak = measured.snapshot_line(lambda s: s.decode_peak)
    snapshot_bytes = peak.at(target.services)
    yield Row(
        role,
        "the same while a snapshot is decoded",
        "`tasks/control_client.py`, `codec/messages.py`",
        f"{peak.slope:.0f} B/service",
        "peak of decoding (with the new state) + derived tables + process",
        (snapshot_bytes + derived_tables + measured.process) / 1e6,
        "MB",
        budget.memory / 1e6,
        "snapshot in parts",
    )
    yield Row(
        role,
        "bucket candidates on an ordinary day",
        "`core/buckets.py`",
        f"{state.candidate:.0f} B/candidate",
        "starts/s x 512 moved buckets x 310 s",
        ordinary_day_rates(target).up * 512 * 310 * state.candidate / 1e6,
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
        f"{target.flows} flows / {target.nodes} nodes x 2 copies (home and backup), "
        f"and a full cache of {RECORD_LIMIT} bindings",
        (2 * target.flows / target.nodes * flows.record + RECORD_LIMIT * flows.cached)
        / 1e6,
        "MB",
    )


def balancer_cpu_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for the processor time that a balancer spends on control."""
    target, role = measured.target, Role.BALANCER
    servers = target.backend_servers
    limit = 100 * budget.cpu
    poll_cost = measured.poll.client / LOG_POLL_WAIT
    yield Row(
        role,
        "log polls",
        "`tasks/log_follower.py`, `control_client.py`",
        f"{1e3 * measured.poll.client:.2f} ms/poll",
        f"{1 / LOG_POLL_WAIT:.0f} polls/s",
        100 * poll_cost,
        "% of a core",
        limit,
    )
    announcement_cost = (
        measured.announcement.server * target.servers_per_node / ANNOUNCE_INTERVAL
    )
    yield Row(
        role,
        "announcements at the home",
        "`tasks/http_balancer.py`, `core/backend_home.py`",
        f"{1e3 * measured.announcement.server:.2f} ms/announcement",
        f"{target.servers_per_node:.1f} backend servers/home, one each second",
        100 * announcement_cost,
        "% of a core",
        limit,
        "announcements over a cheaper front end than cherrypy",
    )
    daily_entry_cost = ordinary_day_cost(measured, "balancer")
    rates = ordinary_day_rates(target)
    yield Row(
        role,
        "log entries of an ordinary day",
        "`tasks/log_application.py`, `core/apply.py`",
        describe_entry_costs(measured, "balancer"),
        f"{rates.total:.2f} entries/s",
        100 * daily_entry_cost,
        "% of a core",
        limit,
        "tables brought up to date by what an entry changed, not by a look at all",
    )
    tick = max(0.0, measured.line(lambda s: s.tick).at(servers))
    ping = max(0.0, measured.line(lambda s: s.ping).at(servers))
    tick_cost = tick / MAINTENANCE_PERIOD + ping / PING_PERIOD
    yield Row(
        role,
        "upkeep and pings",
        "`core/flows/maintenance.py`, `core/reachability.py`",
        f"{1e3 * tick:.2f} ms/upkeep tick, {1e3 * ping:.2f} ms/ping tick at the target",
        f"{1 / MAINTENANCE_PERIOD:.0f} upkeep ticks/s, "
        f"{1 / PING_PERIOD:.0f} ping tick/s",
        100 * tick_cost,
        "% of a core",
        limit,
    )
    yield Row(
        role,
        "processor time for control, total",
        "",
        "",
        "sum of the four rows above",
        100 * (poll_cost + announcement_cost + daily_entry_cost + tick_cost),
        "% of a core",
        limit,
        "announcements over a cheaper front end than cherrypy",
    )
    load = measured.line(lambda s: s.load).at(servers)
    decode = measured.snapshot_line(lambda s: s.decode).at(target.services)
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


def balancer_traffic_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    """Rows for the control traffic of a balancer."""
    target, role = measured.target, Role.BALANCER
    poll_rate = measured.poll.total / LOG_POLL_WAIT
    yield Row(
        role,
        "log polls",
        "`tasks/log_follower.py`, HTTP/JSON",
        f"{measured.poll.sent:.0f} B sent, {measured.poll.received:.0f} B received, "
        "with HTTP, TCP and IP",
        f"{1 / LOG_POLL_WAIT:.0f} polls/s",
        poll_rate,
        "B/s",
        budget.rate,
    )
    announcement_rate = (
        measured.announcement.total * target.servers_per_node / ANNOUNCE_INTERVAL
    )
    yield Row(
        role,
        "announcements at the home",
        "`tasks/http_balancer.py`, HTTP/JSON",
        f"{measured.announcement.sent:.0f} B in, "
        f"{measured.announcement.received:.0f} B out, with HTTP, TCP and IP",
        f"{target.servers_per_node:.1f} backend servers/home, one each second",
        announcement_rate,
        "B/s",
        budget.rate,
        "longer renewal interval and lease for servers of large services; backend "
        "servers speak plain HTTP, so the headers stay",
    )
    ping_rate = 4 * (target.failure_domains - 1) * measured.ping / PING_PERIOD
    yield Row(
        role,
        "pings between failure domains",
        "`core/reachability.py`, `tasks/ping_frames.py`",
        f"{measured.ping} B/frame with UDP and IP",
        f"{target.failure_domains - 1} other failure domains, a ping and a reply in "
        "each direction",
        ping_rate,
        "B/s",
        budget.rate,
        "one ping in several seconds for each balancer, shared by the balancers of a "
        "failure domain",
    )
    binding_rate = BINDING_RATE * measured.binding
    yield Row(
        role,
        "BINDING frames, at the limit",
        "`core/flows/sending.py`",
        f"{measured.binding} B/frame with UDP and IP",
        f"{BINDING_RATE:.0f} frames/s, the limit in `core/flows/state.py`",
        binding_rate,
        "B/s",
        budget.rate,
    )
    entry_rate = ordinary_day_cost(measured, "size")
    yield Row(
        role,
        "log entries of an ordinary day",
        "`tasks/log_follower.py`",
        "; ".join(
            f"{kind} {entry_cost(measured, kind).size:.0f} B"
            for kind in ENTRY_KINDS.values()
        ),
        f"{ordinary_day_rates(target).total:.2f} entries/s",
        entry_rate,
        "B/s",
        budget.rate,
    )
    rates = ordinary_day_rates(target)
    report_rate = (rates.total - rates.change) / target.nodes * measured.report.total
    yield Row(
        role,
        "reports",
        "`tasks/report_sender.py`",
        f"{measured.report.total:.0f} B/report",
        "reports of an ordinary day / nodes",
        report_rate,
        "B/s",
        budget.rate,
    )
    yield Row(
        role,
        "bytes for control in both directions, total",
        "",
        "",
        "sum of the six rows above",
        poll_rate
        + announcement_rate
        + ping_rate
        + binding_rate
        + entry_rate
        + report_rate,
        "B/s",
        budget.rate,
        "announcements and pings, see above",
    )
    snapshot = measured.snapshot_line(lambda s: s.size)
    compressed_size = measured.snapshot_line(lambda s: s.compressed)
    snapshot_bytes = compressed_size.at(target.services)
    yield Row(
        role,
        "start: a snapshot at the rate of the budget",
        "`tasks/voter_task.py`, `codec/messages.py`",
        f"{compressed_size.slope:.0f} B/service compressed, "
        f"{snapshot.slope:.0f} B/service plain",
        f"{snapshot_bytes / 1e6:.2f} MB at {budget.rate:.0f} B/s; "
        f"{snapshot.at(target.services) / 1e6:.1f} MB before compression",
        seconds_to_send(snapshot_bytes, budget.rate),
        "s",
        budget.in_force,
        "snapshot in parts from the relay of the own failure domain at a higher rate; "
        "bucket tables computed anew where no bucket has a former candidate",
    )
    starts = (target.lost_vms + target.restarted_vms) / DAY * (1 - target.server_share)
    yield Row(
        role,
        "snapshots on an ordinary day, mean",
        "as above",
        f"{compressed_size.slope:.0f} B/service compressed",
        f"{starts * DAY / target.nodes:.2f} starts of a node/day",
        starts / target.nodes * snapshot_bytes,
        "B/s",
        budget.rate,
    )
