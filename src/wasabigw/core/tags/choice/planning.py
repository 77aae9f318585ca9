"""Plans of services: shares of new flows and weights by the latest figures."""

from collections.abc import Mapping, Sequence

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.load.counting import update_requests
from wasabigw.core.load.figures import REPORT_INTERVAL
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.tags.choice.combined import (
    answers_of_unnamed,
    combined_figures,
    mean_of_unnamed,
)
from wasabigw.core.tags.choice.crossing import demand_shares
from wasabigw.core.tags.choice.demand import domain_loads
from wasabigw.core.tags.choice.estimates import (
    Activity,
    FlowAges,
    ServerLoad,
    add_activity,
    add_ages,
    opening_shares,
)
from wasabigw.core.tags.choice.locality import Shares, eligible_slots, traffic_shares
from wasabigw.core.tags.choice.plans import DomainTurns, ServicePlan
from wasabigw.core.tags.choice.turns import Turns, make_turns, phases_of
from wasabigw.core.tags.choice.weights import (
    Speed,
    expected_capacity,
    is_alike,
    record_figures,
    update_weights,
)
from wasabigw.core.tags.state import Server, TagState, WeightChange

PLAN_TTL = Seconds(2.0)
"""Time after which shares are computed again, as backend servers may answer again."""
MIN_PLAN_USES = 4
"""Uses of a plan after which newer figures replace it."""
PLAN_TIME_PER_SERVER = Seconds(0.001)
"""Minimum time between two plans of the same backend servers, for each of them.

It limits the processor time that plans of large services take.
"""
MIN_PLAN_TIME = Seconds(0.1)
"""Time after which shares are computed again if none of them could be used.

Also if some backend servers were left out as silent or cold: after a failure of many,
the few others would get all flows.
"""
MAX_RANK = 2**32
"""Upper bound of the rank of a backend server, which is a hash of 32 bits."""


def current_plan(service: ServiceId, state: TagState, now: Seconds) -> ServicePlan:
    """Shares of a service by the latest figures."""
    plan = state.plans.get(service)
    if plan is None:
        plan = state.plans[service] = ServicePlan()
    pool = state.pools.get(service, [])
    known = state.known_load
    age = now - plan.made_at
    plan.uses += 1
    has_new_figures = plan.measured_at != known.measured_at
    is_due = age >= (MIN_PLAN_TIME if plan.is_partial else PLAN_TTL) or (
        has_new_figures and plan.uses >= MIN_PLAN_USES
    )
    if plan.pool is not pool or (is_due and age >= len(pool) * PLAN_TIME_PER_SERVER):
        _update_plan(plan, pool, state, now)
    return plan


def renew_soon(plan: ServicePlan) -> None:
    """Let shares be computed again before their time, but not for each opening."""
    plan.is_partial = True


