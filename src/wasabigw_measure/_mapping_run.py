"""Event loop that runs a mapping scheme under the workload of a seed."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from functools import singledispatchmethod
from statistics import fmean

from wasabigw.core.ids import BackendServerId, NodeId, Seconds
from wasabigw_measure import _mapping_scheme as schemes
from wasabigw_measure import _mapping_world as model
from wasabigw_measure._mapping_scheme import Scheme
from wasabigw_measure._mapping_world import (
    Balancer,
    BalancerCrashes,
    BalancerJoins,
    Flow,
    PacketKind,
    ServerDrains,
    ServerJoins,
)

RETRANSMISSION_DELAYS = (0.3, 0.6, 1.2, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0)
"""Delays before a caller retransmits a packet; after the last one the flow fails."""
SAMPLE_INTERVAL = Seconds(5.0)
TICK_INTERVAL = Seconds(1.0)
WARM_UP = Seconds(60.0)
"""Time before the first load sample."""


@dataclass(frozen=True, slots=True)
class _Packet:
    flow: Flow
    kind: PacketKind


@dataclass(frozen=True, slots=True)
class _SampleLoad:
    """Samples the load of the backend servers and the number of flow entries."""


@dataclass(frozen=True, slots=True)
class _ProposalTick:
    """Lets the scheme propose log entries."""


@dataclass(frozen=True, slots=True)
class _RemoveNode:
    """Commits a view without a balancer that crashed."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class _UpdateFabric:
    """Stops the fabric from sending packets to a balancer that crashed."""

    node: NodeId


@dataclass(slots=True)
class RunResult:
    """Counters of one run.

    :param proposed_bytes: bytes of the log entries that the scheme proposed.
    """

    opened: int = 0
    misdirected: int = 0
    reset: int = 0
    timed_out: int = 0
    never_opened: int = 0
    packets: int = 0
    forwards: int = 0
    queries: int = 0
    control_bytes: int = 0
    proposed_bytes: int = 0
    server_changes: int = 0
    node_changes: int = 0
    imbalance: list[float] = field(default_factory=list)
    entries_per_flow: list[float] = field(default_factory=list)

    @property
    def broken(self) -> int:
        """Number of established flows that broke."""
        return self.misdirected + self.reset + self.timed_out

    @property
    def mean_imbalance(self) -> float:
        """Mean ratio of the most loaded accepting backend server to the average."""
        return fmean(self.imbalance)

    @property
    def mean_entries(self) -> float:
        """Mean number of flow entries in all balancers per open flow."""
        return fmean(self.entries_per_flow)


