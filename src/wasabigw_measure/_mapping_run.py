"""Event loop of the comparison: the same workload and changes for each scheme."""

import heapq
import itertools
import random
from collections import Counter
from dataclasses import dataclass, field
from functools import singledispatchmethod
from statistics import fmean

from wasabigw.core.ids import BackendServerId, NodeId, Seconds
from wasabigw_measure import _mapping_scheme as schemes
from wasabigw_measure import _mapping_world as world_model
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

RETRANSMISSIONS = (0.3, 0.6, 1.2, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0, 2.0)
"""Waits of a caller before it repeats a packet; after the last the flow broke."""
SAMPLE_INTERVAL = Seconds(5.0)
TICK_INTERVAL = Seconds(1.0)
WARM_UP = Seconds(60.0)
"""Time before the first sample of the imbalance."""


@dataclass(frozen=True, slots=True)
class _Packet:
    flow: Flow
    kind: PacketKind


@dataclass(frozen=True, slots=True)
class _Sample:
    """The load and the flow entries are measured."""


@dataclass(frozen=True, slots=True)
class _Tick:
    """The scheme may propose a change."""


@dataclass(frozen=True, slots=True)
class _NodeRemoved:
    """The crash of a balancer is committed."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class _FabricNoticed:
    """The fabric stops sending to a balancer that crashed."""

    node: NodeId


@dataclass(slots=True)
class Measured:
    """Counters of one run.

    :param update_bytes: log entries that the scheme itself proposed.
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
    update_bytes: int = 0
    server_changes: int = 0
    node_changes: int = 0
    imbalance: list[float] = field(default_factory=list)
    entries_per_flow: list[float] = field(default_factory=list)

    @property
    def broken(self) -> int:
        """Flows that did not survive."""
        return self.misdirected + self.reset + self.timed_out

    @property
    def mean_imbalance(self) -> float:
        """Open flows of the fullest accepting backend server over the mean."""
        return fmean(self.imbalance)

    @property
    def mean_entries(self) -> float:
        """Flow entries in all balancers for each open flow."""
        return fmean(self.entries_per_flow)


