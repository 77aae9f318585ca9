"""Preview of the decision on an opening, without sending it.

The decision is made on a copy of the state that it depends on, by the same code as for
a packet. The balancer itself is not changed: no turn is taken and nothing is counted.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import singledispatch

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.tags.choice.combined import combined_figures
from wasabigw.core.tags.choice.plans import ServicePlan
from wasabigw.core.tags.choice.selection import service_of
from wasabigw.core.tags.decisions import Deliver, Drop, Hold, Refuse
from wasabigw.core.tags.liveness.health import health_of
from wasabigw.core.tags.packets import NO_TAG, FlowId, FlowPacket
from wasabigw.core.tags.state import Server, TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.view_lease import NEVER


@dataclass(frozen=True, slots=True)
class Candidate:
    """A backend server of the service that may get new flows.

    :param health: state of its circuit breaker at this balancer.
    :param is_cold: whether it gets new flows only if no other one can.
    :param flows: open flows; those of this balancer only, without figures of others.
    :param in_flight: requests without an answer, counted in the same way.
    :param has_figures: whether other balancers have reported figures of it.
    :param weight: speed relative to the others of its service.
    :param share: its share of the new flows of this balancer by load figures; ``None``
        if the choice is by own flows.
    """

    server: str
    failure_domain: FailureDomainId
    health: str
    is_cold: bool
    slots: int
    flows: int
    in_flight: int
    has_figures: bool
    weight: float
    share: float | None


@dataclass(frozen=True, slots=True)
class RoutePreview:
    """Where an opening would go now, and why.

    :param outcome: delivered, held, refused or dropped.
    :param server: backend server that would get it, if any.
    :param priority: declared priority of the listener, if any.
    :param view_age: time since the view was known to be current; ``None`` if it never
        was.
    :param figures_age: age of the load figures of other balancers; ``None`` without
        current ones.
    """

    service: ServiceId
    outcome: str
    reason: str
    server: str | None
    priority: int | None
    revision: int
    version: int | None
    view_age: Seconds | None
    figures_age: Seconds | None
    balancers: int
    candidates: tuple[Candidate, ...]


CopyState = Callable[[TagState, Sequence[object]], TagState]
"""Copies a state and all that it holds, but for some objects that are shared."""


def preview_opening(
    flow: FlowId,
    listener: Listener,
    state: TagState,
    now: Seconds,
    copy_state: CopyState,
) -> RoutePreview:
    """Preview the decision on the first opening packet of a flow."""
    service = service_of(listener, flow)
    # A decision only reads the shared objects; they are large.
    shared = (
        state.view,
        state.listeners,
        state.known_load,
        state.regions,
        state.egress,
    )
    copy = copy_state(_part_for(service, flow, state), shared)
    packet = FlowPacket(flow, NO_TAG, True, False, False, 0, 0, 0, 0)
    decision = decide(packet, copy, now)
    outcome, reason, server = _describe(decision)
    known, requirements = copy.known_load, listener.requirements
    return RoutePreview(
        service,
        outcome,
        reason,
        server,
        requirements.priority if requirements is not None else None,
        copy.view.revision,
        copy.declared_version,
        copy.view_age(now) if copy.confirmed_at > NEVER else None,
        Seconds(now - known.measured_at) if known.is_current(now) else None,
        known.balancers if known.is_current(now) else 0,
        # Those of the copy count the previewed flow.
        tuple(_candidate(s, copy, now) for s in state.pools.get(service, ())),
    )


def _part_for(service: ServiceId, flow: FlowId, state: TagState) -> TagState:
    """Part of the state that the decision on one flow depends on."""
    pool = state.pools.get(service, [])
    caller = flow.caller
    return replace(
        state,
        servers={server.registration.tag: server for server in pool},
        pools={service: pool},
        flows={f: known for f, known in state.flows.items() if f.caller == caller},
        pending_openings={
            f: opening
            for f, opening in state.pending_openings.items()
            if f.caller == caller
        },
        plans={s: plan for s, plan in state.plans.items() if s == service},
        answer_times={},
        sending={},
        host_checks=[],
        health_changes=[],
        weight_changes=[],
        suspicion_changes=[],
    )


@singledispatch
def _describe(decision: object) -> tuple[str, str, str | None]:
    """Outcome, reason and backend server of a decision."""
    raise TypeError(f"not a decision on an opening: {decision!r}")


@_describe.register
def _(decision: Deliver) -> tuple[str, str, str | None]:
    reason = decision.choice.value if decision.choice is not None else "open flow"
    return "delivered", reason, decision.server.id


@_describe.register
def _(decision: Refuse) -> tuple[str, str, str | None]:
    return "refused", decision.reason.value, None


@_describe.register
def _(decision: Drop) -> tuple[str, str, str | None]:
    return "dropped", decision.reason.value, None


@_describe.register
def _(decision: Hold) -> tuple[str, str, str | None]:
    return "held", "the service is short of room", None


def _candidate(server: Server, copy: TagState, now: Seconds) -> Candidate:
    boot = server.registration
    figures = combined_figures(server, copy.known_load)
    plan = copy.plans.get(boot.service, ServicePlan())
    return Candidate(
        boot.id,
        boot.failure_domain,
        health_of(server.breaker, now).value,
        server.cold_until > now,
        server.slots,
        figures.flows if figures is not None else server.open_flows,
        figures.in_flight if figures is not None else server.counts.in_flight,
        figures is not None,
        plan.weight(boot.tag),
        _share_of(server, plan) if copy.known_load.is_current(now) else None,
    )


def _share_of(server: Server, plan: ServicePlan) -> float:
    boot = server.registration
    turns = plan.turns.servers.get(boot.failure_domain)
    if turns is None:
        return 0.0
    domain_share = plan.turns.domains.shares.get(boot.failure_domain, 0.0)
    return domain_share * turns.shares.get(boot.tag, 0.0)