class Run:
    """Run of one scheme with one seed."""

    def __init__(self, scheme: Scheme, seed: int) -> None:
        self._scheme = scheme
        self._fabric_generator = random.Random(f"{seed}:spray")
        self._world = model.make_initial_world(random.Random(f"{seed}:delays"))
        self._fabric_targets = list(self._world.balancers)
        self._queue: list[tuple[Seconds, int, object]] = []
        self._event_numbers = itertools.count()
        self._open_flows: Counter[BackendServerId] = Counter()
        self._result = RunResult()
        self._server_changes = model.draw_server_changes(
            random.Random(f"{seed}:servers")
        )
        self._schedule_all(seed)

    def run(self) -> RunResult:
        """Process all events up to the horizon."""
        view = self._world.latest_view
        schemes.view_committed(self._scheme, view, self._world)
        for balancer in self._world.balancers.values():
            self._apply_view(balancer, Seconds(0.0))
        while self._queue:
            at, _, event = heapq.heappop(self._queue)
            if at > model.HORIZON:
                break
            self._world.now = at
            self._handle(event)
        return self._result

    def _schedule_all(self, seed: int) -> None:
        for flow in model.draw_flows(random.Random(f"{seed}:flows")):
            self._schedule(flow.start, _Packet(flow, PacketKind.OPENING))
        for at, server_change in self._server_changes:
            self._schedule(at, server_change)
        generator = random.Random(f"{seed}:balancers")
        for at, balancer_change in model.draw_balancer_changes(generator):
            self._schedule(at, balancer_change)
        for number in range(1, int(model.HORIZON / SAMPLE_INTERVAL)):
            self._schedule(number * SAMPLE_INTERVAL, _SampleLoad())
        for number in range(1, int(model.HORIZON / TICK_INTERVAL)):
            self._schedule(number * TICK_INTERVAL, _ProposalTick())

    def _schedule(self, at: float, event: object) -> None:
        heapq.heappush(self._queue, (Seconds(at), next(self._event_numbers), event))

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"unknown event {event!r}")

    @_handle.register
    def _(self, event: _Packet) -> None:
        flow = event.flow
        if flow.broken or flow.closed:
            return
        balancer = self._world.balancers[
            self._fabric_generator.choice(self._fabric_targets)
        ]
        self._result.packets += 1
        if not balancer.alive:
            self._handle_loss(event)
            return
        self._apply_pending_views()
        outcome = schemes.process_packet(
            self._scheme, flow, event.kind, balancer, self._world
        )
        self._result.forwards += outcome.forwards
        self._result.queries += outcome.queries
        self._result.control_bytes += outcome.control_bytes
        if outcome.reset and flow.server is not None:
            self._result.reset += 1
            self._break_flow(flow)
        elif outcome.server is None:
            self._handle_loss(event)
        else:
            self._handle_delivery(event, outcome.server)

    @_handle.register
    def _(self, event: ServerJoins) -> None:
        accepting = (*self._world.latest_view.accepting, event.server)
        self._result.server_changes += 1
        self._commit_servers(tuple(sorted(accepting)))

    @_handle.register
    def _(self, event: ServerDrains) -> None:
        accepting = self._world.latest_view.accepting
        self._result.server_changes += 1
        self._commit_servers(tuple(s for s in accepting if s != event.server))

    @_handle.register
    def _(self, event: BalancerCrashes) -> None:
        alive = [b for b in self._world.balancers.values() if b.alive]
        crashed = self._fabric_generator.choice(alive)
        crashed.alive = False
        schemes.balancer_crashed(self._scheme, crashed.node)
        now = self._world.now
        self._schedule(now + model.HEALTH_CHECK_DELAY, _UpdateFabric(crashed.node))
        removal = _RemoveNode(crashed.node)
        self._schedule(now + model.DETECTION_TIME, removal)

    @_handle.register
    def _(self, event: _UpdateFabric) -> None:
        self._fabric_targets.remove(event.node)

    @_handle.register
    def _(self, event: _RemoveNode) -> None:
        nodes = self._world.latest_view.nodes
        self._commit_nodes(tuple(node for node in nodes if node != event.node))

    @_handle.register
    def _(self, event: BalancerJoins) -> None:
        world = self._world
        balancer_counts = Counter(dict.fromkeys(model.FAILURE_DOMAINS, 0))
        balancer_counts.update(
            b.failure_domain for b in world.balancers.values() if b.alive
        )
        failure_domain = min(balancer_counts, key=lambda name: balancer_counts[name])
        balancer = Balancer(event.node, failure_domain, world.latest_view.revision)
        world.balancers[event.node] = balancer
        self._fabric_targets.append(event.node)
        self._apply_view(balancer, world.now)
        self._commit_nodes((*world.latest_view.nodes, event.node))

    @_handle.register
    def _(self, event: _SampleLoad) -> None:
        self._apply_pending_views()
        accepting = self._world.latest_view.accepting
        total = sum(self._open_flows.values())
        if total and self._world.now >= WARM_UP:
            loads = [self._open_flows[server] for server in accepting]
            self._result.imbalance.append(max(loads) / fmean(loads))
            entry_count = schemes.count_entries(self._scheme)
            self._result.entries_per_flow.append(entry_count / total)

    @_handle.register
    def _(self, event: _ProposalTick) -> None:
        self._apply_pending_views()
        proposed_bytes = schemes.propose_entries(self._scheme, self._world)
        if proposed_bytes:
            self._result.proposed_bytes += proposed_bytes
            view = self._world.latest_view
            self._commit(view.accepting, view.nodes)

    def _commit_servers(self, accepting: tuple[BackendServerId, ...]) -> None:
        self._commit(accepting, self._world.latest_view.nodes)

    def _commit_nodes(self, nodes: tuple[NodeId, ...]) -> None:
        self._result.node_changes += 1
        self._commit(self._world.latest_view.accepting, nodes)

    def _commit(
        self, accepting: tuple[BackendServerId, ...], nodes: tuple[NodeId, ...]
    ) -> None:
        view = self._world.commit(
            accepting, self._accepting_after_next_change(accepting), nodes
        )
        schemes.view_committed(self._scheme, view, self._world)

    def _accepting_after_next_change(
        self, accepting: tuple[BackendServerId, ...]
    ) -> tuple[BackendServerId, ...]:
        for at, change in self._server_changes:
            if at <= self._world.now:
                continue
            if isinstance(change, ServerJoins):
                return tuple(sorted((*accepting, change.server)))
            return tuple(s for s in accepting if s != change.server)
        return accepting

    def _apply_pending_views(self) -> None:
        now = self._world.now
        for balancer in self._world.balancers.values():
            while balancer.pending and balancer.pending[0][0] <= now:
                at, balancer.revision = balancer.pending.popleft()
                if balancer.alive:
                    self._apply_view(balancer, at)

    def _apply_view(self, balancer: Balancer, at: Seconds) -> None:
        balancer.applied[balancer.revision] = at
        schemes.view_applied(self._scheme, balancer, self._world)

    def _handle_delivery(self, packet: _Packet, server: BackendServerId) -> None:
        flow = packet.flow
        flow.retries = 0
        if flow.server is None:
            flow.server = server
            self._open_flows[server] += 1
            self._result.opened += 1
        elif flow.server != server:
            self._result.misdirected += 1
            self._break_flow(flow)
            return
        if packet.kind is PacketKind.CLOSING:
            flow.closed = True
            self._end_flow(flow)
            return
        self._schedule_next(flow)

    def _schedule_next(self, flow: Flow) -> None:
        at = self._world.now + model.PACKET_INTERVAL
        if at < flow.end:
            self._schedule(at, _Packet(flow, PacketKind.MIDDLE))
        else:
            at = max(self._world.now, flow.end)
            self._schedule(at, _Packet(flow, PacketKind.CLOSING))

    def _handle_loss(self, packet: _Packet) -> None:
        flow = packet.flow
        if flow.retries < len(RETRANSMISSION_DELAYS):
            wait = RETRANSMISSION_DELAYS[flow.retries]
            flow.retries += 1
            self._schedule(self._world.now + wait, packet)
        elif flow.server is None:
            self._result.never_opened += 1
            flow.broken = True
        else:
            self._result.timed_out += 1
            self._break_flow(flow)

    def _break_flow(self, flow: Flow) -> None:
        flow.broken = True
        self._end_flow(flow)

    def _end_flow(self, flow: Flow) -> None:
        assert flow.server is not None
        self._open_flows[flow.server] -= 1
        schemes.flow_ended(self._scheme, flow)
