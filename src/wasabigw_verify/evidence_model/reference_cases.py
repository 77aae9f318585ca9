"""Scenarios in which the references of a check tell that nothing is known."""

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
    caller,
    slow_server,
)
from wasabigw_verify.evidence_model.check_cases import DRAINING_REFUSES
from wasabigw_verify.evidence_model.deployment import DOMAINS
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble


def _reference(domain: int) -> ServerSettings:
    return ServerSettings(failure_domain=DOMAINS[domain], service=COURSES)


NEAR, FAR = _reference(0), _reference(1)
ELSEWHERE = (BalancerSettings(failure_domain=DOMAINS[2]),)
"""A balancer in a failure domain without backend servers, which uses all others."""
QUEUE_IS_FULL = Scenario(
    callers=(caller(1.0), *ANSWERED),
    servers=(slow_server(0.8), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(Disturbance(0.0, Trouble.FULL_QUEUE, 0, ALWAYS),),
)
"""A live host drops connections, as too many wait to be accepted."""
ONE_SILENT_ELSEWHERE = replace(
    QUEUE_IS_FULL,
    servers=(slow_server(0.8), FAR, FAR),
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(0.0, Trouble.DROP_CONNECTIONS, 1, ALWAYS),
    ),
)
NEAR_IS_LOSSY = replace(
    QUEUE_IS_FULL,
    callers=(caller(1.0), *ANSWERED, *ANSWERED),
    servers=(slow_server(0.8), NEAR, FAR),
    balancers=ELSEWHERE,
    disturbances=(
        CONNECTIONS_DROPPED,
        Disturbance(1.3, Trouble.DROP_CONNECTIONS, 1, ALWAYS),
    ),
)
"""A reference in the failure domain responds to some attempts."""
DOMAIN_REJECTS = replace(
    QUEUE_IS_FULL,
    callers=(
        caller(0.1, first_pause=0.9),
        *(caller(0.3, requests=60, pause=0.05),) * 8,
    ),
    servers=(
        slow_server(0.8, slots=1),
        ServerSettings(slots=100, starts_at=0.2),
        ServerSettings(slots=100, starts_at=0.2, failure_domain=DOMAINS[1]),
    ),
    balancers=ELSEWHERE,
    disturbances=(Disturbance(0.0, Trouble.REJECT_CONNECTIONS, 0, ALWAYS),),
)
"""Connections to a failure domain are rejected, and its servers answer callers."""
DOMAIN_OF_OTHER_SERVICE_REJECTS = replace(
    QUEUE_IS_FULL,
    callers=(caller(1.0), *ANSWERED),
    servers=(slow_server(0.8), slow_server(0.8), FAR),
    disturbances=(Disturbance(0.0, Trouble.REJECT_CONNECTIONS, 0, ALWAYS),),
)
"""As before, and only servers of another service accept connections elsewhere."""
DRAINS_BEFORE_VIEW = replace(
    DRAINING_REFUSES,
    callers=(caller(0.1, first_pause=0.96), *DRAINING_REFUSES.callers[1:]),
    disturbances=(Disturbance(1.26, Trouble.REFUSE_AND_DRAIN, 0, 0.0),),
)
"""A server stops accepting connections as it drains, before the next poll."""
DRAINS_DURING_CHECK = replace(
    DRAINING_REFUSES,
    disturbances=(Disturbance(1.4, Trouble.REFUSE_AND_DRAIN, 0, 0.0),),
)
"""A server stops accepting connections just before its drain is known."""
REFUSED_ELSEWHERE = replace(
    DOMAIN_REJECTS,
    servers=(
        slow_server(0.8, slots=1, accepts_connections=False),
        ServerSettings(
            slots=100,
            starts_at=0.2,
            failure_domain=DOMAINS[1],
            accepts_connections=False,
        ),
    ),
    disturbances=(),
)
"""No backend server accepts connections, in two failure domains."""