class Run:
    """One scheme under the workload of one seed."""

    def __init__(self, scheme: Scheme, seed: int) -> None:
        self._scheme = scheme
        self._spray = random.Random(f"{seed}:spray")
        self._world = world_model.first_world(random.Random(f"{seed}:delays"))
        self._sprayed = list(self._world.balancers)
        self._queue: list[tuple[Seconds, int, object]] = []
        self._order = itertools.count()
        self._open: Counter[BackendServerId] = Counter()
        self._measured = Measured()
        self._server_changes = world_model.draw_server_changes(
            random.Random(f"{seed}:servers")
        )
        self._schedule_all(seed)

    def run(self) -> Measured:
        """Process all events up to the horizon."""
        view = self._world.committed
        schemes.view_committed(self._scheme, view, self._world)
        for balancer in self._world.balancers.values():
            self._applied(balancer, Seconds(0.0))
        while self._queue:
            at, _, event = heapq.heappop(self._queue)
            if at > world_model.HORIZON:
                break
            self._world.now = at
            self._handle(event)
        return self._measured

    def _schedule_all(self, seed: int) -> None:
        for flow in world_model.draw_flows(random.Random(f"{seed}:flows")):
            self._schedule(flow.start, _Packet(flow, PacketKind.OPENING))
        for at, server_change in self._server_changes:
            self._schedule(at, server_change)
        generator = random.Random(f"{seed}:balancers")
        for at, balancer_change in world_model.draw_balancer_changes(generator):
            self._schedule(at, balancer_change)
        for number in range(1, int(world_model.HORIZON / SAMPLE_INTERVAL)):
            self._schedule(number * SAMPLE_INTERVAL, _Sample())
        for number in range(1, int(world_model.HORIZON / TICK_INTERVAL)):
            self._schedule(number * TICK_INTERVAL, _Tick())

    def _schedule(self, at: float, event: object) -> None:
        heapq.heappush(self._queue, (Seconds(at), next(self._order), event))

    @singledispatchmethod
    def _handle(self, event: object) -> None:
        raise TypeError(f"no event: {event!r}")

    @_handle.register
    def _(self, event: _Packet) -> None:
        flow = event.flow
        if flow.broken or flow.closed:
            return
        balancer = self._world.balancers[self._spray.choice(self._sprayed)]
        self._measured.packets += 1
        if not balancer.alive:
            self._lost(event)
            return
        self._catch_up()
        carried = schemes.carry(self._scheme, flow, event.kind, balancer, self._world)
        self._measured.forwards += carried.forwards
        self._measured.queries += carried.queries
        self._measured.control_bytes += carried.control_bytes
        if carried.reset and flow.server is not None:
            self._measured.reset += 1
            self._break(flow)
        elif carried.server is None:
            self._lost(event)
        else:
            self._delivered(event, carried.server)

    @_handle.register
    def _(self, event: ServerJoins) -> None:
        accepting = (*self._world.committed.accepting, event.server)
        self._measured.server_changes += 1
        self._commit_servers(tuple(sorted(accepting)))

    @_handle.register
    def _(self, event: ServerDrains) -> None:
        accepting = self._world.committed.accepting
        self._measured.server_changes += 1
        self._commit_servers(tuple(s for s in accepting if s != event.server))

    @_handle.register
    def _(self, event: BalancerCrashes) -> None:
        alive = [b for b in self._world.balancers.values() if b.alive]
        victim = self._spray.choice(alive)
        victim.alive = False
        schemes.balancer_lost(self._scheme, victim.node)
        now = self._world.now
        self._schedule(now + world_model.HEALTH_DELAY, _FabricNoticed(victim.node))
        removal = _NodeRemoved(victim.node)
        self._schedule(now + world_model.DETECTION_TIME, removal)

    @_handle.register
    def _(self, event: _FabricNoticed) -> None:
        self._sprayed.remove(event.node)

    @_handle.register
    def _(self, event: _NodeRemoved) -> None:
        nodes = self._world.committed.nodes
        self._commit_nodes(tuple(node for node in nodes if node != event.node))

    @_handle.register
    def _(self, event: BalancerJoins) -> None:
        world = self._world
        zones = Counter(dict.fromkeys(world_model.ZONES, 0))
        zones.update(b.zone for b in world.balancers.values() if b.alive)
        zone = min(zones, key=lambda name: zones[name])
        balancer = Balancer(event.node, zone, world.committed.revision)
        world.balancers[event.node] = balancer
        self._sprayed.append(event.node)
        self._applied(balancer, world.now)
        self._commit_nodes((*world.committed.nodes, event.node))

    @_handle.register
    def _(self, event: _Sample) -> None:
        self._catch_up()
        accepting = self._world.committed.accepting
        total = sum(self._open.values())
        if total and self._world.now >= WARM_UP:
            loads = [self._open[server] for server in accepting]
            self._measured.imbalance.append(max(loads) / fmean(loads))
            entries = schemes.entries(self._scheme)
            self._measured.entries_per_flow.append(entries / total)

    @_handle.register
    def _(self, event: _Tick) -> None:
        self._catch_up()
        proposed = schemes.proposes_change(self._scheme, self._world)
        if proposed:
            self._measured.update_bytes += proposed
            committed = self._world.committed
            self._commit(committed.accepting, committed.nodes)

    def _commit_servers(self, accepting: tuple[BackendServerId, ...]) -> None:
        self._commit(accepting, self._world.committed.nodes)

    def _commit_nodes(self, nodes: tuple[NodeId, ...]) -> None:
        self._measured.node_changes += 1
        self._commit(self._world.committed.accepting, nodes)

    def _commit(
        self, accepting: tuple[BackendServerId, ...], nodes: tuple[NodeId, ...]
    ) -> None:
        view = self._world.commit(accepting, self._upcoming(accepting), nodes)
        schemes.view_committed(self._scheme, view, self._world)

    def _upcoming(
        self, accepting: tuple[BackendServerId, ...]
    ) -> tuple[BackendServerId, ...]:
        for at, change in self._server_changes:
            if at <= self._world.now:
                continue
            if isinstance(change, ServerJoins):
                return tuple(sorted((*accepting, change.server)))
            return tuple(s for s in accepting if s != change.server)
        return accepting

    def _catch_up(self) -> None:
        now = self._world.now
        for balancer in self._world.balancers.values():
            while balancer.pending and balancer.pending[0][0] <= now:
                at, balancer.revision = balancer.pending.popleft()
                if balancer.alive:
                    self._applied(balancer, at)

    def _applied(self, balancer: Balancer, at: Seconds) -> None:
        balancer.applied[balancer.revision] = at
        schemes.view_applied(self._scheme, balancer, self._world)

    def _delivered(self, packet: _Packet, server: BackendServerId) -> None:
        flow = packet.flow
        flow.tries = 0
        if flow.server is None:
            flow.server = server
            self._open[server] += 1
            self._measured.opened += 1
        elif flow.server != server:
            self._measured.misdirected += 1
            self._break(flow)
            return
        if packet.kind is PacketKind.CLOSING:
            flow.closed = True
            self._end(flow)
            return
        self._schedule_next(flow)

    def _schedule_next(self, flow: Flow) -> None:
        at = self._world.now + world_model.PACKET_INTERVAL
        if at < flow.end:
            self._schedule(at, _Packet(flow, PacketKind.MIDDLE))
        else:
            at = max(self._world.now, flow.end)
            self._schedule(at, _Packet(flow, PacketKind.CLOSING))

    def _lost(self, packet: _Packet) -> None:
        flow = packet.flow
        if flow.tries < len(RETRANSMISSIONS):
            wait = RETRANSMISSIONS[flow.tries]
            flow.tries += 1
            self._schedule(self._world.now + wait, packet)
        elif flow.server is None:
            self._measured.never_opened += 1
            flow.broken = True
        else:
            self._measured.timed_out += 1
            self._break(flow)

    def _break(self, flow: Flow) -> None:
        flow.broken = True
        self._end(flow)

    def _end(self, flow: Flow) -> None:
        assert flow.server is not None
        self._open[flow.server] -= 1
        schemes.flow_ended(self._scheme, flow)
