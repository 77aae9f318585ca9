"""Strategies that are aimed at rare states, for the search with planted faults."""

import random
from dataclasses import replace

from hypothesis import strategies as st

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.case_parts import (
    ALWAYS,
    ONE_PACKET,
    TWO_PACKETS,
)
from wasabigw_verify.evidence_model.deployment import SERVICES
from wasabigw_verify.evidence_model.fault_cases import SCENARIOS
from wasabigw_verify.evidence_model.moments import Moment
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.strategies import TROUBLES
from wasabigw_verify.evidence_model.transport import Acknowledging

UPLOAD = Workload(60_000, 600)
EXTRA_TROUBLE = 0.2
"""Share of the variants that have one trouble more."""
fine_times = st.integers(0, 60).map(lambda steps: 0.5 + steps / 40)
"""Steps of 25 ms, within which a request and its copies meet others."""
steady = st.builds(LegQuality, st.sampled_from([0.002, 0.002, 0.06]), st.just(0.0))


def _joined(*parts: list[Disturbance]) -> tuple[Disturbance, ...]:
    return tuple(disturbance for part in parts for disturbance in part)


def _agreeing(
    parts: tuple[ServerSettings, list[ServerSettings]],
) -> tuple[ServerSettings, ...]:
    """Backend servers of which all of a service accept connections, or none does."""
    servers = (parts[0], *parts[1])
    listens = {s.service: s.accepts_connections for s in reversed(servers)}
    return tuple(replace(s, accepts_connections=listens[s.service]) for s in servers)


doubted_callers = st.builds(
    CallerPlan,
    start=fine_times,
    requests=st.integers(1, 2),
    first_pause=st.sampled_from([0.0, 0.0, 0.15, 0.6, 1.0]),
    workload=st.sampled_from(
        [ONE_PACKET, ONE_PACKET, TWO_PACKETS, TWO_PACKETS, UPLOAD]
    ),
    pause=st.just(1.0),
)
answered_callers = st.builds(
    CallerPlan,
    start=st.sampled_from([0.1, 0.3, 1.0]),
    requests=st.sampled_from([1, 6, 60]),
    pause=st.just(0.05),
    first_pause=st.sampled_from([0.0, 0.0, 1.5]),
    service=st.sampled_from(SERVICES),
)
doubted_servers = st.builds(
    ServerSettings,
    slots=st.just(100),
    service_time=st.sampled_from([0.75, 1.5, 2.5]),
    max_flows=st.sampled_from([2000, 2000, 2]),
    accepts_connections=st.sampled_from([True, True, True, False]),
    acknowledging=st.sampled_from(list(Acknowledging)),
)
other_servers = st.builds(
    ServerSettings,
    slots=st.sampled_from([1, 4]),
    accepts_connections=st.sampled_from([True, True, True, False]),
    service=st.sampled_from(SERVICES),
)
dropped_connections = st.builds(
    Disturbance,
    at=st.sampled_from([0.0, 1.0, 1.5, 2.0]),
    trouble=st.just(Trouble.DROP_CONNECTIONS),
    target=st.sampled_from([0, 0, 0, 1]),
    seconds=st.sampled_from([0.6, 1.0, ALWAYS]),
)
own_troubles = st.builds(
    Disturbance,
    at=fine_times,
    trouble=st.sampled_from(
        [
            Trouble.SUSPEND_BALANCER,
            Trouble.FAIL_SENDING,
            Trouble.CUT_TO_BALANCERS,
            Trouble.CUT_TO_HOSTS,
            Trouble.FAIL_CONNECTING,
            Trouble.REFUSE_AND_DRAIN,
        ]
    ),
    seconds=st.sampled_from([0.02, 0.1, 0.35, 1.1]),
)
hosts_that_look_lost = st.builds(
    Scenario,
    callers=st.tuples(
        st.lists(doubted_callers, min_size=1, max_size=5),
        st.lists(answered_callers, min_size=1, max_size=8),
    ).map(lambda parts: tuple(parts[0] + parts[1])),
    servers=st.tuples(
        doubted_servers, st.lists(other_servers, min_size=1, max_size=3)
    ).map(_agreeing),
    balancers=st.builds(
        BalancerSettings,
        link_megabits=st.sampled_from([None, None, 0.1]),
        packet_time=st.sampled_from([0.0001, 0.0001, 0.005]),
    ).map(lambda settings: (settings,)),
    to_balancers=st.just(LegQuality(jitter=0.0)),
    to_servers=st.just(LegQuality(jitter=0.0)),
    to_callers=steady,
    disturbances=st.builds(
        _joined,
        st.lists(dropped_connections, max_size=2),
        st.lists(own_troubles, max_size=2),
    ),
)
"""The host of a slow backend server gives no response to connections."""

