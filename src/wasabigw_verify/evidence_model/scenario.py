"""Scenarios: all that decides a run, besides the decisions of the balancers."""

from dataclasses import dataclass, replace
from enum import Enum

from hypothesis import strategies as st

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.network import SOUND, LegQuality
from wasabigw_verify.evidence_model.servers import ServerSettings, Workload
from wasabigw_verify.evidence_model.transport import Acknowledging


class Trouble(Enum):
    """What happens to a machine, or to a leg of the network."""

    SUSPEND_BALANCER = "a balancer is suspended"
    SLOW_BALANCER = "a balancer is slow, and packets wait in its receive buffer"
    FAIL_SENDING = "a balancer can't send"
    STALE_VIEW = "a balancer gets no views"
    STOP_BALANCER = "a balancer is stopped as planned"
    PAUSE_SERVER = "a backend server stands still"
    FREEZE_HOST = "the host of a backend server stands still"
    SILENCE_HOST = "the host of a backend server is lost"
    KILL_SERVER = "a backend server dies, and its host refuses connections"
    RESET_BY_HOST = "a backend server dies, and its host resets"
    RESTART_SAME_ID = "a backend server dies and starts again under its id"
    RESTART_NEW_ID = "a backend server dies, and another one starts on its host"
    RESTART_CLOCK_BEHIND = "as before, and its clock is behind"
    LATE_ANNOUNCEMENT = "an announcement of a boot arrives after its death"
    DRAIN_SERVER = "a backend server leaves as planned"
    CUT_TO_BALANCERS = "no packet of a caller reaches a balancer"
    CUT_TO_SERVERS = "no packet of a balancer reaches a backend server"
    CUT_PATH = "no packet passes between a balancer and a host"
    IMPAIR_PATH = "half of the packets between a balancer and a host are lost"
    LOSE_RESETS = "resets of backend servers are lost"
    CUT_TO_CALLERS = "no packet of a backend server reaches a caller"


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Trouble of one machine.

    :param target: number of the machine, modulo the machines of its kind.
    """

    at: float
    trouble: Trouble
    target: int = 0
    seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class Scenario:
    """A run.

    :param seed: of all that is drawn while it runs.
    :param moves: share of the packets that routers hand to another balancer.
    """

    callers: tuple[CallerPlan, ...]
    servers: tuple[ServerSettings, ...] = (ServerSettings(), ServerSettings())
    balancers: tuple[BalancerSettings, ...] = (BalancerSettings(),)
    to_balancers: LegQuality = SOUND
    to_servers: LegQuality = SOUND
    to_callers: LegQuality = SOUND
    moves: float = 0.0
    disturbances: tuple[Disturbance, ...] = ()
    seed: int = 0
    length: float = 6.0


times = st.integers(0, 50).map(lambda tenths: tenths / 10)
shares = st.sampled_from([0.0, 0.02, 0.1, 0.3])
poor_legs = st.builds(
    LegQuality,
    delay=st.sampled_from([0.002, 0.03]),
    jitter=st.sampled_from([0.0, 0.01, 0.3]),
    loss=shares,
    duplication=shares,
)
legs = st.one_of(st.just(SOUND), poor_legs)
workloads = st.builds(
    Workload,
    request=st.sampled_from([600, 3000, 60_000]),
    response=st.sampled_from([600, 3000, 60_000]),
)
manners = st.sampled_from(list(Acknowledging))
callers = st.builds(
    CallerPlan,
    start=times,
    flows=st.integers(1, 3),
    requests=st.integers(1, 4),
    pause=st.sampled_from([0.0, 0.05, 0.3, 1.0]),
    first_pause=st.sampled_from([0.0, 0.5]),
    workload=workloads,
    acknowledging=manners,
    budget=st.sampled_from([1.5, 4.0]),
    keeps_port=st.booleans(),
)
servers = st.builds(
    ServerSettings,
    slots=st.integers(1, 4),
    queue=st.sampled_from([20, 2]),
    service_time=st.sampled_from([0.01, 0.1, 0.3, 0.8]),
    max_flows=st.sampled_from([2000, 2]),
    acknowledging=manners,
)
balancers = st.builds(
    BalancerSettings,
    link_megabits=st.sampled_from([None, 1.0, 0.1]),
    buffer=st.sampled_from([800, 10]),
    packet_time=st.sampled_from([0.0001, 0.005]),
)
disturbances = st.builds(
    Disturbance,
    at=times,
    trouble=st.sampled_from(list(Trouble)),
    target=st.integers(0, 2),
    seconds=st.sampled_from([0.1, 0.3, 0.8, 2.0]),
)


scenarios_with_connections = st.builds(
    Scenario,
    callers=st.lists(callers, min_size=1, max_size=8).map(tuple),
    servers=st.lists(servers, min_size=1, max_size=3).map(tuple),
    balancers=st.lists(balancers, min_size=1, max_size=3).map(tuple),
    to_balancers=legs,
    to_servers=legs,
    to_callers=legs,
    moves=st.sampled_from([0.0, 0.05, 0.5]),
    disturbances=st.lists(disturbances, max_size=4).map(tuple),
    seed=st.integers(0, 999),
)


def _without_connections(scenario: Scenario) -> Scenario:
    """The same scenario with backend servers that accept no connections."""
    servers = tuple(replace(s, accepts_connections=False) for s in scenario.servers)
    return replace(scenario, servers=servers)


def with_tags(scenario: Scenario, taken: TagTaken) -> Scenario:
    """The same scenario with callers that return another tag."""
    plans = tuple(replace(plan, tag_taken=taken) for plan in scenario.callers)
    return replace(scenario, callers=plans)


scenarios = st.one_of(
    scenarios_with_connections,
    scenarios_with_connections,
    scenarios_with_connections,
    scenarios_with_connections.map(_without_connections),
)
"""Any scenario; shrinking leads to few callers, sound legs and no disturbances."""
