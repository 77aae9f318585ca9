"""Rows of the capacity page."""

from collections.abc import Iterator

from wasabigw.core.timing import (
    LOG_KEPT_BEHIND_SNAPSHOT,
)
from wasabigw.tasks.log_follower import MIN_POLL_INTERVAL
from wasabigw_measure._capacity_balancer_rows import (
    balancer_cpu_rows,
    balancer_memory_rows,
    balancer_traffic_rows,
)
from wasabigw_measure._capacity_control_rows import (
    follower_rows,
    leader_rows,
    relay_rows,
)
from wasabigw_measure._capacity_costs import (
    ENTRY_KINDS,
    ROUND_TRIP,
    VOTERS,
    entry_cost,
    ordinary_day_cost,
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
from wasabigw_measure._capacity_storms import Storm


def make_rows(measured: Measurements, budget: Budget) -> list[Row]:
    """Compute all rows from the measurements, grouped by role."""
    return [
        *balancer_memory_rows(measured, budget),
        *balancer_cpu_rows(measured, budget),
        *balancer_traffic_rows(measured, budget),
        *leader_rows(measured, budget),
        *follower_rows(measured, budget),
        *relay_rows(measured, budget),
        *_system_rows(measured, budget),
        *_storm_rows(measured, budget),
    ]


def _system_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    target, role = measured.target, Role.WHOLE
    yield Row(
        role,
        "VMs set aside for control",
        "voters and relays",
        "",
        f"{VOTERS} voters + {target.failure_domains} relays",
        float(VOTERS + target.failure_domains),
        "VMs",
        float(budget.dedicated_vms),
    )
    rates = ordinary_day_rates(target)
    yield Row(
        role,
        "log entries on an ordinary day",
        "`tasks/report_sender.py`, `voter_task.py`",
        "up to one entry for each report",
        f"{target.lost_vms} losses, {target.restarted_vms} restarts, "
        f"{target.changes_per_day} changes",
        rates.total * DAY,
        "entries",
    )
    change_cost = entry_cost(measured, ENTRY_KINDS["change"])
    commit_delay = 2 * measured.append.one + ROUND_TRIP
    for name, poll_count, carrier in (
        (
            "change in force (as built, all balancers at the leader)",
            target.nodes,
            "relays",
        ),
        ("change in force through relays", target.nodes_per_domain, ""),
    ):
        through_relays = poll_count != target.nodes
        queue_delay = poll_count * measured.poll.server + (
            ROUND_TRIP if through_relays else 0.0
        )
        yield Row(
            role,
            name,
            "`voter_task.py`, `log_follower.py`, `log_application.py`",
            f"{1e3 * commit_delay:.1f} ms to commit, {1e3 * measured.poll.server:.2f} "
            f"ms/poll, {1e3 * change_cost.balancer:.1f} ms to apply",
            f"commit with an assumed round trip of {1e3 * ROUND_TRIP:.0f} ms + "
            f"{poll_count} polls one after the other + half a round trip"
            f"{' and one to the relay' if through_relays else ''} + "
            f"{MIN_POLL_INTERVAL:.1f} s between polls + apply + next poll",
            commit_delay
            + 2 * queue_delay
            + ROUND_TRIP
            + MIN_POLL_INTERVAL
            + change_cost.voter
            + change_cost.balancer,
            "s",
            budget.in_force,
            carrier,
        )


def _storm_rows(measured: Measurements, budget: Budget) -> Iterator[Row]:
    for storm in measured.storms:
        yield _storm_row(storm, budget)
    target = measured.target
    hour = 3_600.0
    rates = ordinary_day_rates(target)
    backlog_bytes = ordinary_day_cost(measured, "size") * hour
    yield Row(
        Role.WHOLE,
        "regions meet again: entries of an hour for each balancer that was cut off",
        "`tasks/voter_task.py`, `log_follower.py`",
        f"{ordinary_day_cost(measured, 'size'):.0f} B/s of entries",
        f"{rates.total * hour:.0f} entries, {backlog_bytes / 1e3:.0f} KB before "
        f"compression, at {budget.rate:.0f} B/s; beyond "
        f"{LOG_KEPT_BEHIND_SNAPSHOT} kept entries a snapshot",
        seconds_to_send(backlog_bytes, budget.rate),
        "s",
        budget.in_force,
        "a rate above 3 KB/s after a cut, or a snapshot from the relay",
    )


def _storm_row(storm: Storm, budget: Budget) -> Row:
    transfer_time = seconds_to_send(storm.compressed, budget.rate)
    total = transfer_time + storm.voter + storm.balancer
    return Row(
        Role.WHOLE,
        storm.name,
        "`tasks/voter_task.py`, `log_application.py`",
        f"{storm.entries} entries with {storm.reports} reports, {storm.compressed} B "
        f"for each balancer ({storm.size} B before compression); applied in "
        f"{storm.voter:.2f} s at a voter and {storm.balancer:.2f} s at a balancer",
        f"{transfer_time:.1f} s at {budget.rate:.0f} B/s + apply",
        total,
        "s",
        budget.in_force,
        "one entry for the loss or return of a failure domain in place of one report "
        "for each backend server; reports without boot ids",
    )
