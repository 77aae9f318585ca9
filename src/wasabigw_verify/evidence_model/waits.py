"""How long callers of dead backend servers wait until their flows end."""

import random
from statistics import fmean

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings
from wasabigw_verify.evidence_model.callers import CallerPlan
from wasabigw_verify.evidence_model.runs import run
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble

DEATHS = (
    Trouble.SILENCE_HOST,
    Trouble.KILL_SERVER,
    Trouble.RESET_BY_HOST,
    Trouble.RESTART_SAME_ID,
    Trouble.RESTART_NEW_ID,
)


def death_of_a_server(trouble: Trouble, seed: int) -> Scenario:
    """One of three backend servers dies while callers use their flows."""
    draws = random.Random(f"{seed} {trouble.name}")
    callers = tuple(
        CallerPlan(
            start=0.1 + draws.random(),
            flows=4,
            requests=8,
            pause=draws.choice([0.05, 0.2, 0.5]),
        )
        for _ in range(draws.randrange(2, 20))
    )
    balancers = (BalancerSettings(),) * draws.randrange(1, 4)
    at = 1.5 + draws.random()
    servers = (ServerSettings(),) * 3
    death = Disturbance(at, trouble, draws.randrange(3))
    return Scenario(
        callers, servers, balancers, disturbances=(death,), seed=seed, length=10.0
    )


def run_deaths(runs: int, seed: int) -> str:
    """Table of the waits of callers, for each manner of death."""
    lines = [
        "| death | callers | mean wait | 90% | longest | still wait |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for trouble in DEATHS:
        waits: list[float] = []
        waiting = 0
        for number in range(runs):
            outcome = run(death_of_a_server(trouble, seed + number))
            waits += [f.waited for f in outcome.freed if f.waited is not None]
            waiting += sum(f.waited is None for f in outcome.freed)
        lines.append(_row(trouble, sorted(waits), waiting))
    return "\n".join(lines)


def _row(trouble: Trouble, waits: list[float], waiting: int) -> str:
    if not waits:
        return f"| {trouble.value} | {waiting} | | | | {waiting} |"
    most = waits[int(0.9 * (len(waits) - 1))]
    return (
        f"| {trouble.value} | {len(waits) + waiting} | {fmean(waits):.2f} s "
        f"| {most:.2f} s | {waits[-1]:.2f} s | {waiting} |"
    )
