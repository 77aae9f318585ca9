"""Random but reproducible plan of the flows that a caller opens."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import RequestId, Seconds
from wasabigw.core.states import Protocol
from wasabigw_demo.exchange import Request

SHORT_ANSWER_SIZES = (200, 2_000, 20_000)
DATAGRAM_ANSWER_SIZES = (100, 900, 4_000)
LONG_ANSWER_SIZE = 150_000
NON_IDEMPOTENT_FRACTION = 0.3
MAX_REQUESTS_PER_SHORT_FLOW = 3


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
    """A planned flow and its requests, which are sent one after the other.

    :param start: seconds from the start of the caller to the opening of the flow.
    :param traced: whether the first packets of the flow carry a trace context.
    """

    name: str
    start: Seconds
    kind: FlowKind
    target: Target
    requests: tuple[Request, ...]
    traced: bool = False


@dataclass(frozen=True, slots=True)
class Workload:
    """Amount of traffic that a caller generates.

    :param duration: seconds in which flows are opened.
    :param short_rate: short TCP flows per second.
    :param datagram_rate: UDP flows per second.
    :param long_flows: number of long downloads, opened within the first second.
    :param long_seconds: duration of each long download.
    """

    duration: Seconds
    short_rate: float
    datagram_rate: float
    long_flows: int
    long_seconds: float


def plan_flows(
    name: str, targets: list[Target], workload: Workload, seed: int
) -> list[FlowPlan]:
    """Plan the flows of a caller, sorted by start time."""
    generator = random.Random(f"{seed}:{name}")
    tcp_targets = [target for target in targets if target.protocol is Protocol.TCP]
    udp_targets = [target for target in targets if target.protocol is Protocol.UDP]
    plans: list[FlowPlan] = []
    if tcp_targets:
        plans += _long_flows(name, tcp_targets, workload, generator)
        plans += _short_flows(name, tcp_targets, workload, generator)
    if udp_targets:
        plans += _datagram_flows(name, udp_targets, workload, generator)
    return sorted(plans, key=lambda plan: plan.start)


def _long_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    for number in range(workload.long_flows):
        flow = f"{name}-long-{number}"
        request = Request(
            RequestId(f"{flow}-0"), LONG_ANSWER_SIZE, True, workload.long_seconds
        )
        start = Seconds(generator.uniform(0.0, 1.0))
        target = targets[number % len(targets)]
        yield FlowPlan(
            flow, start, FlowKind.LONG, target, (request,), traced=number == 0
        )


def _short_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    for number, start in enumerate(
        _poisson_starts(workload, workload.short_rate, generator)
    ):
        flow = f"{name}-short-{number}"
        requests = tuple(
            _request(f"{flow}-{part}", SHORT_ANSWER_SIZES, generator)
            for part in range(generator.randint(1, MAX_REQUESTS_PER_SHORT_FLOW))
        )
        target = generator.choice(targets)
        yield FlowPlan(flow, start, FlowKind.SHORT, target, requests)


def _datagram_flows(
    name: str, targets: list[Target], workload: Workload, generator: random.Random
) -> Iterator[FlowPlan]:
    starts = _poisson_starts(workload, workload.datagram_rate, generator)
    for number, start in enumerate(starts):
        flow = f"{name}-udp-{number}"
        request = _request(f"{flow}-0", DATAGRAM_ANSWER_SIZES, generator)
        target = generator.choice(targets)
        yield FlowPlan(flow, start, FlowKind.DATAGRAM, target, (request,))


def _poisson_starts(
    workload: Workload, rate: float, generator: random.Random
) -> Iterator[Seconds]:
    start = 0.0
    while rate > 0:
        start += generator.expovariate(rate)
        if start >= workload.duration:
            return
        yield Seconds(start)


def _request(name: str, sizes: tuple[int, ...], generator: random.Random) -> Request:
    idempotent = generator.random() >= NON_IDEMPOTENT_FRACTION
    return Request(RequestId(name), generator.choice(sizes), idempotent)
