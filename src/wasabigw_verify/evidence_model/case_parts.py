"""Parts of the scenarios in which only one condition protects open flows.

Most doubts show only where a live host looks lost to a check, so connections to the
doubted host are dropped on the way, and packets of flows are not. A backend server that
acknowledges every second packet has requests of one packet sent again while it works;
requests of two packets are acknowledged at once.
"""

from wasabigw.core.ids import FailureDomainId, ServiceId
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.deployment import DOMAINS, SERVICES
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Trouble
from wasabigw_verify.evidence_model.transport import Acknowledging

SEATS, COURSES = SERVICES
ONE_PACKET = Workload(600, 600)
TWO_PACKETS = Workload(2400, 600)
ALWAYS = 20.0
"""Longer than any scenario, in seconds."""


def slow_server(
    service_time: float,
    *,
    slots: int = 100,
    max_flows: int = 2000,
    accepts_connections: bool = True,
    acknowledging: Acknowledging = Acknowledging.SECOND,
    service: ServiceId = SEATS,
    failure_domain: FailureDomainId = DOMAINS[0],
) -> ServerSettings:
    """A backend server on which requests of one packet are sent again."""
    return ServerSettings(
        slots=slots,
        service_time=service_time,
        max_flows=max_flows,
        accepts_connections=accepts_connections,
        acknowledging=acknowledging,
        service=service,
        failure_domain=failure_domain,
    )


def caller(
    start: float,
    workload: Workload = ONE_PACKET,
    *,
    flows: int = 1,
    requests: int = 1,
    pause: float = 0.3,
    first_pause: float = 0.0,
    service: ServiceId = SEATS,
    tag_taken: TagTaken = TagTaken.CHOSEN,
) -> CallerPlan:
    """A caller with one request."""
    return CallerPlan(
        start,
        flows,
        requests,
        pause,
        first_pause,
        workload,
        service=service,
        tag_taken=tag_taken,
    )


OTHERS = (ServerSettings(service=COURSES),) * 2
"""Backend servers of another service, which serve as references."""
ANSWERED = (caller(0.1, requests=60, pause=0.05, service=COURSES),) * 2
"""Callers of the others, which are answered all the time."""
ANSWERED_BEFORE = (caller(0.2, requests=6, pause=0.05, service=COURSES),) * 2
"""Callers of the others, which were answered lately and wait for nothing."""
STEADY = LegQuality(jitter=0.0)
"""Packets arrive in order."""
CONNECTIONS_DROPPED = Disturbance(0.0, Trouble.DROP_CONNECTIONS, 0, ALWAYS)
