"""Backend servers that announce themselves, and a judge that knows which of them run.

The real registrar and replicated state, and a balancer that follows them, meet
announcements that are late, doubled and reordered, from clocks that differ and step,
for ids and addresses that are used again, of other writers, and changes of the leader.

``python -m wasabigw_verify.registration_model EXAMPLES SEED`` searches for longer
than the tests.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from unittest import mock

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from wasabigw.core import registrar
from wasabigw.core.apply import apply
from wasabigw.core.boot_leases import BootKey, key_of
from wasabigw.core.cluster import ClusterState, endpoint_key
from wasabigw.core.cluster_view import view_of
from wasabigw.core.commands import Report, ReportBatch
from wasabigw.core.copying import copy_state
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
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrar import RegistrarState
from wasabigw.core.tags.decisions import Deliver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw.core.tags.updates import apply_view_update

RECIFE = FailureDomainId("recife")
TICK = 0.25
HEARTBEAT = 1.0
LEASE = 3.0
COMMIT_TICKS = 2
"""Ticks after which an entry is committed."""
MARGIN = (COMMIT_TICKS + 2) * TICK
RETENTION = 25.0
FLOW_LIFETIME = 10.0
"""As on the platforms, less than half of the time for which boots are kept."""
NAMES, ADDRESSES, VMS = 4, 3, 3


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes, in which backend servers that run announce themselves."""

    ticks: int


@dataclass(frozen=True, slots=True)
class Start:
    """A backend server starts; its clock is ahead by ``clock`` milliseconds."""

    name: int
    address: int
    service: int
    clock: int


