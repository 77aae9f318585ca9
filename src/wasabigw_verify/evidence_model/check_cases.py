"""Scenarios in which the host of a live backend server is checked."""

from dataclasses import replace

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings
from wasabigw_verify.evidence_model.case_parts import (
    ALWAYS,
    ANSWERED,
    CONNECTIONS_DROPPED,
    COURSES,
    OTHERS,
    STEADY,
    TWO_PACKETS,
    caller,
    slow_server,
)
from wasabigw_verify.evidence_model.moments import Moment
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble


def _paused_during_check(moment: Moment, after: float, seconds: float) -> Scenario:
    """A balancer is paused during a check, until long after the host is back."""
    return Scenario(
        callers=(
            caller(0.1, first_pause=1.0, requests=40, pause=0.2),
            *(caller(0.1, requests=30, pause=0.05, service=COURSES),) * 2,
        ),
        servers=(slow_server(0.01), *OTHERS),
        balancers=(BalancerSettings(),) * 2,
        disturbances=(
            Disturbance(1.0, Trouble.FREEZE_HOST, 0, 1.8),
            Disturbance(
                0.0, Trouble.SUSPEND_BALANCER, 0, seconds, moment=moment, after=after
            ),
        ),
        seed=1,
        length=9.0,
        to_balancers=STEADY,
        to_servers=STEADY,
        to_callers=STEADY,
    )


PAUSED_BEFORE_EVALUATION = _paused_during_check(Moment.CHECK_REQUESTED, 0.3, 6.3)


PAUSED_BEFORE_RESULT = _paused_during_check(Moment.CHECK_ENDED, 0.0, 6.2)


SERVER_IS_SLOW = Scenario(
    callers=(caller(1.0), *ANSWERED),
    servers=(slow_server(0.8), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A request that waits is sent again, and the host accepts connections."""


NO_LOCAL_PORT = Scenario(
    callers=(caller(1.0), *ANSWERED),
    servers=(replace(slow_server(0.8), is_firewalled=True), *OTHERS),
    disturbances=(Disturbance(0.0, Trouble.FAIL_CONNECTING, 0, ALWAYS),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)


OTHER_SERVICE_ACCEPTS = Scenario(
    callers=(caller(1.0), *ANSWERED),
    servers=(slow_server(0.8, accepts_connections=False), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Backend servers of one service accept no connections, those of another do."""


DRAINING_REFUSES = Scenario(
    callers=(
        caller(0.1, first_pause=1.1),
        *(caller(0.7, requests=60, pause=0.05),) * 4,
    ),
    servers=(
        slow_server(0.8, slots=1),
        *(ServerSettings(slots=100, starts_at=0.2),) * 2,
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(Disturbance(1.0, Trouble.REFUSE_AND_DRAIN, 0, 0.35),),
)


CUT_OFF = Scenario(
    callers=(caller(0.1, first_pause=0.9), *ANSWERED),
    servers=(slow_server(0.8), *OTHERS),
    disturbances=(Disturbance(1.1, Trouble.CUT_TO_HOSTS, 0, 0.9),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer is cut off from all hosts."""


REFERENCE_IS_SILENT = Scenario(
    callers=(caller(1.0), *ANSWERED),
    servers=(slow_server(0.8), *OTHERS),
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(0.0, Trouble.DROP_CONNECTIONS, 1, ALWAYS),
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)


DROPPED_LATER = Scenario(
    callers=(caller(1.0), caller(1.45), *ANSWERED),
    servers=(slow_server(1.5), *OTHERS),
    disturbances=(Disturbance(1.5, Trouble.DROP_CONNECTIONS, 0, 0.6),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Connections are dropped between two checks."""


OLD_REFERENCES = Scenario(
    callers=(
        caller(1.0),
        *(caller(0.1, requests=3, pause=0.05, service=COURSES),) * 2,
    ),
    servers=(slow_server(0.8), *OTHERS),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""No other host has answered since the doubted one."""


DOUBTED_REFERENCE = Scenario(
    callers=(caller(1.0, first_pause=0.15), caller(1.1, service=COURSES)),
    servers=(slow_server(1.5), slow_server(1.5, service=COURSES)),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)


RESPONSE_BEFORE_CHECK = Scenario(
    callers=(
        caller(1.0),
        caller(0.394, TWO_PACKETS, requests=2, pause=3.0),
        *ANSWERED,
    ),
    servers=(slow_server(0.8), *OTHERS),
    balancers=(BalancerSettings(packet_time=0.005),),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds after a check was requested and before it begins."""


RESPONSE_DURING_CHECK = Scenario(
    callers=(
        caller(1.3),
        caller(0.25, TWO_PACKETS, requests=2, pause=3.0),
        caller(0.1, first_pause=1.47),
        *ANSWERED,
    ),
    servers=(slow_server(1.3), *OTHERS),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds while it is checked, and is doubted again."""


HOST_IS_LOST = Scenario(
    callers=tuple(caller(0.1, requests=60, pause=0.1) for _ in range(9)),
    servers=(ServerSettings(),) * 3,
    disturbances=(Disturbance(1.0, Trouble.SILENCE_HOST, 0),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)


TWO_CHECKS = Scenario(
    callers=(caller(1.0), caller(0.1, first_pause=1.0), *ANSWERED),
    servers=(slow_server(2.5), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(1.15, Trouble.FAIL_CONNECTING, 0, 0.1),
        Disturbance(1.21, Trouble.SUSPEND_BALANCER, 0, 1.09),
    ),
)
"""A balancer is paused while a check can't tell, and doubts the host again."""


def _many_checks(last: int) -> Scenario:
    """Nine servers are doubted at once.

    :param last: number of the one that is doubted last.
    """
    failing = (
        Disturbance(0.0, Trouble.FAIL_CONNECTING, 0, ALWAYS, host=number)
        for number in range(9)
        if number != last
    )
    return Scenario(
        callers=(*(caller(1.0),) * 8, caller(1.05), *ANSWERED),
        servers=(*(slow_server(0.8, slots=4),) * 9, *OTHERS),
        to_balancers=STEADY,
        to_servers=STEADY,
        to_callers=STEADY,
        disturbances=(
            Disturbance(0.0, Trouble.DROP_CONNECTIONS, last, ALWAYS),
            *failing,
        ),
    )


MANY_CHECKS = _many_checks(5)
