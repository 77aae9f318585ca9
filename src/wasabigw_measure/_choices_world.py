"""Backend servers, callers and figures for the comparison of choices."""

import heapq
import itertools
import random
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.load.figures import COUNT_WINDOW, ServerFigures

SERVERS = 60
SLOTS = 2
QUEUE = 8
UTILIZATION = 0.6
"""Requests in service for each slot, if load is even."""
REQUEST_TIME = (0.015, 0.06)
"""Bounds of the time of a request in a slot of speed 1."""
SINGLE_SHARE = 0.3
"""Part of the requests on flows of their own."""
REQUESTS_PER_FLOW = 20
"""Mean number of requests on a long flow."""
MEAN_PAUSE = 0.5
REJECTED_AFTER = Seconds(0.15)
RETRIES = 2
RETRY_DELAY = Seconds(0.005)
SNAPSHOT_INTERVAL = 0.1
WARM_UP = 6.0
HORIZON = 26.0
Snapshot = list[ServerFigures]
CHANGE = (10.0, 18.0)
"""Time during which backend servers have other speeds than before and after."""


@dataclass(slots=True)
class CallerFlow:
    """Requests of a caller on one flow.

    :param requests: pause before each request, and its time in a slot of speed 1.
    """

    balancer: int
    requests: deque[tuple[float, float]]
    tries: int = 0
    opened_at: float = 0.0
    server: int | None = None


class Speeds(NamedTuple):
    """Speed of each backend server, and during :data:`CHANGE`."""

    usual: Sequence[float]
    during_change: Sequence[float]


Choose = Callable[[int, "World"], int]
"""Chooses the backend server of a new flow at a balancer."""


@dataclass(slots=True)
class ModelServer:
    """A backend server with slots and a queue."""

    speed: float
    flows: int = 0
    busy: int = 0
    queue: deque[tuple[float, CallerFlow, float]] = field(default_factory=deque)
    openings: deque[float] = field(default_factory=deque)
    answers: deque[tuple[float, float]] = field(default_factory=deque)

    @property
    def in_flight(self) -> int:
        """Requests in slots and in the queue."""
        return self.busy + len(self.queue)


