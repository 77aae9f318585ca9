"""Plans of services: shares of new flows and weights by the latest figures."""

from collections import Counter
from collections.abc import Mapping, Sequence

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.load.figures import REPORT_INTERVAL
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.tags.combined import (
    answers_of_unnamed,
    combined_figures,
    mean_of_unnamed,
)
from wasabigw.core.tags.crossing import demand_shares
from wasabigw.core.tags.demand import domain_loads
from wasabigw.core.tags.estimates import (
    Activity,
    FlowAges,
    ServerLoad,
    add_activity,
    opening_shares,
)
from wasabigw.core.tags.health import Health, health_of
from wasabigw.core.tags.locality import Shares, eligible_slots, traffic_shares
from wasabigw.core.tags.plans import ServicePlan
from wasabigw.core.tags.state import Server, TagState, WeightChange
from wasabigw.core.tags.turns import Turns, make_turns, phases_of
from wasabigw.core.tags.weights import (
    Speed,
    expected_capacity,
    record_figures,
    update_weights,
)

PLAN_TTL = Seconds(1.5)
"""Time after which shares are computed again, as backend servers may answer again.

Longer than the time between two sets of figures, which renew the shares as well.
"""
PLAN_TIME_PER_SERVER = Seconds(0.001)
"""Minimum time between two plans of the same backend servers, for each of them.

It limits the processor time that plans of large services take.
"""
MIN_PLAN_TIME = Seconds(0.1)
"""Time after which shares are computed again if none of them could be used."""
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
    is_due = plan.measured_at != known.measured_at or age >= PLAN_TTL
    if plan.pool is not pool or (is_due and age >= len(pool) * PLAN_TIME_PER_SERVER):
        _update_plan(plan, pool, state, now)
    return plan


def renew_soon(plan: ServicePlan, now: Seconds) -> None:
    """Let shares be computed again before their time, but not for each opening."""
    plan.made_at = min(plan.made_at, Seconds(now - PLAN_TTL + MIN_PLAN_TIME))


def _update_plan(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    if plan.measured_at != state.known_load.measured_at:
        _update_speeds(plan, pool, state, now)
    elapsed = Seconds(now - plan.made_at)
    plan.pool = pool
    plan.measured_at = state.known_load.measured_at
    plan.made_at = now
    usable = [server for server in pool if is_usable(server, now)]
    groups: dict[FailureDomainId, list[Server]] = {}
    for server in usable:
        groups.setdefault(server.registration.failure_domain, []).append(server)
    shares = _domain_shares(groups, plan, state, elapsed) if groups else {}
    plan.loads = {}
    previous, plan.servers = plan.servers, {}
    for domain in shares:
        plan.servers[domain] = _domain_turns(
            groups[domain], previous.get(domain), plan, state, now
        )
    phases = dict.fromkeys(shares, 0.5) | phases_of(plan.domains)
    plan.domains = make_turns(shares, phases)
    plan.room = None


def _domain_shares(
    groups: Mapping[FailureDomainId, Sequence[Server]],
    plan: ServicePlan,
    state: TagState,
    elapsed: Seconds,
) -> Shares:
    """Shares of failure domains by slots, and by demand if the own one is busy."""
    home = state.failure_domain
    slots = Counter({name: _slots(group) for name, group in groups.items()})
    usable = eligible_slots(home, slots, state.regions)
    by_slots = traffic_shares(home, usable, state.regions)
    capacities = {
        name: sum(plan.weight(s.registration.tag) * s.slots for s in groups[name])
        for name in usable
    }
    first = next(iter(groups.values()))[0]
    loads = domain_loads(first.registration.service, capacities, state)
    return demand_shares(home, by_slots, plan.domains.shares, loads, elapsed)


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
    own = sum(server.open_flows for server in servers)
    opened_at = sum(server.opened_at_sum for server in servers)
    ages = FlowAges(own, own * now - opened_at)
    horizon = Seconds(now - known.measured_at + REPORT_INTERVAL)
    phases = {s.registration.tag: s.rank / MAX_RANK for s in servers}
    if previous is not None:
        phases |= phases_of(previous)
    return make_turns(opening_shares(loads, activity, ages, horizon), phases)


def _expected_loads(
    servers: Sequence[Server], plan: ServicePlan, known: KnownLoad
) -> tuple[dict[Tag, ServerLoad], Activity]:
    """Load of each backend server; those without figures count as the mean."""
    mean = mean_of_unnamed(servers, known)
    activity = Activity(0, 0, 0)
    loads = {}
    for server in servers:
        tag, slots = server.registration.tag, server.slots
        figures = combined_figures(server, known)
        if figures is None:
            flows, in_flight = mean
        else:
            flows, in_flight = figures.flows, figures.in_flight
            activity = add_activity(activity, figures)
        capacity = expected_capacity(plan.weight(tag), in_flight, slots)
        loads[tag] = ServerLoad(capacity, in_flight, max(flows, 0))
    return loads, activity


def _update_speeds(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    known = state.known_load
    elapsed = Seconds(known.measured_at - plan.measured_at)
    before, plan.speeds = plan.speeds, {}
    unnamed, unnamed_slots = answers_of_unnamed(pool, known)
    for server in pool:
        tag = server.registration.tag
        speed = plan.speeds[tag] = before.get(tag) or Speed()
        figures, slots = combined_figures(server, known), server.slots
        if figures is None:
            figures, slots = unnamed, unnamed_slots
        if server.cold_until > now:
            # The times of a cold one say nothing about it once it is warm.
            figures = None
        record_figures(speed, figures, slots, elapsed)
    for tag in update_weights(plan.speeds, elapsed):
        speed = plan.speeds[tag]
        time = Seconds(speed.service_time) if speed.is_judged else None
        server = state.servers[tag]
        change = WeightChange(server, speed.weight, speed.is_slow, time)
        state.weight_changes.append(change)


def is_usable(server: Server, now: Seconds) -> bool:
    """Whether a backend server is warm and is not known to be failing."""
    is_silent = health_of(server.breaker, now) is Health.SILENT
    return not is_silent and server.cold_until <= now


def _slots(servers: Sequence[Server]) -> int:
    return sum(server.slots for server in servers)
