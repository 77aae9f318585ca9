"""Routes at a balancer after any sequence of configurations that it learns of."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState
from wasabigw.core.cluster_view import view_of
from wasabigw.core.commands import (
    BootAnnounced,
    Command,
    DeclareConfiguration,
    Order,
    ReportBatch,
)
from wasabigw.core.delivery_view import update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.tags.decisions import Deliver, RefusalReason, Refuse
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.tags.updates import apply_declaration, apply_view_update
from wasabigw_platform.documents import decode_document, read_document

RECIFE = FailureDomainId("recife")
HOST, HOST_NUMBER = "198.18.0.1", 0xC6120001
SERVICES = ("seats", "documents")
PORTS = range(8000, 8006)
LEASE = Seconds(1.5)
CALLER = 0x64400007

routes = st.dictionaries(st.sampled_from(PORTS), st.sampled_from(SERVICES))
changes = st.lists(
    st.tuples(st.integers(1, 30), routes, st.booleans()), min_size=1, max_size=12
)
"""For each change its version, its routes, and whether the balancer polls then."""


def document(version: int, services: dict[int, str]) -> bytes:
    """Configuration with a route for each port."""
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": f"r-{port}",
                    "host": HOST,
                    "path-prefix": f"/{port}/",
                    "timeout-ms": 3000,
                    "service": service,
                }
                for port, service in services.items()
            ],
            "services": [{"name": name} for name in SERVICES],
        }
    ).encode()


def announced(number: int, service: str) -> BootAnnounced:
    """Announcement of a backend server."""
    return BootAnnounced(
        BackendServerId(f"b-{number}"),
        ServiceId(service),
        RECIFE,
        Endpoint("10.0.0.1", 8000 + number),
        1000,
        4,
        False,
        Seconds(0.0),
    )


class Log:
    """The replicated state, and the highest version that was declared."""

    def __init__(self) -> None:
        self.cluster = ClusterState()
        self.version = 0
        self.routes: dict[int, str] = {}
        boots = tuple(announced(n, name) for n, name in enumerate(SERVICES))
        self._commit(ReportBatch(boots))

    def declare(self, version: int, services: dict[int, str]) -> None:
        """Commit a configuration, which takes effect if its version is the highest."""
        checked = read_document(document(version, services)).unwrap()
        self._commit(Order(DeclareConfiguration(checked)))
        if version > self.version:
            self.version, self.routes = version, services

    def _commit(self, command: Command) -> None:
        apply(command, Revision(self.cluster.revision + 1), self.cluster)


class Balancer:
    """State of a balancer and the openings of its callers."""

    def __init__(self) -> None:
        self.state = TagState(NodeId("balancer-1"), RECIFE)
        self.now = Seconds(0.0)
        self._port = 1024

    def poll(self, log: Log) -> None:
        """Receive what has changed, as the packet task does."""
        self.now = Seconds(self.now + 1.0)
        view = view_of(log.cluster)
        update = update_since(view, self.state.view.revision, LEASE)
        received = decode_update(encode_update(update)).unwrap()
        apply_view_update(received, self.now, self.state, self.now)
        if self.state.view.document is not None:
            declaration = decode_document(self.state.view.document).unwrap()
            apply_declaration(declaration, self.state)

    def open(self, listener_port: int) -> str | RefusalReason:
        """Service that gets a new flow, or why it is refused."""
        self._port += 1
        flow = FlowId(CALLER + self._port, self._port, HOST_NUMBER, listener_port)
        packet = FlowPacket(flow, Tag(0), True, False, False, 0, 100, 0, 0)
        decision = decide(packet, self.state, self.now)
        if isinstance(decision, Refuse):
            return decision.reason
        assert isinstance(decision, Deliver), decision
        return decision.server.service


class AddedRoutes(unittest.TestCase):
    """Guards against a balancer that has a version but does not serve its routes."""

    @settings(max_examples=150)
    @given(changes)
    def test_a_balancer_serves_exactly_the_routes_of_the_highest_version(
        self, declared: list[tuple[int, dict[int, str], bool]]
    ) -> None:
        log, balancer = Log(), Balancer()
        for version, services, polls in (*declared, (31, {8000: "seats"}, True)):
            log.declare(version, services)
            if not polls:
                continue
            balancer.poll(log)
            self.assertEqual(balancer.state.declared_version, log.version)
            for port in PORTS:
                expected = log.routes.get(port, RefusalReason.NO_LISTENER)
                self.assertEqual(balancer.open(port), expected)


if __name__ == "__main__":
    unittest.main()
