"""Properties of the decision on an opening after any sequence of events."""

import unittest
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_tag_steering import (
    DOCUMENTS,
    FORTALEZA,
    LISTENER,
    RECIFE,
    SALVADOR,
    SEATS,
)
from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    Tag,
)
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import ChoiceReason, Deliver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.tags.updates import apply_declaration, rebuild_pools

DOMAINS = (RECIFE, SALVADOR, FORTALEZA)
SERVICES = (SEATS, DOCUMENTS)
PORTS = {443: SEATS, 80: DOCUMENTS}
TAGS = range(1, 7)

boots = st.builds(
    lambda state, silent, domain: (state, silent, domain),
    st.sampled_from(list(RegistrationState)),
    st.booleans(),
    st.sampled_from(DOMAINS),
)
views = st.tuples(
    st.lists(boots, min_size=len(TAGS), max_size=len(TAGS)),
    st.lists(st.sampled_from(DOMAINS), max_size=2, unique=True),
)
packets = st.tuples(
    st.sampled_from(["opening", "data"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.sampled_from(sorted(PORTS)),
    st.integers(0, 2),
    st.sampled_from(TAGS),
)
steps = st.lists(st.tuples(st.floats(0.0, 0.6), st.one_of(views, packets)), max_size=40)


def make_balancer() -> TagState:
    """A balancer with a listener for each service and a view that stays current."""
    regions = dict.fromkeys(DOMAINS, RegionId("north"))
    state = TagState(NodeId("balancer-1"), RECIFE, regions)
    state.view.revision = Revision(1)
    state.fresh_until = Seconds(1e9)
    listeners = tuple(
        Listener(
            Endpoint("198.18.0.1", port), (ServiceShare(service, 1),), Seconds(3.0)
        )
        for port, service in PORTS.items()
    )
    services = tuple(DeclaredService(service) for service in SERVICES)
    apply_declaration(Declaration(1, listeners, services), state)
    return state


def registration(
    tag: int, state: RegistrationState, silent: bool, domain: FailureDomainId
) -> Registration:
    """A boot; odd tags belong to one service, even tags to the other."""
    return Registration(
        Tag(tag),
        BackendServerId(f"b-{tag}"),
        SERVICES[tag % 2],
        domain,
        Endpoint("10.0.0.1", 8000 + tag),
        1000,
        4,
        state,
        silent,
        Seconds(0.0),
    )


class Openings(unittest.TestCase):
    """Guards against new flows to backend servers that must not get them.

    The caller's unanswered openings at another service once made the balancer choose a
    backend server of that service for a retransmitted opening.
    """

    @settings(max_examples=200, deadline=None)
    @given(views, steps)
    def test_each_goes_to_an_eligible_backend_server_of_its_service(
        self,
        first: tuple[list[Any], list[FailureDomainId]],
        events: list[tuple[float, Any]],
    ) -> None:
        state = make_balancer()
        self.change_view(state, 0.0, *first)
        now = 0.0
        for pause, step in events:
            now += pause
            if len(step) == 2:
                self.change_view(state, now, *step)
            else:
                self.check(state, now, *step)

    def change_view(
        self,
        state: TagState,
        now: float,
        found: list[tuple[RegistrationState, bool, FailureDomainId]],
        out: list[FailureDomainId],
    ) -> None:
        """Give the balancer a view with other states of the same boots."""
        state.view.boots = {
            Tag(tag): registration(tag, *one)
            for tag, one in zip(TAGS, found, strict=True)
        }
        state.view.out_of_service = tuple(out)
        rebuild_pools(state, Seconds(now))

    def check(
        self,
        state: TagState,
        now: float,
        kind: str,
        caller: int,
        caller_port: int,
        port: int,
        repeat: int,
        tag: int,
    ) -> None:
        """Decide on a packet; check the backend server that an opening goes to."""
        flow = FlowId(0x64400000 + caller, caller_port, LISTENER, port)
        if kind == "data":
            data = FlowPacket(flow, Tag(tag), False, False, False, 0, 101, 5, 10)
            decide(data, state, Seconds(now))
            return
        packet = FlowPacket(flow, Tag(0), True, False, False, repeat, 100, 0, 0)
        decision = decide(packet, state, Seconds(now))
        if isinstance(decision, Deliver) and decision.choice is not ChoiceReason.OPEN:
            boot = decision.server
            self.assertEqual(boot.service, PORTS[port])
            self.assertIs(boot.state, RegistrationState.SERVING)
            self.assertFalse(boot.silent)
            self.assertNotIn(boot.failure_domain, state.view.out_of_service)


if __name__ == "__main__":
    unittest.main()
