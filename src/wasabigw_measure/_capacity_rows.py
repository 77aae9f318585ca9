"""Rows of the capacity page from the measurements."""

from collections.abc import Iterator

from wasabigw.core.timing import (
    LOG_KEPT_BEHIND_SNAPSHOT,
)
from wasabigw.tasks.log_follower import MIN_POLL_INTERVAL
from wasabigw_measure._capacity_balancer_rows import (
    balancer_bytes,
    balancer_cpu,
    balancer_memory,
)
from wasabigw_measure._capacity_control_rows import follower, leader, relay
from wasabigw_measure._capacity_costs import (
    ENTRY_KINDS,
    ROUND_TRIP,
    VOTERS,
    daily,
    entry_cost,
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
from wasabigw_measure._capacity_storms import Storm


def rows(measured: Measurements, budget: Budget) -> list[Row]:
    """All rows, by role."""
    return [
        *balancer_memory(measured, budget),
        *balancer_cpu(measured, budget),
        *balancer_bytes(measured, budget),
        *leader(measured, budget),
        *follower(measured, budget),
        *relay(measured, budget),
        *_whole(measured, budget),
        *_storms(measured, budget),
    ]


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
