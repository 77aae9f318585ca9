"""Strategies that draw scenarios; shrinking leads to few callers and no troubles."""

from dataclasses import replace

from hypothesis import strategies as st

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.callers import CallerPlan
from wasabigw_verify.evidence_model.network import SOUND, LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.transport import Acknowledging

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


scenarios = st.one_of(
    scenarios_with_connections,
    scenarios_with_connections,
    scenarios_with_connections,
    scenarios_with_connections.map(_without_connections),
)
"""Any scenario; shrinking leads to few callers, sound legs and no disturbances."""
