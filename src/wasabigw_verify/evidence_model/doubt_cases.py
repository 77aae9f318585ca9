"""Scenarios in which a balancer doubts a live backend server, or might."""

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.case_parts import (
    ANSWERED,
    ANSWERED_BEFORE,
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
from wasabigw_verify.evidence_model.transport import Acknowledging

RESPONSE_SINCE = Scenario(
    callers=(caller(1.0), caller(0.3, TWO_PACKETS, requests=2, pause=3.0), *ANSWERED),
    servers=(slow_server(0.8), *OTHERS),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds on another flow after the data that is sent again."""


PAUSED_WITH_COPIES = Scenario(
    callers=(caller(0.1, first_pause=0.9), *ANSWERED_BEFORE),
    servers=(slow_server(0.8), *OTHERS),
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(0.9, Trouble.SUSPEND_BALANCER, 0, 0.35),
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer that was paused finds data and its copy in its receive buffer."""


def _waits_for_link(ahead: int, to_callers: float) -> Scenario:
    """A packet of data waits for the link, behind those of other flows.

    :param ahead: flows with a packet that waits.
    :param to_callers: seconds that packets take to callers.
    """
    others = (caller(0.3, first_pause=2.7, service=COURSES),) * ahead
    return Scenario(
        callers=(caller(0.1, first_pause=2.9), *others),
        servers=(
            slow_server(0.8, acknowledging=Acknowledging.EACH),
            *OTHERS,
        ),
        balancers=(BalancerSettings(link_megabits=0.1),),
        to_callers=LegQuality(delay=to_callers),
        disturbances=(CONNECTIONS_DROPPED,),
        to_balancers=STEADY,
        to_servers=STEADY,
    )


DATA_WAITS_FOR_LINK = _waits_for_link(8, 0.002)


RELEASED_BEFORE_COPY = _waits_for_link(3, 0.06)
"""Data is released shortly before its copy arrives."""


SENDING_FAILED = Scenario(
    callers=(caller(0.1, first_pause=0.9), *ANSWERED),
    servers=(slow_server(0.8, acknowledging=Acknowledging.EACH), *OTHERS),
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(0.95, Trouble.FAIL_SENDING, 0, 0.15),
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)


UPLOAD_PROGRESSES = Scenario(
    callers=(
        caller(1.0),
        caller(0.4, Workload(60_000, 600), first_pause=0.65),
        *ANSWERED,
    ),
    servers=(slow_server(1.5), *OTHERS),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Only the progress of an upload shows that the server is alive."""


OPENING_IGNORED_DURING_CHECK = Scenario(
    callers=(
        caller(1.0),
        caller(0.35, TWO_PACKETS, requests=2, pause=3.0),
        caller(1.15),
        *ANSWERED,
    ),
    servers=(slow_server(0.75, max_flows=2), ServerSettings(slots=1), *OTHERS),
    disturbances=(CONNECTIONS_DROPPED,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A server that holds all the flows that it may ignores an opening."""


SERVER_CHANGED = Scenario(
    callers=(
        caller(0.1, first_pause=0.95),
        *(caller(1.03, requests=8) for _ in range(6)),
        *(caller(0.1, requests=60, pause=0.05) for _ in range(4)),
    ),
    servers=(ServerSettings(),) * 3,
    balancers=(BalancerSettings(),) * 2,
    moves=0.5,
    disturbances=(Disturbance(1.0, Trouble.SILENCE_HOST, 0),),
    seed=4,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Copies of openings to a lost host are accepted elsewhere, by another balancer."""


HOST_IS_BACK = Scenario(
    callers=(
        caller(0.1, first_pause=1.0),
        caller(5.0, requests=40, pause=0.1),
        *(caller(0.1, requests=30, pause=0.05, service=COURSES),) * 2,
    ),
    servers=(slow_server(0.01), *OTHERS),
    balancers=(BalancerSettings(),) * 2,
    disturbances=(
        Disturbance(1.0, Trouble.FREEZE_HOST, 0, 1.2),
        Disturbance(6.4, Trouble.STOP_BALANCER, 1),
    ),
    seed=6,
    length=10.0,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A host was unreachable, and a flow to it moves to the balancer that found this."""
