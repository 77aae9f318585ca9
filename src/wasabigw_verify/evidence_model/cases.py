"""Scenarios in which flows of live backend servers were reset, and named ones."""

from dataclasses import replace

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.callers import CallerPlan
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.transport import Acknowledging


def _callers(count: int, plan: CallerPlan, gap: float) -> tuple[CallerPlan, ...]:
    """Callers that start one after the other."""
    return tuple(
        CallerPlan(
            start=0.1 + number * gap,
            flows=plan.flows,
            requests=plan.requests,
            pause=plan.pause,
            workload=plan.workload,
            budget=plan.budget,
        )
        for number in range(count)
    )


REQUESTS_WAIT_FOR_SLOTS = Scenario(
    callers=_callers(40, CallerPlan(requests=4, pause=0.3), 0.005),
    servers=(
        ServerSettings(slots=2, service_time=0.072, acknowledging=Acknowledging.SECOND),
    )
    * 3,
    balancers=(BalancerSettings(),) * 6,
)
"""Single-packet requests wait over 0.2 s; the server acknowledges every second packet.
"""
LINK_IS_FULL = Scenario(
    callers=_callers(
        12, CallerPlan(requests=3, pause=0.05, workload=Workload(60_000, 600)), 0.05
    ),
    balancers=(BalancerSettings(link_megabits=1.0),),
)
"""Uploads fill the link of a balancer, which drops packets to make room for others."""
PACKETS_WAIT_BEFORE_DECISION = Scenario(
    callers=_callers(24, CallerPlan(requests=30, pause=0.05), 0.02),
    servers=(ServerSettings(),) * 12,
    disturbances=(Disturbance(1.0, Trouble.SLOW_BALANCER, 0, 2.0),),
)
"""The balancer is behind, so packets and their copies wait in its receive buffer."""
RECEIVE_BUFFER_OVERFLOWS = Scenario(
    callers=_callers(24, CallerPlan(requests=30, pause=0.05), 0.02),
    servers=(ServerSettings(),) * 12,
    balancers=(BalancerSettings(buffer=10),),
    disturbances=(Disturbance(1.0, Trouble.SLOW_BALANCER, 0, 2.0),),
)
SENDING_FAILS = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    disturbances=(Disturbance(1.0, Trouble.FAIL_SENDING, 0, 1.0),),
)
"""The kernel refuses the packets that the balancer sends to live backend servers."""
BALANCER_IS_SUSPENDED = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    disturbances=(Disturbance(1.0, Trouble.SUSPEND_BALANCER, 0, 0.8),),
)
PLANNED_STOP = Scenario(
    callers=_callers(
        8, CallerPlan(requests=3, pause=0.05, workload=Workload(60_000, 600)), 0.1
    ),
    balancers=(BalancerSettings(link_megabits=4.0),) * 2,
    disturbances=(Disturbance(0.5, Trouble.STOP_BALANCER, 0),),
)
"""Packets wait for the link of a balancer that is stopped as planned."""
SERVER_DIES = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    disturbances=(Disturbance(1.0, Trouble.KILL_SERVER, 0),),
)
"""A backend server dies, and its host refuses connections."""
CALM = Scenario(callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02))
LOSSES = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    to_callers=LegQuality(loss=0.4),
)
DRAIN = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.3), 0.02),
    disturbances=(Disturbance(1.0, Trouble.DRAIN_SERVER, 0),),
)
MOVED_FLOWS = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    balancers=(BalancerSettings(),) * 3,
    moves=0.3,
)
"""Routers often hand the packets of a flow to another balancer."""
MOVED_FLOWS_WITHOUT_RESETS = replace(
    MOVED_FLOWS,
    disturbances=(Disturbance(0.0, Trouble.LOSE_RESETS, 0, 6.0),),
)
"""As before, and the resets of backend servers are lost."""
LATE_ANSWERS = Scenario(
    callers=_callers(8, CallerPlan(requests=8, pause=0.1), 0.02),
    to_callers=LegQuality(delay=0.19),
    to_balancers=LegQuality(jitter=0.1),
)
"""Callers send a copy of their opening while the answer is on its way."""
HOST_IS_LOST = replace(
    SERVER_DIES, disturbances=(Disturbance(1.0, Trouble.SILENCE_HOST, 0),)
)
"""The host of a backend server is lost, and nothing answers there."""
RESTART_BETWEEN_VIEWS = Scenario(
    callers=_callers(12, CallerPlan(requests=8, pause=0.3), 0.05),
    servers=(ServerSettings(),),
    disturbances=(
        Disturbance(0.05, Trouble.RESTART_SAME_ID, 0),
        Disturbance(0.0, Trouble.STALE_VIEW, 0, 0.8),
    ),
)
"""A boot accepts openings with the tag of the boot before it, of an older view."""
