"""The scenarios, each with a short bound for CI and a long one for runs by hand."""

from dataclasses import replace

from wasabigw_verify.log_check.faults import Budget, FaultKinds
from wasabigw_verify.log_check.scenario import A, B, C, D, E, Scenario
from wasabigw_verify.log_check.steps import (
    Propose,
    ReplaceDisk,
    ScriptedStep,
    Start,
    Stop,
)

_SEEDS = (A, B, C)
_CHANGE_AT = 8
"""Tick at which the first change of the script is made; a leader is elected by then."""
_LEFT_ALONE = 40
"""Ticks after which the script goes on; longer than an admission and a removal take."""
_CRASH = FaultKinds(downs=(0, 9), cuts=(5,), delays=(0, 6))
_ONE_OUTAGE = Budget(outages=1)

SUCCESSOR = Scenario(
    "a successor takes the place of a voter that is stopped",
    orders=((A, B, C, D),),
    seeds=_SEEDS,
    target_voters=3,
    started=_SEEDS,
    script=(
        ScriptedStep(_CHANGE_AT, Propose()),
        ScriptedStep(_CHANGE_AT, Stop(C)),
        ScriptedStep(_CHANGE_AT, Start(D)),
    ),
    budget=_ONE_OUTAGE,
    kinds=_CRASH,
)
REPLACED_DISK = Scenario(
    "a voter gets an empty disk",
    orders=((A, B, C),),
    seeds=_SEEDS,
    target_voters=3,
    started=_SEEDS,
    script=(
        ScriptedStep(_CHANGE_AT, Propose()),
        ScriptedStep(_CHANGE_AT, ReplaceDisk(C)),
    ),
    budget=_ONE_OUTAGE,
    kinds=_CRASH,
)
FIXED_VOTERS = replace(
    REPLACED_DISK, name="a fixed voter gets an empty disk", target_voters=None
)
RETURN = Scenario(
    "a removed voter returns while its successor is up",
    orders=((A, B, C, D),),
    seeds=_SEEDS,
    target_voters=3,
    started=_SEEDS,
    script=(
        ScriptedStep(_CHANGE_AT, Stop(C)),
        ScriptedStep(_CHANGE_AT, Start(D)),
        ScriptedStep(_CHANGE_AT + _LEFT_ALONE, Start(C)),
    ),
    budget=_ONE_OUTAGE,
    kinds=_CRASH,
)
POWER_LOSS = Scenario(
    "five voters, three of them seeds, lose power and the tolerated disks",
    orders=((A, B, C, D, E),),
    seeds=_SEEDS,
    target_voters=5,
    started=(A, B, C, D, E),
    script=(ScriptedStep(_CHANGE_AT, Propose()),),
    budget=_ONE_OUTAGE,
    kinds=FaultKinds(may_lose_power=True),
)

SHORT = (SUCCESSOR, REPLACED_DISK, POWER_LOSS)
"""Explored in CI."""

_ORDERS_OF_FOUR = ((A, B, C, D), (B, A, D, C), (C, A, B, D))
_ORDERS_OF_FIVE = ((A, B, C, D, E), (E, D, C, B, A), (C, D, A, E, B))
_LONG_KINDS = FaultKinds(
    downs=(0, 9, None), cuts=(5, 10), delays=(0, 2, 6), may_lose_power=True
)
_WITH_MESSAGE = Budget(outages=1, messages=1)
_WITH_TIMER_AND_SNAPSHOT = Budget(outages=1, timers=1, snapshots=1)

LONG = (
    *(
        replace(found, orders=_ORDERS_OF_FOUR, budget=budget, kinds=_LONG_KINDS)
        for found in (SUCCESSOR, RETURN)
        for budget in (_WITH_MESSAGE, _WITH_TIMER_AND_SNAPSHOT)
    ),
    *(
        replace(found, budget=budget, kinds=_LONG_KINDS)
        for found in (REPLACED_DISK, FIXED_VOTERS)
        for budget in (_WITH_MESSAGE, _WITH_TIMER_AND_SNAPSHOT, Budget(outages=2))
    ),
    replace(
        POWER_LOSS,
        orders=_ORDERS_OF_FIVE,
        budget=Budget(outages=1, snapshots=1),
    ),
    replace(POWER_LOSS, budget=Budget(outages=2)),
    replace(POWER_LOSS, budget=_ONE_OUTAGE, kinds=_LONG_KINDS),
)
"""Explored by hand."""
