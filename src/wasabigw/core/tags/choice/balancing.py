"""Choice of backend servers by the load that balancers know together.

What is constant between two sets of figures is computed once for each service: the
weights, the shares of new flows and the room. A choice then only takes a turn.
"""

from collections.abc import Callable, Collection

from wasabigw.core.declaration import Listener
from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.tags.choice.planning import current_plan, far_turns, renew_soon
from wasabigw.core.tags.choice.plans import DomainTurns
from wasabigw.core.tags.choice.turns import take_turn
from wasabigw.core.tags.decisions import ChoiceReason
from wasabigw.core.tags.state import Server, TagState


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

    :param avoided: as in :func:`wasabigw.core.tags.choice.selection.choose_server`.
    :returns: ``None`` if there is no such backend server.
    """
    plan = current_plan(service, state, now)

    def is_allowed(tag: Tag) -> bool:
        server = state.servers[tag]
        return server not in avoided and server.is_usable(now)

    tag = _take_turn(plan.turns, is_allowed)
    if tag is None:
        # All of them may be failing, so that others should get the next openings.
        renew_soon(plan)
        tag = _take_turn(far_turns(service, plan, state, now), is_allowed)
    if tag is None:
        return None
    server = state.servers[tag]
    if server.registration.failure_domain == state.failure_domain:
        return server, ChoiceReason.LOAD_SHARE_HERE
    return server, ChoiceReason.LOAD_SHARE_ELSEWHERE


def _take_turn(turns: DomainTurns, is_allowed: Callable[[Tag], bool]) -> Tag | None:
    """Take a turn of a failure domain, and of one of its backend servers."""
    tried: set[FailureDomainId] = set()
    while len(tried) < len(turns.servers):
        domain = take_turn(turns.domains, lambda name: name not in tried)
        assert domain is not None
        tag = take_turn(turns.servers[domain], is_allowed)
        if tag is not None:
            return tag
        tried.add(domain)
    return None
