"""Choice of backend servers by the load that balancers know together.

What is constant between two sets of figures is computed once for each service: the
weights, the shares of new flows and the room. A choice then only takes a turn.
"""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.load.figures import REPORT_INTERVAL, ServerFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.tags.decisions import ChoiceReason
from wasabigw.core.tags.demand import demand_shares
from wasabigw.core.tags.estimates import (
    Activity,
    FlowAges,
    ServerLoad,
    opening_shares,
)
from wasabigw.core.tags.health import Health, health_of
from wasabigw.core.tags.locality import Shares, eligible_slots, traffic_shares
from wasabigw.core.tags.plans import Room, ServicePlan
from wasabigw.core.tags.state import Server, TagState, WeightChange
from wasabigw.core.tags.turns import Turns, make_turns, phases_of, take_turn
from wasabigw.core.tags.weights import (
    Speed,
    expected_capacity,
    record_figures,
    typical_service_time,
    update_weights,
)
from wasabigw.core.view_lease import NEVER

PLAN_TTL = Seconds(1.0)
"""Time after which shares are computed again, as backend servers may answer again."""
MAX_RANK = 2**32
"""Upper bound of the rank of a backend server, which is a hash of 32 bits."""


def uses_load_figures(listener: Listener, state: TagState, now: Seconds) -> bool:
    """Whether openings of a listener are sent by the load that balancers share."""
    return (
        listener.requirements is not None
        and state.features.load_sharing
        and state.known_load.is_current(now)
    )


def choose_by_load(
    service: ServiceId,
    state: TagState,
    now: Seconds,
    avoided: Collection[Server] = (),
) -> tuple[Server, ChoiceReason] | None:
    """Choose a warm backend server that answers, by its share of the new flows.

    :param avoided: as in :func:`wasabigw.core.tags.selection.choose_server`.
    :returns: ``None`` if there is no such backend server.
    """
    plan = current_plan(service, state, now)

    def is_allowed(tag: Tag) -> bool:
        server = state.servers[tag]
        return server not in avoided and _is_usable(server, now)

    tried: set[FailureDomainId] = set()
    while len(tried) < len(plan.servers):
        domain = take_turn(plan.domains, lambda name: name not in tried)
        assert domain is not None
        tag = take_turn(plan.servers[domain], is_allowed)
        if tag is not None:
            reason = (
                ChoiceReason.LOAD_SHARE_HERE
                if domain == state.failure_domain
                else ChoiceReason.LOAD_SHARE_ELSEWHERE
            )
            return state.servers[tag], reason
        tried.add(domain)
    # All of them may be failing, and other failure domains may have some that are not.
    plan.made_at = NEVER
    return None


def current_plan(service: ServiceId, state: TagState, now: Seconds) -> ServicePlan:
    """Shares of a service by the latest figures."""
    plan = state.plans.get(service)
    if plan is None:
        plan = state.plans[service] = ServicePlan()
    pool = state.pools.get(service, [])
    known = state.known_load
    if (
        plan.pool is not pool
        or plan.measured_at != known.measured_at
        or now - plan.made_at >= PLAN_TTL
    ):
        _update_plan(plan, pool, state, now)
    return plan


def combined_figures(server: Server, known: KnownLoad) -> ServerFigures | None:
    """Load of a backend server from all balancers; ``None`` if others report none."""
    figures = known.servers.get(server.registration.tag)
    if figures is None:
        return None
    counts = server.counts
    answer_time = counts.answer_time + counts.previous_answer_time
    return ServerFigures(
        figures.tag,
        figures.flows + server.open_flows,
        figures.in_flight + counts.in_flight,
        figures.openings + counts.openings + counts.previous_openings,
        figures.answers + counts.answers + counts.previous_answers,
        Seconds(figures.answer_time + answer_time),
    )


