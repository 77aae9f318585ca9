"""Views after any sequence of changes, restarts and changes of their source."""

import unittest
from dataclasses import dataclass, field
from unittest import mock

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState, FailureDomain, VoterPlace
from wasabigw.core.cluster_view import view_of
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    BringFailureDomainBack,
    Command,
    DeclareConfiguration,
    Order,
    Report,
    ReportBatch,
    TakeFailureDomainOut,
    VoterPlaced,
)
from wasabigw.core.delivery_view import DeliveryView, apply_update, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    BackendServerId,
    CompressedText,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument

RECIFE = FailureDomainId("recife")
NO_LEASE = Seconds(0.0)
PHASES = (Phase.explicit, Phase.generate)
"""Without shrinking, which takes minutes for sequences of this length."""
VOTERS, RELAYS, BALANCERS = 3, 2, 2
MAX_ENDED = 3
"""Ended boots that are kept, so few that some are removed in most examples."""


def announced(name: int, started_at: int, port: int, draining: bool) -> Report:
    """A backend server announced itself."""
    return BootAnnounced(
        BackendServerId(f"b-{name}"),
        ServiceId("seats"),
        RECIFE,
        Endpoint("10.0.0.1", 8000 + port),
        started_at,
        4,
        draining,
        Seconds(started_at % 2),
    )


def forgotten(tags: list[int]) -> Report:
    """Boots are removed."""
    return BootsForgotten(tuple(Tag(tag) for tag in tags))


def placed(number: int) -> Report:
    """A voter reported its place."""
    place = VoterPlace(Endpoint(f"10.0.1.{number}", 7000), RECIFE)
    return VoterPlaced(NodeId("voter-1"), place)


def declared(version: int) -> Command:
    """An operator declared a configuration."""
    text = CompressedText(f"text of {version}")
    return Order(DeclareConfiguration(DeclaredDocument(version, text)))


small, tags = st.integers(1, 3), st.integers(1, 12)
reports = st.one_of(
    st.builds(announced, small, st.integers(0, 5), small, st.booleans()),
    st.builds(forgotten, st.lists(tags, max_size=3)),
    st.builds(placed, small),
)
commands: st.SearchStrategy[Command] = st.one_of(
    st.lists(reports, min_size=1, max_size=3).map(lambda r: ReportBatch(tuple(r))),
    st.builds(declared, st.integers(1, 20)),
    st.just(Order(TakeFailureDomainOut(RECIFE))),
    st.just(Order(BringFailureDomainBack(RECIFE))),
)


@dataclass(frozen=True, slots=True)
class Change:
    """An entry is committed."""

    command: Command


@dataclass(frozen=True, slots=True)
class Start:
    """A backend server starts; a report of an earlier boot may arrive late."""

    name: int
    port: int
    is_late: bool


@dataclass(frozen=True, slots=True)
class Silence:
    """The registered boot of a backend server is silent."""

    name: int


@dataclass(frozen=True, slots=True)
class Learn:
    """A voter learns that some more entries are committed."""

    voter: int
    entries: int


@dataclass(frozen=True, slots=True)
class RestartVoter:
    """A voter restarts, and has the state of its snapshot until it hears a leader."""

    voter: int
    snapshot: int


@dataclass(frozen=True, slots=True)
class RelayPolls:
    """A relay polls a voter."""

    relay: int
    voter: int


@dataclass(frozen=True, slots=True)
class RestartRelay:
    """A relay restarts with the view that it stored, or without its disk."""

    relay: int
    keeps_disk: bool


@dataclass(frozen=True, slots=True)
class StoreRelay:
    """A relay stores its view."""

    relay: int


@dataclass(frozen=True, slots=True)
class BalancerPolls:
    """A balancer polls a relay."""

    balancer: int
    relay: int


@dataclass(frozen=True, slots=True)
class RestartBalancer:
    """A balancer restarts without a view."""

    balancer: int