class World:
    """Event list of one run.

    :param age: mean age of the figures that a balancer uses.
    :ivar own_flows: open flows of each balancer at each backend server.
    :ivar own_open: number of open flows of each balancer, and the sum of the times at
        which they were opened.
    :ivar snapshots: figures of all backend servers, one set for each interval.
    :ivar work: for each second and backend server, the work that it accepted relative
        to its capacity.
    """

    def __init__(
        self, choose: Choose, speeds: Speeds, balancers: int, age: float, seed: int
    ) -> None:
        self.now = 0.0
        self.balancers = balancers
        self.servers = [ModelServer(speed) for speed in speeds.usual]
        self.random = random.Random(f"{seed}:choices")
        self.waits: list[float] = []
        self.own_flows: Counter[tuple[int, int]] = Counter()
        self.own_open: defaultdict[int, tuple[int, float]] = defaultdict(lambda: (0, 0))
        self.work: defaultdict[tuple[int, int], float] = defaultdict(float)
        self.openings = self.rejected = self.lost = 0
        self._choose = choose
        self.age = age
        self._interval = min(1.0, age)
        self.snapshots: list[Snapshot] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._draw_flows(random.Random(f"{seed}:flows"), sum(speeds.during_change))
        self.schedule(CHANGE[0], partial(self._set_speeds, speeds.during_change))
        self.schedule(CHANGE[1], partial(self._set_speeds, speeds.usual))
        for number in range(int(HORIZON / SNAPSHOT_INTERVAL)):
            self.schedule(number * SNAPSHOT_INTERVAL, self._measure)

    def run(self) -> None:
        """Process all events up to the horizon."""
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            if self.now > HORIZON:
                return
            action()

    def schedule(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def figures_at(self, balancer: int) -> tuple[int, Snapshot]:
        """Number of the latest snapshot that a balancer has received, and it."""
        # Multiples of the golden ratio spread the refreshes of the balancers evenly.
        phase = balancer * 0.618 % 1.0 * self._interval
        refreshes = (self.now - phase) // self._interval
        received = refreshes * self._interval + phase
        measured = received - self.age + self._interval / 2
        number = min(max(int(measured / SNAPSHOT_INTERVAL), 0), len(self.snapshots) - 1)
        return number, self.snapshots[number]

    def _draw_flows(self, draw: random.Random, speed: float) -> None:
        rate = UTILIZATION * SLOTS * speed / (sum(REQUEST_TIME) / 2)
        singles = SINGLE_SHARE * rate
        longs = (1 - SINGLE_SHARE) * rate / REQUESTS_PER_FLOW
        at = 0.0
        # Long flows that began before the run, so that it starts in a steady state.
        for _ in range(int(longs * REQUESTS_PER_FLOW * MEAN_PAUSE)):
            self._draw_flow(draw, draw.uniform(0, 1), True)
        while at < HORIZON:
            at += draw.expovariate(singles + longs)
            self._draw_flow(draw, at, draw.random() * (singles + longs) < longs)

    def _draw_flow(self, draw: random.Random, at: float, is_long: bool) -> None:
        count = 1 if not is_long else 1 + int(draw.expovariate(1 / REQUESTS_PER_FLOW))
        requests = deque(
            (draw.expovariate(1 / MEAN_PAUSE), draw.uniform(*REQUEST_TIME))
            for _ in range(count)
        )
        balancer = draw.randrange(self.balancers)
        self.schedule(at, partial(self._open, CallerFlow(balancer, requests)))

    def _set_speeds(self, speeds: Sequence[float]) -> None:
        for server, speed in zip(self.servers, speeds, strict=True):
            server.speed = speed

    def _open(self, flow: CallerFlow) -> None:
        flow.server = chosen = self._choose(flow.balancer, self)
        server = self.servers[chosen]
        server.flows += 1
        flow.opened_at = self.now
        self.own_flows[flow.balancer, chosen] += 1
        count, opened_at = self.own_open[flow.balancer]
        self.own_open[flow.balancer] = count + 1, opened_at + self.now
        server.openings.append(self.now)
        is_measured = self.now >= WARM_UP
        self.openings += is_measured
        if server.in_flight >= SLOTS + QUEUE and is_measured:
            self.rejected += any(s.in_flight < SLOTS for s in self.servers)
        self._request(flow)

    def _request(self, flow: CallerFlow) -> None:
        assert flow.server is not None
        server = self.servers[flow.server]
        if server.in_flight >= SLOTS + QUEUE:
            self.schedule(self.now + REJECTED_AFTER, partial(self._reject, flow))
            return
        work = flow.requests[0][1]
        if self.now >= WARM_UP:
            second = int(self.now)
            self.work[second, flow.server] += work / (SLOTS * server.speed)
        server.queue.append((self.now, flow, work))
        self._start_next(server)

    def _reject(self, flow: CallerFlow) -> None:
        assert flow.server is not None
        self._close(flow)
        flow.tries += 1
        if flow.tries > RETRIES:
            self.lost += 1
            return
        flow.balancer = self.random.randrange(self.balancers)
        self.schedule(self.now + RETRY_DELAY, partial(self._open, flow))

    def _close(self, flow: CallerFlow) -> None:
        assert flow.server is not None
        self.servers[flow.server].flows -= 1
        self.own_flows[flow.balancer, flow.server] -= 1
        count, opened_at = self.own_open[flow.balancer]
        self.own_open[flow.balancer] = count - 1, opened_at - flow.opened_at

    def _start_next(self, server: ModelServer) -> None:
        while server.queue and server.busy < SLOTS:
            sent_at, flow, work = server.queue.popleft()
            server.busy += 1
            if self.now >= WARM_UP:
                self.waits.append(self.now - sent_at)
            done = self.now + work / server.speed
            self.schedule(done, partial(self._answer, server, flow, sent_at))

    def _answer(self, server: ModelServer, flow: CallerFlow, sent_at: float) -> None:
        server.busy -= 1
        server.answers.append((self.now, self.now - sent_at))
        flow.requests.popleft()
        flow.tries = 0
        if flow.requests:
            pause = flow.requests[0][0]
            self.schedule(self.now + pause, partial(self._request, flow))
        else:
            self._close(flow)
        self._start_next(server)

    def _measure(self) -> None:
        since = self.now - COUNT_WINDOW
        figures = []
        for number, server in enumerate(self.servers):
            while server.openings and server.openings[0] < since:
                server.openings.popleft()
            while server.answers and server.answers[0][0] < since:
                server.answers.popleft()
            figures.append(
                ServerFigures(
                    Tag(number),
                    server.flows,
                    server.in_flight,
                    len(server.openings),
                    len(server.answers),
                    Seconds(sum(took for _, took in server.answers)),
                )
            )
        self.snapshots.append(figures)