def _update_plan(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    if plan.measured_at != state.known_load.measured_at:
        _update_speeds(plan, pool, state, now)
    elapsed = Seconds(now - plan.made_at)
    plan.pool = pool
    plan.measured_at = state.known_load.measured_at
    plan.made_at = now
    usable = [server for server in pool if _is_usable(server, now)]
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
    plan.room = _room(plan, state)


def _domain_shares(
    groups: Mapping[FailureDomainId, Sequence[Server]],
    plan: ServicePlan,
    state: TagState,
    elapsed: Seconds,
) -> Shares:
    """Shares of failure domains by slots, and by demand if they are busy."""
    home = state.failure_domain
    slots = Counter({name: _slots(group) for name, group in groups.items()})
    usable = eligible_slots(home, slots, state.regions)
    base = traffic_shares(home, usable, state.regions)
    capacities = {
        name: sum(_weight(s.registration.tag, plan) * s.slots for s in groups[name])
        for name in usable
    }
    [service] = {s.registration.service for group in groups.values() for s in group}
    previous = plan.domains.shares
    return demand_shares(service, base, previous, capacities, state, elapsed)


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
    named = [f for s in servers if (f := combined_figures(s, known)) is not None]
    mean_flows = _mean_of_others(servers, known, named)
    loads = {}
    for server in servers:
        tag = server.registration.tag
        figures = combined_figures(server, known)
        flows = figures.flows if figures is not None else mean_flows
        in_flight = figures.in_flight if figures is not None else 0
        capacity = expected_capacity(_weight(tag, plan), in_flight, server.slots)
        loads[tag] = ServerLoad(capacity, max(flows, 0.0))
    activity = Activity(
        sum(f.flows for f in named),
        sum(f.openings for f in named),
        sum(f.answers for f in named),
    )
    return loads, activity


def _mean_of_others(
    servers: Sequence[Server], known: KnownLoad, named: Sequence[ServerFigures]
) -> float:
    """Mean number of flows of the backend servers that the figures don't name."""
    others = len(servers) - len(named)
    if others == 0:
        return 0.0
    boot = servers[0].registration
    total = known.services.get((boot.service, boot.failure_domain))
    own = sum(server.open_flows for server in servers)
    flows = (total.flows if total is not None else 0) + own
    return max(flows - sum(f.flows for f in named), 0) / others


def _update_speeds(
    plan: ServicePlan, pool: Sequence[Server], state: TagState, now: Seconds
) -> None:
    known = state.known_load
    elapsed = Seconds(known.measured_at - plan.measured_at)
    before, plan.speeds = plan.speeds, {}
    for server in pool:
        tag = server.registration.tag
        speed = plan.speeds[tag] = before.get(tag) or Speed()
        # The times of cold ones say nothing about them once they are warm.
        is_warm = server.cold_until <= now
        figures = combined_figures(server, known) if is_warm else None
        record_figures(speed, figures, server.slots, elapsed)
    for tag in update_weights(plan.speeds, elapsed):
        speed = plan.speeds[tag]
        change = WeightChange(state.servers[tag], speed.weight, speed.is_slow)
        state.weight_changes.append(change)


def _room(plan: ServicePlan, state: TagState) -> Room | None:
    """Room of the backend servers that get new flows, by the requests in flight."""
    typical = typical_service_time(plan.speeds)
    if typical is None or typical <= 0 or not plan.loads:
        return None
    in_flight = _in_flight(plan, state)
    slots = wait = free_slots = service_rate = 0.0
    for domain, turns in plan.servers.items():
        for tag, share in turns.shares.items():
            own_slots = state.servers[tag].slots
            weight = _weight(tag, plan)
            slots += own_slots
            free_slots += max(own_slots - in_flight[tag], 0.0) * weight
            service_rate += own_slots * weight / typical
            queue = max(in_flight[tag] + 1 - own_slots, 0.0)
            part = plan.domains.shares[domain] * share
            wait += part * queue * typical / (own_slots * weight)
    utilization = sum(in_flight.values()) / slots
    return Room(utilization, Seconds(wait), free_slots, service_rate)


def _in_flight(plan: ServicePlan, state: TagState) -> dict[Tag, float]:
    """Requests in flight; those of backend servers without figures are the mean."""
    known = state.known_load
    found = {
        tag: float(figures.in_flight)
        for tag in plan.loads
        if (figures := combined_figures(state.servers[tag], known)) is not None
    }
    mean = sum(found.values()) / len(found) if found else 0.0
    return {tag: found.get(tag, mean) for tag in plan.loads}


def _weight(tag: Tag, plan: ServicePlan) -> float:
    speed = plan.speeds.get(tag)
    return speed.weight if speed is not None else 1.0


def _is_usable(server: Server, now: Seconds) -> bool:
    """Whether a backend server is warm and is not known to be failing."""
    is_silent = health_of(server.breaker, now) is Health.SILENT
    return not is_silent and server.cold_until <= now


def _slots(servers: Sequence[Server]) -> int:
    return sum(server.slots for server in servers)
