"""Scenarios in which a copy of an opening arrives late, or is not sent."""

from dataclasses import replace

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.case_parts import (
    ANSWERED,
    CONNECTIONS_DROPPED,
    COURSES,
    OTHERS,
    STEADY,
    TWO_PACKETS,
    caller,
    slow_server,
)
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble

DELAYED = LegQuality(jitter=0.5)
"""Packets overtake each other by more than the time to the next copy of an opening."""


CHANGING_LOAD = tuple(
    caller(0.1 + n / 10, flows=8, requests=3, pause=0.05) for n in range(4)
)
"""Callers whose flows end soon, so that the least used server changes."""


def latest(start: float) -> CallerPlan:
    """A caller that returns the tag of the latest answer."""
    return caller(start, requests=8, pause=0.1, tag_taken=TagTaken.LATEST)


LATE_COPY = Scenario(
    callers=(latest(1.0), *CHANGING_LOAD),
    servers=(ServerSettings(),) * 3,
    to_balancers=DELAYED,
    to_servers=STEADY,
    to_callers=STEADY,
    seed=45,
)
"""A copy of an opening arrives late, and its caller returns the latest tag."""


QUICKLY_CHANGING_LOAD = tuple(
    caller(0.1 + n / 20, flows=12, requests=2, pause=0.02) for n in range(10)
)


LATE_COPY_AFTER_PAUSE = replace(
    LATE_COPY,
    callers=(
        *(replace(latest(0.9 + n / 100), first_pause=3.2) for n in range(12)),
        *QUICKLY_CHANGING_LOAD,
    ),
    disturbances=(Disturbance(1.2, Trouble.SUSPEND_BALANCER, 0, 2.5),),
    seed=181,
)


LATE_COPY_AT_OTHER_BALANCER = replace(
    LATE_COPY, balancers=(BalancerSettings(),) * 2, moves=0.5, seed=75
)


COPY_WHILE_POOL_IS_EMPTY = Scenario(
    callers=tuple(caller(0.9 + n / 50, requests=4) for n in range(12)),
    servers=(ServerSettings(),),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=LegQuality(jitter=0.1),
    to_callers=LegQuality(delay=0.19),
    moves=0.5,
    disturbances=(Disturbance(1.0, Trouble.DRAIN_SERVER, 0),),
    to_servers=STEADY,
)
"""Copies of openings arrive after the only backend server has begun to leave."""


DELAYED_FIRST_COPY = replace(
    COPY_WHILE_POOL_IS_EMPTY,
    callers=tuple(caller(0.5 + n / 50, requests=4) for n in range(24)),
    to_balancers=DELAYED,
    to_callers=LegQuality(),
    seed=32,
)
"""A first copy is delayed on its way until the only backend server leaves."""
READ_LATE_WITHOUT_LISTENER = Scenario(
    callers=tuple(caller(0.9 + n / 50, requests=4) for n in range(12)),
    servers=(ServerSettings(),),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    moves=0.5,
    disturbances=(
        Disturbance(0.85, Trouble.SUSPEND_BALANCER, 1, 0.6),
        Disturbance(0.5, Trouble.LOSE_LISTENERS, 1, 2.0),
    ),
    seed=2,
)
"""A first copy waits at a paused balancer, and the second one opens the flow."""


OLD_VIEW = Scenario(
    callers=tuple(caller(2.6 + n / 10, requests=8) for n in range(24)),
    servers=(ServerSettings(), ServerSettings(starts_at=2.0)),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=DELAYED,
    moves=0.5,
    disturbances=(
        Disturbance(0.5, Trouble.DRAIN_SERVER, 0),
        Disturbance(1.0, Trouble.STALE_VIEW, 1, 6.0),
    ),
    seed=4,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer with an old view knows no backend server for new flows."""


OPENING_NOT_SENT = Scenario(
    callers=(
        caller(2.0),
        caller(0.52, TWO_PACKETS, requests=2, pause=3.0),
        caller(2.05, TWO_PACKETS),
        caller(2.18, TWO_PACKETS),
        *ANSWERED,
    ),
    servers=(slow_server(1.5), ServerSettings(slots=1), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(2.045, Trouble.FAIL_SENDING, 0, 0.015),
        Disturbance(2.245, Trouble.CUT_TO_BALANCERS, 0, 0.015),
    ),
)
"""A balancer can't send an opening, and its second copy is lost."""


OPENING_WAITS_FOR_LINK = Scenario(
    callers=(
        caller(2.0),
        caller(0.45, TWO_PACKETS, requests=2, pause=3.0),
        caller(2.15),
        *(caller(0.3, first_pause=1.84, service=COURSES),) * 8,
    ),
    servers=(slow_server(1.5), ServerSettings(slots=1), *OTHERS),
    balancers=(BalancerSettings(link_megabits=0.1),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(2.195, Trouble.CUT_TO_BALANCERS, 0, 0.02),
    ),
)
"""An opening and its copy wait for the link."""


ANSWERS_LOST = Scenario(
    callers=tuple(latest(0.9 + n / 50) for n in range(12)),
    servers=(ServerSettings(service_time=0.3, slots=20),) * 3,
    balancers=(BalancerSettings(),) * 2,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=LegQuality(loss=0.1),
    moves=0.2,
    seed=11,
)
"""Answers to openings are lost, and some flows move to another balancer."""


SERVER_ANSWERS_LATE = Scenario(
    callers=tuple(latest(0.9 + n / 50) for n in range(12)),
    servers=(ServerSettings(service_time=0.3),) * 3,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(Disturbance(0.89, Trouble.PAUSE_SERVER, 0, 0.8),),
)
"""A backend server answers openings after their copies opened the flows elsewhere."""
