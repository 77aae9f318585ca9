"""Which flows a caller opens, drawn from a seed."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import RequestId, Seconds
from wasabigw.core.states import Protocol
from wasabigw_demo.exchange import Request

SHORT_SIZES = (200, 2_000, 20_000)
DATAGRAM_SIZES = (100, 900, 4_000)
LONG_SIZE = 150_000
NON_IDEMPOTENT_SHARE = 0.3
MAX_REQUESTS_PER_FLOW = 3


class FlowKind(Enum):
    """Traffic pattern of a flow."""

    SHORT = "short"
    LONG = "long"
    DATAGRAM = "datagram"


@dataclass(frozen=True, slots=True)
class Target:
    """A service that the caller uses."""

    name: str
    protocol: Protocol
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class FlowPlan:
    """A flow and the requests that it carries one after the other.

    :param start: seconds after the start of the caller.
    """

    name: str
    start: Seconds
    kind: FlowKind
    target: Target
    requests: tuple[Request, ...]
    traced: bool = False


@dataclass(frozen=True, slots=True)
class Workload:
    """How much a caller does.

    :param duration: seconds in which flows are opened.
    :param short_rate: short TCP flows per second.
    :param datagram_rate: UDP flows per second.
    :param long_flows: downloads that are opened within the first second.
    :param long_seconds: duration of each of them.
    """

    duration: Seconds
    short_rate: float
    datagram_rate: float
    long_flows: int
    long_seconds: float


def plan_flows(
    name: str, targets: list[Target], workload: Workload, seed: int
) -> list[FlowPlan]:
    """Flows of a caller in the order of their start."""
    generator = random.Random(f"{seed}:{name}")
    by_tcp = [target for target in targets if target.protocol is Protocol.TCP]
    by_udp = [target for target in targets if target.protocol is Protocol.UDP]
    plans: list[FlowPlan] = []
    if by_tcp:
        plans += _long_flows(name, by_tcp, workload, generator)
        plans += _short_flows(name, by_tcp, workload, generator)
    if by_udp:
        plans += _datagram_flows(name, by_udp, workload, generator)
    return sorted(plans, key=lambda plan: plan.start)


def _long_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    for number in range(workload.long_flows):
        flow = f"{name}-long-{number}"
        request = Request(
            RequestId(f"{flow}-0"), LONG_SIZE, True, workload.long_seconds
        )
        start = Seconds(generator.uniform(0.0, 1.0))
        target = targets[number % len(targets)]
        yield FlowPlan(
            flow, start, FlowKind.LONG, target, (request,), traced=number == 0
        )


def _short_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    for number, start in enumerate(_starts(workload, workload.short_rate, generator)):
        flow = f"{name}-short-{number}"
        requests = tuple(
            _request(f"{flow}-{part}", SHORT_SIZES, generator)
            for part in range(generator.randint(1, MAX_REQUESTS_PER_FLOW))
        )
        target = generator.choice(targets)
        yield FlowPlan(flow, start, FlowKind.SHORT, target, requests)


def _datagram_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    starts = _starts(workload, workload.datagram_rate, generator)
    for number, start in enumerate(starts):
        flow = f"{name}-udp-{number}"
        request = _request(f"{flow}-0", DATAGRAM_SIZES, generator)
        target = generator.choice(targets)
        yield FlowPlan(flow, start, FlowKind.DATAGRAM, target, (request,))


def _starts(
    workload: Workload, rate: float, generator: random.Random
) -> Iterator[Seconds]:
    now = 0.0
    while rate > 0:
        now += generator.expovariate(rate)
        if now >= workload.duration:
            return
        yield Seconds(now)


def _request(name: str, sizes: tuple[int, ...], generator: random.Random) -> Request:
    idempotent = generator.random() >= NON_IDEMPOTENT_SHARE
    return Request(RequestId(name), generator.choice(sizes), idempotent)