latest_callers = st.builds(
    CallerPlan,
    start=st.sampled_from([0.5, 1.0]),
    requests=st.just(8),
    pause=st.just(0.1),
    tag_taken=st.just(TagTaken.LATEST),
)
short_callers = st.builds(
    CallerPlan,
    start=st.integers(1, 20).map(lambda tenths: tenths / 10),
    flows=st.just(6),
    requests=st.integers(1, 4),
    pause=st.just(0.05),
)
copy_troubles = st.builds(
    Disturbance,
    at=st.sampled_from([0.85, 1.0, 1.3]),
    trouble=st.sampled_from(
        [
            Trouble.SUSPEND_BALANCER,
            Trouble.DRAIN_SERVER,
            Trouble.STALE_VIEW,
            Trouble.LOSE_LISTENERS,
            Trouble.SILENCE_HOST,
        ]
    ),
    target=st.integers(0, 2),
    seconds=st.sampled_from([0.6, 2.5, 6.0]),
)
delayed = st.sampled_from(
    [LegQuality(), LegQuality(jitter=0.1), LegQuality(jitter=0.5)]
)
late_copies = st.builds(
    Scenario,
    callers=st.tuples(
        st.lists(latest_callers, max_size=1),
        st.lists(short_callers, min_size=3, max_size=10),
    ).map(lambda parts: tuple(parts[0] + parts[1])),
    servers=st.lists(
        st.builds(ServerSettings, starts_at=st.sampled_from([0.0, 0.0, 2.0])),
        min_size=1,
        max_size=3,
    ).map(tuple),
    balancers=st.integers(1, 3).map(lambda count: (BalancerSettings(),) * count),
    to_balancers=delayed,
    to_callers=st.sampled_from([LegQuality(), LegQuality(delay=0.19)]),
    moves=st.sampled_from([0.0, 0.5]),
    disturbances=st.lists(copy_troubles, max_size=3).map(tuple),
    seed=st.integers(0, 9999),
)
"""Copies of openings arrive late, at balancers that know too little to deliver them."""

long_callers = st.builds(
    CallerPlan,
    start=st.sampled_from([0.1, 0.1, 3.0, 5.0]),
    requests=st.just(60),
    pause=st.sampled_from([0.1, 0.2]),
    first_pause=st.sampled_from([0.0, 1.0]),
    service=st.sampled_from(SERVICES),
)
long_pauses = st.builds(
    Disturbance,
    at=st.just(0.0),
    trouble=st.sampled_from([Trouble.SUSPEND_BALANCER, Trouble.SUSPEND_BALANCER]),
    seconds=st.sampled_from([0.3, 5.0, 6.2]),
    moment=st.sampled_from([Moment.CHECK_REQUESTED, Moment.CHECK_ENDED]),
    after=st.sampled_from([0.0, 0.0, 0.3]),
)
moved_flows = st.builds(
    Disturbance,
    at=st.sampled_from([6.4, 7.0]),
    trouble=st.just(Trouble.STOP_BALANCER),
    target=st.integers(0, 2),
)
hosts_that_are_back = st.builds(
    Scenario,
    callers=st.lists(long_callers, min_size=3, max_size=6).map(tuple),
    servers=st.sampled_from(
        [
            (ServerSettings(), *(ServerSettings(service=SERVICES[1]),) * 2),
            (ServerSettings(),) * 3,
        ]
    ),
    balancers=st.integers(2, 3).map(lambda count: (BalancerSettings(),) * count),
    disturbances=st.builds(
        lambda seconds, pauses, moved: (
            Disturbance(1.0, Trouble.FREEZE_HOST, 0, seconds),
            *pauses,
            *moved,
        ),
        st.sampled_from([1.2, 1.8]),
        st.lists(long_pauses, max_size=1),
        st.lists(moved_flows, max_size=1),
    ),
    seed=st.integers(0, 9999),
    length=st.just(10.0),
)
"""A host was unreachable; what was found then is used after the contact window."""


def _varied(scenario: Scenario, seed: int) -> Scenario:
    """A scenario in which times, delays and troubles differ a little."""
    draws = random.Random(seed)

    def shifted(at: float) -> float:
        return max(0.0, at + draws.choice([0.0, 0.0, draws.uniform(-0.05, 0.05)]))

    callers = tuple(replace(c, start=shifted(c.start)) for c in scenario.callers)
    disturbances = [replace(d, at=shifted(d.at)) for d in scenario.disturbances]
    if draws.random() < EXTRA_TROUBLE:
        trouble = draws.choice(TROUBLES)
        number = draws.randrange(len(scenario.servers))
        extra = Disturbance(draws.uniform(0.1, 3.0), trouble, number)
        disturbances.append(extra)
    return replace(
        scenario,
        callers=callers,
        disturbances=tuple(disturbances),
        to_servers=replace(scenario.to_servers, jitter=draws.choice([0.0, 0.001])),
        seed=draws.randrange(10_000),
    )


variants = st.builds(
    _varied,
    st.sampled_from(list(dict.fromkeys(SCENARIOS.values()))),
    st.integers(0, 999_999),
)
"""Scenarios that are close to those in which a planted fault is found."""
aimed_scenarios = st.one_of(
    variants,
    variants,
    variants,
    hosts_that_look_lost,
    late_copies,
    hosts_that_are_back,
)