@dataclass(frozen=True, slots=True)
class Crash:
    """The backend server at an address ends without a word."""

    address: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The backend server at an address announces its shutdown and ends."""

    address: int
    is_lost: bool


@dataclass(frozen=True, slots=True)
class Cut:
    """No control VM hears the backend server at an address for some ticks."""

    address: int
    ticks: int


@dataclass(frozen=True, slots=True)
class Late:
    """A copy of an earlier announcement arrives."""

    age: int
    vm: int


@dataclass(frozen=True, slots=True)
class LateDeparture:
    """The departure of a former boot of an id arrives."""

    name: int


@dataclass(frozen=True, slots=True)
class OtherWriter:
    """Something announces a boot that does not run.

    :param clock: ``None`` if it copies the boot that runs at the address.
    """

    name: int
    address: int
    service: int
    clock: int | None
    sequence: int
    vm: int


@dataclass(frozen=True, slots=True)
class ChangeLeader:
    """Another voter leads; entries that are not committed may be lost."""

    loses_entries: bool


@dataclass(frozen=True, slots=True)
class Learn:
    """The copy of a control VM catches up; until then it lags."""

    vm: int


names, addresses = st.integers(0, NAMES - 1), st.integers(0, ADDRESSES - 1)
services, vms = st.integers(0, 1), st.integers(0, VMS - 1)
clocks = st.sampled_from([-20_000, -4_000, -500, 0, 0, 2_000, 9_000, 40_000])
passes = st.builds(Pass, st.sampled_from([1, 2, 4, 8, 16, 40]))
events = st.one_of(
    st.builds(Start, names, addresses, services, clocks),
    st.builds(Start, names, addresses, services, clocks),
    st.builds(Crash, addresses),
    st.builds(Leave, addresses, st.booleans()),
    st.builds(Cut, addresses, st.integers(1, 40)),
    st.builds(Late, st.integers(0, 40), vms),
    st.builds(Late, st.integers(0, 3), vms),
    st.builds(LateDeparture, names),
    st.builds(
        OtherWriter,
        names,
        addresses,
        services,
        st.one_of(st.none(), clocks),
        st.sampled_from([0, 5, 1_000_000]),
        vms,
    ),
    st.builds(ChangeLeader, st.booleans()),
    st.builds(Learn, vms),
)
steps = st.lists(st.one_of(passes, events), min_size=20, max_size=60)


@dataclass(slots=True)
class LiveServer:
    """A backend server that runs.

    :param reachable_since: start, or end of the last time without contact.
    :param disturbed_at: when something else than a boot that is preferred last kept it
        out of use.
    :param used: when each of its tags was last in use.
    """

    call: BootAnnouncement
    next_announcement: float
    reachable_since: float
    cut_until: float = 0.0
    disturbed_at: float = 0.0
    used: dict[Tag, float] = field(default_factory=dict)

    @property
    def key(self) -> BootKey:
        """Key of the lease of its boot."""
        return key_of(self.call)


@dataclass(slots=True)
class _PendingEntry:
    reports: tuple[Report, ...]
    committed_in: int


class Deployment:
    """A leader, control VMs whose copies lag, a balancer, and backend servers."""

    def __init__(self) -> None:
        self.now = 0.0
        self.cluster = ClusterState()
        self.registrar = RegistrarState(Seconds(LEASE))
        self.gained_at = 0.0
        self.pending: list[_PendingEntry] = []
        self.copies = [copy_state(self.cluster) for _ in range(VMS)]
        self.balancer = TagState(NodeId("balancer"), RECIFE)
        self.servers: dict[int, LiveServer] = {}
        self.sent: list[BootAnnouncement] = []
        self.delivered: dict[BootKey, float] = {}
        self.unused_since: dict[Tag, float] = {}
        self.commits = 0

    def do(self, step: object) -> None:
        """Play one step."""
        match step:
            case Pass(ticks):
                for _ in range(ticks):
                    self.tick()
            case Start(name, address, service, clock):
                self.start(name, address, service, clock)
            case Crash(address):
                self.servers.pop(address, None)
            case Leave(address, is_lost):
                server = self.servers.pop(address, None)
                if server is not None and not is_lost:
                    self.depart(server.call.id)
            case Cut(address, ticks):
                if address in self.servers:
                    server = self.servers[address]
                    until = self.now + ticks * TICK
                    server.cut_until = max(server.cut_until, until)
                    server.reachable_since = server.cut_until
            case Late(age, vm):
                if self.sent:
                    self.deliver(self.sent[-1 - age % len(self.sent)], vm)
            case LateDeparture(name):
                self.depart(BackendServerId(f"b-{name}"))
            case OtherWriter():
                self.write(step)
            case ChangeLeader(loses_entries):
                self.change_leader(loses_entries)
            case Learn(vm):
                self.copies[vm] = copy_state(self.cluster)

    def start(self, name: int, address: int, service: int, clock: int) -> None:
        """Start a backend server, unless its id or its address is taken."""
        call = self.announcement(name, address, service, clock, 0)
        if address in self.servers or any(
            server.call.id == call.id for server in self.servers.values()
        ):
            return
        while key_of(call) in self.delivered:
            call = replace(call, started_at=call.started_at + 1)
        server = LiveServer(call, self.now, self.now)
        # The leases of boots that are preferred started anew at the last takeover.
        server.disturbed_at = self.gained_at + LEASE if self.gained_at else 0.0
        self.servers[address] = server

    def announcement(
        self, name: int, address: int, service: int, clock: int, sequence: int
    ) -> BootAnnouncement:
        """Announcement of a boot that starts now, by a clock that is ahead."""
        return BootAnnouncement(
            BackendServerId(f"b-{name}"),
            ServiceId(f"service-{service}"),
            RECIFE,
            Endpoint("10.0.0.1", 8000 + address),
            100_000 + round(1000 * self.now) + clock,
            4,
            False,
            Seconds(0.0),
            sequence,
        )

    def write(self, step: OtherWriter) -> None:
        """Deliver the announcement of another writer."""
        clock = step.clock if step.clock is not None else 0
        call = self.announcement(
            step.name, step.address, step.service, clock, step.sequence
        )
        live = self.servers.get(step.address)
        if step.clock is None and live is not None:
            call = replace(live.call, sequence=step.sequence)
        if live is not None and live.key == key_of(call):
            # Its sequence number may hide those of the boot itself for a lease.
            live.disturbed_at = self.now + LEASE
        self.deliver(call, step.vm)

    def tick(self) -> None:
        """Advance the time, and let the backend servers announce themselves."""
        self.now += TICK
        self.commit_due()
        event = registrar.RegistrarTick(Seconds(self.now), self.cluster)
        self.propose(registrar.handle(event, self.registrar))
        for number, server in enumerate(list(self.servers.values())):
            if self.now >= server.next_announcement:
                server.next_announcement = self.now + HEARTBEAT
                sequence = server.call.sequence + 1
                server.call = replace(server.call, sequence=sequence)
                self.sent.append(server.call)
                if self.now >= server.cut_until:
                    self.deliver(server.call, (number + sequence) % VMS)
        self.judge()

    def deliver(self, call: BootAnnouncement, vm: int) -> None:
        """Deliver an announcement to a control VM, which passes it on to the leader."""
        self.check_acknowledgement(call, self.copies[vm])
        key = key_of(call)
        for server in self.servers.values():
            is_rival = server.key != key and (
                server.call.id == call.id or server.call.endpoint == call.endpoint
            )
            if is_rival and not self.is_in_use(server):
                server.disturbed_at = max(server.disturbed_at, self.now)
        self.delivered[key] = self.now
        event = registrar.BootAnnouncementReceived(
            call, Seconds(self.now), self.cluster
        )
        self.propose(registrar.handle(event, self.registrar))

    def depart(self, name: BackendServerId) -> None:
        """Deliver the departure of a backend server."""
        for server in self.servers.values():
            if server.call.id == name:
                server.disturbed_at = max(server.disturbed_at, self.now)
        event = registrar.BootDepartureReceived(
            BootDeparture(name), Seconds(self.now), self.cluster
        )
        self.propose(registrar.handle(event, self.registrar))

    def change_leader(self, loses_entries: bool) -> None:
        """Let another voter lead, whose leases start anew."""
        for server in self.servers.values():
            if not self.is_in_use(server):
                # The leases of boots that are preferred start anew.
                server.disturbed_at = max(server.disturbed_at, self.now + LEASE)
        if loses_entries:
            self.pending.clear()
        self.registrar = RegistrarState(Seconds(LEASE))
        self.gained_at = self.now
        event = registrar.LeadershipGained(Seconds(self.now), self.cluster)
        registrar.handle(event, self.registrar)

    def propose(self, reports: list[Report]) -> None:
        """Append reports to the log."""
        if reports:
            self.pending.append(_PendingEntry(tuple(reports), COMMIT_TICKS))

    def commit_due(self) -> None:
        """Commit the entries that are due, and update the view of the balancer."""
        for entry in self.pending:
            entry.committed_in -= 1
        while self.pending and self.pending[0].committed_in <= 0:
            self.commits += 1
            entry = self.pending.pop(0)
            revision = Revision(self.commits)
            apply(ReportBatch(entry.reports), revision, self.cluster)
        update = update_since(
            view_of(self.cluster), self.balancer.view.revision, Seconds(1.0)
        )
        now = Seconds(self.now)
        apply_view_update(update, now, self.balancer, now)

    def in_use(self) -> dict[BootKey, Tag]:
        """Tags of the boots that the balancer chooses for new flows."""
        found = [s.registration for pool in self.balancer.pools.values() for s in pool]
        return {key_of(boot): boot.tag for boot in found}

    def is_in_use(self, server: LiveServer) -> bool:
        """Whether the balancer chooses a backend server for new flows."""
        return server.key in self.in_use()

    def check_acknowledgement(self, call: BootAnnouncement, copy: ClusterState) -> None:
        """A boot is acknowledged only if it is in use or another one is preferred."""
        if not registrar.is_reflected(call, copy):
            return
        current = copy.registry.current
        known = current.get(call.id)
        is_in_use = known is not None and key_of(known) == key_of(call)
        is_in_use = is_in_use and known is not None and not known.silent
        assert is_in_use or any(
            not boot.silent
            and boot.started_at > call.started_at
            and (boot.id == call.id or boot.endpoint == call.endpoint)
            for boot in current.values()
        ), f"{call} was acknowledged without effect"

    def judge(self) -> None:
        """Check what callers and backend servers may rely on."""
        in_use = self.in_use()
        for server in self.servers.values():
            self.judge_server(server, in_use.get(server.key))
        self.judge_registry()
        self.judge_dead_boots(in_use)
        self.judge_growth(set(in_use.values()))

    def judge_server(self, server: LiveServer, tag: Tag | None) -> None:
        """A backend server is in use within its lease and keeps its open flows."""
        if tag is not None:
            server.used[tag] = self.now
        blocked_until = max(
            (
                at + LEASE
                for key, at in self.delivered.items()
                if key != server.key
                and key.started_at >= server.call.started_at
                and (key.id == server.key.id or key[2:4] == server.key[2:4])
            ),
            default=0.0,
        )
        free_at = max(blocked_until, server.reachable_since, server.disturbed_at)
        if self.now > free_at + HEARTBEAT + MARGIN:
            assert tag is not None, f"{server.call} is not in use"
        for number, at in server.used.items():
            if self.now - at < FLOW_LIFETIME:
                self.judge_flow(server, number)

    def judge_flow(self, server: LiveServer, tag: Tag) -> None:
        """A packet of an open flow has to reach its own backend server."""
        flow = FlowId(1, int(tag), 2, 443)
        packet = FlowPacket(flow, tag, False, False, False, 0, 1, 1, 0)
        decision = decide(packet, self.balancer, Seconds(self.now))
        assert isinstance(decision, Deliver), f"flow of {server.call}: {decision}"
        receiver = (decision.server.id, decision.server.endpoint)
        assert receiver == (server.call.id, server.call.endpoint), decision

    def judge_registry(self) -> None:
        """Tags are unique, and each endpoint has the owner that is in use."""
        registry = self.cluster.registry
        boots = [*registry.current.values(), *registry.ended]
        assert len({boot.tag for boot in boots}) == len(boots), "a tag is used twice"
        for name, boot in registry.current.items():
            assert boot.id == name
            if not boot.silent:
                owner = registry.owners.get(endpoint_key(boot.endpoint))
                assert owner == name, f"{boot} is in use, but not the owner"
        for key, name in registry.owners.items():
            assert endpoint_key(registry.current[name].endpoint) == key, key

    def judge_dead_boots(self, in_use: dict[BootKey, Tag]) -> None:
        """A boot that no longer announces itself gets no new flows."""
        for key in in_use:
            present_at = max(self.delivered[key], self.gained_at)
            assert self.now <= present_at + LEASE + 2 * MARGIN, f"{key} is in use"

    def judge_growth(self, in_use: set[Tag]) -> None:
        """Boots that are not in use are forgotten in time."""
        unused = set(self.balancer.view.boots) - in_use
        self.unused_since = {
            tag: max(self.unused_since.get(tag, self.now), self.gained_at)
            for tag in unused
        }
        for tag, since in self.unused_since.items():
            assert self.now <= since + RETENTION + 2 * MARGIN, f"tag {tag} is kept"


@contextmanager
def short_retention() -> Iterator[None]:
    """Let boots be forgotten within a run."""
    with mock.patch("wasabigw.core.registrar.BOOT_RETENTION_TIME", RETENTION):
        yield


def play(taken: list[object]) -> None:
    """Run the steps, and a quiet time in which all servers must come into use."""
    with short_retention():
        run = Deployment()
        for step in [*taken, Pass(40)]:
            run.do(step)


def search(examples: int, start: int) -> None:
    """Play examples at random without shrinking."""
    settings(
        max_examples=examples,
        phases=(Phase.generate,),
        database=None,
        derandomize=False,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )(seed(start)(given(steps)(play)))()


if __name__ == "__main__":
    search(int(sys.argv[1]), int(sys.argv[2]))
    sys.stdout.write(f"{sys.argv[1]} examples, seed {sys.argv[2]}: no violation\n")