def _update_plan(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    if plan.measured_at != state.known_load.measured_at:
        _update_speeds(plan, pool, state, now)
    update_requests(state, now)
    elapsed = Seconds(now - plan.made_at)
    plan.ages = add_ages(plan.ages, _own_ages(pool, now), elapsed)
    plan.pool = pool
    plan.measured_at = state.known_load.measured_at
    plan.made_at = now
    plan.uses = 0
    plan.is_partial = not all(server.is_usable(now) for server in pool)
    groups = _usable_groups(pool, state, now)
    shares = _domain_shares(groups, plan, state, elapsed) if groups else {}
    plan.loads = {}
    near = {name: groups[name] for name in shares}
    plan.turns = _make_turns(near, shares, plan, state, now)
    plan.far = plan.room = None


def far_turns(
    service: ServiceId, plan: ServicePlan, state: TagState, now: Seconds
) -> DomainTurns:
    """Turns of the failure domains that get no new flows while others can take them."""
    if plan.far is None:
        groups = _usable_groups(state.pools.get(service, ()), state, now)
        far = {n: g for n, g in groups.items() if n not in plan.turns.servers}
        slots = {name: float(_slots(group)) for name, group in far.items()}
        plan.far = _make_turns(far, slots, plan, state, now)
    return plan.far


def _usable_groups(
    pool: Sequence[Server], state: TagState, now: Seconds
) -> dict[FailureDomainId, list[Server]]:
    """Usable backend servers by failure domain, of the own region if it has any."""
    groups: dict[FailureDomainId, list[Server]] = {}
    for server in pool:
        if server.is_usable(now):
            groups.setdefault(server.registration.failure_domain, []).append(server)
    slots = {name: _slots(group) for name, group in groups.items()}
    eligible = eligible_slots(state.failure_domain, slots, state.regions)
    return {name: group for name, group in groups.items() if name in eligible}


def _make_turns(
    groups: Mapping[FailureDomainId, Sequence[Server]],
    shares: Mapping[FailureDomainId, float],
    plan: ServicePlan,
    state: TagState,
    now: Seconds,
) -> DomainTurns:
    """Turns by shares of failure domains, at the phases of the ones before."""
    before = plan.turns
    servers = {
        name: _domain_turns(group, before.servers.get(name), plan, state, now)
        for name, group in groups.items()
    }
    phases = dict.fromkeys(shares, 0.5) | phases_of(before.domains)
    return DomainTurns(make_turns(shares, phases), servers)


def _domain_shares(
    groups: Mapping[FailureDomainId, Sequence[Server]],
    plan: ServicePlan,
    state: TagState,
    elapsed: Seconds,
) -> Shares:
    """Shares of failure domains by slots, and by demand if the own one is busy."""
    home = state.failure_domain
    slots = {name: _slots(group) for name, group in groups.items()}
    by_slots = traffic_shares(home, slots, state.regions)
    capacities = {
        name: sum(plan.weight(s.registration.tag) * s.slots for s in group)
        for name, group in groups.items()
    }
    first = next(iter(groups.values()))[0]
    loads = domain_loads(first.registration.service, capacities, state)
    previous = plan.turns.domains.shares
    return demand_shares(home, by_slots, previous, loads, elapsed)


def _own_ages(servers: Sequence[Server], now: Seconds) -> FlowAges:
    flows = sum(server.open_flows for server in servers)
    opened_at = sum(server.opened_at_sum for server in servers)
    return FlowAges(flows, flows * now - opened_at)


def _domain_turns(
    servers: Sequence[Server],
    previous: Turns[Tag] | None,
    plan: ServicePlan,
    state: TagState,
    now: Seconds,
) -> Turns[Tag]:
    """Turns of the backend servers of a failure domain."""
    known = state.known_load
    loads, activity = _expected_loads(servers, plan, known)
    plan.loads.update(loads)
    horizon = Seconds(now - known.measured_at + REPORT_INTERVAL)
    phases = {s.registration.tag: s.rank / MAX_RANK for s in servers}
    if previous is not None:
        phases |= phases_of(previous)
    return make_turns(opening_shares(loads, activity, plan.ages, horizon), phases)


def _expected_loads(
    servers: Sequence[Server], plan: ServicePlan, known: KnownLoad
) -> tuple[dict[Tag, ServerLoad], Activity]:
    """Load of each backend server; those without figures count as the mean."""
    mean = mean_of_unnamed(servers, known)
    activity = Activity(0, 0, 0)
    loads: dict[Tag, ServerLoad] = {}
    # Most backend servers of a large service are unnamed and alike.
    unnamed: dict[tuple[int, float], ServerLoad] = {}
    for server in servers:
        tag, slots = server.registration.tag, server.slots
        weight = plan.weight(tag)
        if tag in known.servers:
            figures = combined_figures(server, known)
            assert figures is not None
            activity = add_activity(activity, figures)
            loads[tag] = _server_load(figures.flows, figures.in_flight, weight, slots)
            continue
        load = unnamed.get((slots, weight))
        if load is None:
            load = unnamed[slots, weight] = _server_load(*mean, weight, slots)
        loads[tag] = load
    return loads, activity


def _server_load(
    flows: float, in_flight: float, weight: float, slots: int
) -> ServerLoad:
    capacity = expected_capacity(weight, in_flight, slots)
    return ServerLoad(capacity, in_flight, max(flows, 0))


def _update_speeds(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    known = state.known_load
    elapsed = Seconds(known.measured_at - plan.measured_at)
    others, other_slots = answers_of_unnamed(pool, known)
    record_figures(plan.others, others, other_slots, elapsed)
    before, plan.speeds = plan.speeds, {}
    for server in pool:
        tag = server.registration.tag
        speed = before.get(tag, plan.others)
        if tag in known.servers:
            speed = Speed() if speed is plan.others else speed
            # The times of a cold one say nothing about it once it is warm.
            is_warm = server.cold_until <= now
            figures = combined_figures(server, known) if is_warm else None
            record_figures(speed, figures, server.slots, elapsed)
        elif speed is not plan.others:
            record_figures(speed, others, other_slots, elapsed)
            speed = plan.others if is_alike(speed, plan.others) else speed
        plan.speeds[tag] = speed
    for tag in update_weights(plan.speeds, elapsed):
        speed = plan.speeds[tag]
        if speed is not plan.others:
            state.weight_changes.append(_change_of(state.servers[tag], speed))


def _change_of(server: Server, speed: Speed) -> WeightChange:
    time = Seconds(speed.service_time) if speed.is_judged else None
    return WeightChange(server, speed.weight, speed.is_slow, time)


def _slots(servers: Sequence[Server]) -> int:
    return sum(server.slots for server in servers)
