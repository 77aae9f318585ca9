"""Measure the processor time of a choice of a backend server.

Run it with ``python -m wasabigw_measure.choice_cost``. It prints the table of
docs/CAPACITY.md and asserts nothing.
"""

import time
from collections.abc import Callable

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.load.figures import MAX_RETURNED_SERVERS, ServerFigures
from wasabigw.core.load.known import KnownLoad
from wasabigw.core.registration import Registration
from wasabigw.core.tags.choice.balancing import choose_by_load
from wasabigw.core.tags.choice.planning import current_plan
from wasabigw.core.tags.choice.selection import choose_server
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import rebuild_pools

SIZES = (4, 20, 200, 4000)
ROUNDS = 5
NOW = Seconds(1.0)
SERVICE = ServiceId("service")
DOMAIN = FailureDomainId("domain")


def make_state(count: int) -> TagState:
    """State of a balancer with one service and load figures of its backend servers."""
    state = TagState(NodeId("n0"), DOMAIN)
    for number in range(1, count + 1):
        boot = Registration(
            Tag(number),
            BackendServerId(f"b{number}"),
            SERVICE,
            DOMAIN,
            Endpoint("10.0.0.1", 8080),
            1,
            2,
        )
        state.view.boots[boot.tag] = boot
    rebuild_pools(state, Seconds(0.0))
    named = list(state.servers)[:MAX_RETURNED_SERVERS]
    figures = {
        tag: ServerFigures(tag, 10 + tag % 7, 1, 5, 40, Seconds(1.6)) for tag in named
    }
    state.known_load = KnownLoad(Seconds(0.5), 80, figures)
    return state


def microseconds(action: Callable[[], object], repeats: int) -> float:
    """Processor time of an action; the shortest of some rounds."""
    times = []
    for _ in range(ROUNDS):
        begun = time.process_time()
        for _ in range(repeats):
            action()
        times.append(time.process_time() - begun)
    return 1e6 * min(times) / repeats


def _renew(state: TagState) -> None:
    """Make the plan of a service as after new figures."""
    state.plans[SERVICE].made_at = Seconds(-9.0)
    state.known_load.measured_at = Seconds(state.known_load.measured_at + 1e-6)
    current_plan(SERVICE, state, NOW)


def main() -> None:
    """Print the table."""
    print("| candidates | choice, us | renewal of the shares, us | by own flows, us |")
    print("|---|---|---|---|")
    for size in SIZES:
        state = make_state(size)
        choice = microseconds(lambda: choose_by_load(SERVICE, state, NOW), 2000)  # noqa: B023
        renewal = microseconds(lambda: _renew(state), max(2, 4000 // size))  # noqa: B023
        own = microseconds(
            lambda: choose_server(SERVICE, state, NOW),  # noqa: B023
            max(2, 4000 // size),
        )
        print(f"| {size:,} | {choice:.1f} | {renewal:,.0f} | {own:,.0f} |")


if __name__ == "__main__":
    main()
