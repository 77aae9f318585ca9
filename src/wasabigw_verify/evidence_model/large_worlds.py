"""Strategies of larger worlds, in which disturbances meet on purpose."""

from hypothesis import strategies as st

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings
from wasabigw_verify.evidence_model.callers import CallerPlan
from wasabigw_verify.evidence_model.deployment import DOMAINS, SERVICES
from wasabigw_verify.evidence_model.moments import Moment
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.strategies import TROUBLES, workloads
from wasabigw_verify.evidence_model.transport import Acknowledging

SERVERS = 12
BALANCERS = 6
DURATIONS = (0.1, 0.3, 0.8, 2.0, 6.0)
DOUBTING = (
    Trouble.PAUSE_SERVER,
    Trouble.FREEZE_HOST,
    Trouble.SILENCE_HOST,
    Trouble.KILL_SERVER,
    Trouble.RESTART_SAME_ID,
    Trouble.IMPAIR_PATH,
    Trouble.IMPAIR_DOMAIN,
    Trouble.CUT_PATH,
)
"""Troubles after which a balancer checks a host."""
DURING_A_CHECK = (
    Trouble.SUSPEND_BALANCER,
    Trouble.SLOW_BALANCER,
    Trouble.FAIL_SENDING,
    Trouble.CUT_TO_HOSTS,
    Trouble.IMPAIR_TO_HOSTS,
    Trouble.STOP_BALANCER,
    Trouble.STALE_VIEW,
    Trouble.RESTART_SAME_ID,
    Trouble.RESTART_NEW_ID,
)
"""Troubles that change what a check is worth while it is under way."""

times = st.integers(0, 40).map(lambda tenths: tenths / 10)
targets = st.integers(0, SERVERS - 1)
durations = st.sampled_from(DURATIONS)
moments = st.sampled_from([Moment.CHECK_REQUESTED, Moment.CHECK_ENDED])
any_disturbance = st.builds(
    Disturbance, times, st.sampled_from(TROUBLES), targets, durations
)
doubts = st.builds(Disturbance, times, st.sampled_from(DOUBTING), targets, durations)
during_checks = st.builds(
    Disturbance,
    times,
    st.sampled_from(DURING_A_CHECK),
    seconds=durations,
    moment=moments,
    after=st.sampled_from([0.0, 0.1, 0.3, 0.39]),
)
legs = st.builds(
    LegQuality,
    delay=st.sampled_from([0.002, 0.02]),
    jitter=st.sampled_from([0.001, 0.02, 0.5]),
    loss=st.sampled_from([0.0, 0.0, 0.05]),
    duplication=st.sampled_from([0.0, 0.0, 0.1]),
)


def _servers(
    sizes: list[int], service_time: float, manner: Acknowledging, others_listen: bool
) -> tuple[ServerSettings, ...]:
    """Backend servers of both services in all failure domains.

    Those of one service accept connections, or all of them do not: that a live one
    refuses while others accept is assumed not to happen (platform-questions.md, 8).
    """
    settings = []
    for number, slots in enumerate(sizes):
        service = SERVICES[number // len(DOMAINS) % len(SERVICES)]
        settings.append(
            ServerSettings(
                slots=slots,
                service_time=service_time if number % 2 == 0 else 0.02,
                acknowledging=manner,
                accepts_connections=others_listen or service == SERVICES[0],
                failure_domain=DOMAINS[number % len(DOMAINS)],
                service=service,
            )
        )
    return tuple(settings)


servers = st.builds(
    _servers,
    st.lists(st.integers(1, 6), min_size=SERVERS, max_size=SERVERS),
    st.sampled_from([0.02, 0.3, 0.8]),
    st.sampled_from(list(Acknowledging)),
    st.sampled_from([True, True, True, False]),
)


def _balancers(
    megabits: float | None, packet_time: float
) -> tuple[BalancerSettings, ...]:
    return tuple(
        BalancerSettings(
            link_megabits=megabits,
            packet_time=packet_time,
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(BALANCERS)
    )


balancers = st.builds(
    _balancers,
    st.sampled_from([None, None, 1.0, 0.2]),
    st.sampled_from([0.0001, 0.0001, 0.005]),
)
callers = st.builds(
    CallerPlan,
    start=times,
    flows=st.integers(1, 3),
    requests=st.sampled_from([1, 4, 40]),
    pause=st.sampled_from([0.05, 0.2, 1.0]),
    first_pause=st.sampled_from([0.0, 0.5]),
    workload=workloads,
    acknowledging=st.sampled_from(list(Acknowledging)),
    keeps_port=st.booleans(),
    service=st.sampled_from(SERVICES),
)
large_scenarios = st.builds(
    Scenario,
    callers=st.lists(callers, min_size=4, max_size=16).map(tuple),
    servers=servers,
    balancers=balancers,
    to_balancers=legs,
    to_servers=st.sampled_from([LegQuality(), LegQuality(), LegQuality(loss=0.05)]),
    to_callers=legs,
    moves=st.sampled_from([0.0, 0.05, 0.5]),
    disturbances=st.tuples(
        st.lists(any_disturbance, max_size=3),
        st.lists(doubts, min_size=1, max_size=3),
        st.lists(during_checks, max_size=2),
    ).map(lambda parts: tuple(d for part in parts for d in part)),
    seed=st.integers(0, 9999),
    length=st.sampled_from([6.0, 6.0, 10.0]),
)
"""A dozen backend servers in three failure domains, and six balancers."""