voters, relays = st.integers(0, VOTERS - 1), st.integers(0, RELAYS - 1)
balancers = st.integers(0, BALANCERS - 1)
changes = st.one_of(
    st.builds(Change, commands),
    st.builds(Start, small, small, st.booleans()),
    st.builds(Silence, small),
)
learns = st.builds(Learn, voters, st.integers(1, 8))
relay_polls = st.builds(RelayPolls, relays, voters)
balancer_polls = st.builds(BalancerPolls, balancers, relays)
restarts = st.one_of(
    st.builds(RestartVoter, voters, st.integers(0, 10)),
    st.builds(StoreRelay, relays),
    st.builds(RestartRelay, relays, st.booleans()),
    st.builds(RestartBalancer, balancers),
)
kinds = [changes] * 6 + [learns] * 3 + [relay_polls] * 4 + [balancer_polls] * 4
steps = st.lists(
    st.sampled_from([*kinds, restarts]).flatmap(lambda kind: kind),
    min_size=40,
    max_size=80,
)


def poll(holder: DeliveryView, source: DeliveryView) -> None:
    """Fetch what the source has after the revision of the holder."""
    update = update_since(source, holder.revision, NO_LEASE)
    apply_update(holder, decode_update(encode_update(update)).unwrap())


@dataclass
class Deployment:
    """The replicated state at each revision, and the views that follow it."""

    history: list[DeliveryView] = field(default_factory=lambda: [DeliveryView()])
    cluster: ClusterState = field(
        default_factory=lambda: ClusterState(
            failure_domains={RECIFE: FailureDomain(RECIFE, RegionId("north"))},
            voters={NodeId("voter-1"): Incarnation("first")},
        )
    )
    voters: list[int] = field(default_factory=lambda: [0] * VOTERS)
    files: list[bytes | None] = field(default_factory=lambda: [None] * RELAYS)
    relays: list[DeliveryView] = field(
        default_factory=lambda: [DeliveryView() for _ in range(RELAYS)]
    )
    balancers: list[DeliveryView] = field(
        default_factory=lambda: [DeliveryView() for _ in range(BALANCERS)]
    )

    def do(self, step: object) -> None:
        match step:
            case Change(command):
                apply(command, Revision(len(self.history)), self.cluster)
                self.history.append(view_of(self.cluster))
            case Start(name, port, is_late):
                started_at = len(self.history) - (10 if is_late else 0)
                self.report(announced(name, started_at, port, False))
            case Silence(name):
                boot = self.cluster.registry.current.get(BackendServerId(f"b-{name}"))
                if boot is not None:
                    self.report(BootSilent(boot.id, boot.tag))
            case Learn(voter, entries):
                newest = len(self.history) - 1
                self.voters[voter] = min(newest, self.voters[voter] + entries)
            case RestartVoter(voter, snapshot):
                self.voters[voter] = min(self.voters[voter], snapshot)
            case RelayPolls(relay, voter):
                poll(self.relays[relay], self.history[self.voters[voter]])
            case StoreRelay(relay):
                whole = update_since(self.relays[relay], NO_REVISION, NO_LEASE)
                self.files[relay] = encode_update(whole)
            case RestartRelay(relay, keeps_disk):
                self.restart_relay(relay, keeps_disk)
            case BalancerPolls(balancer, relay):
                if self.relays[relay].revision > NO_REVISION:
                    poll(self.balancers[balancer], self.relays[relay])
            case RestartBalancer(balancer):
                self.balancers[balancer] = DeliveryView()

    def report(self, report: Report) -> None:
        self.do(Change(ReportBatch((report,))))

    def restart_relay(self, relay: int, keeps_disk: bool) -> None:
        self.relays[relay] = DeliveryView()
        if not keeps_disk:
            self.files[relay] = None
        stored = self.files[relay]
        if stored is not None:
            apply_update(self.relays[relay], decode_update(stored).unwrap())


class Views(unittest.TestCase):
    """Guards against a process that holds parts of two revisions, or an older one."""

    @settings(max_examples=200, phases=PHASES)
    @given(steps)
    def test_a_view_equals_the_replicated_state_at_its_revision(
        self, taken: list[object]
    ) -> None:
        run = Deployment()
        with mock.patch("wasabigw.core.registrations.MAX_ENDED_BOOTS", MAX_ENDED):
            for step in taken:
                run.do(step)
                for view in (*run.relays, *run.balancers):
                    self.assertEqual(view, run.history[view.revision], step)

    @settings(max_examples=100, phases=PHASES)
    @given(steps)
    def test_a_revision_never_decreases_in_one_process(
        self, taken: list[object]
    ) -> None:
        run = Deployment()
        for step in taken:
            before = [(v, v.revision) for v in (*run.relays, *run.balancers)]
            run.do(step)
            for view, revision in before:
                self.assertGreaterEqual(view.revision, revision, step)


if __name__ == "__main__":
    unittest.main()
