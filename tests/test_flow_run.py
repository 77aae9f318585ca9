"""Simulated runs of the flow decisions, with balancers at different revisions."""

import unittest

from tests.flow_simulation import (
    COURSES,
    DOMAINS,
    SEATS,
    Flow,
    Simulation,
    add_backend,
    drain_backend,
    make_simulation,
    remove_node,
    set_node,
    set_step,
)
from wasabigw.core.states import NodeState


def open_flows(sim: Simulation, count: int) -> list[Flow]:
    """Send openings for both services; returns the flows that were accepted."""
    flows = [sim.make_flow(SEATS if n % 3 else COURSES) for n in range(count)]
    return [flow for flow in flows if sim.open(flow)]


def run(sim: Simulation, flows: list[Flow], seconds: int, opening: int = 0) -> None:
    """Send data on the flows, rarely on each seventh one, and open new ones."""
    for _ in range(seconds):
        sim.step(1.0)
        for number, flow in enumerate(flows):
            if number % 7 or int(sim.now) % 50 == number % 50:
                sim.send(flow)
        flows.extend(open_flows(sim, opening))


class PlannedChanges(unittest.TestCase):
    """Guards against flows that break while balancers are at different revisions."""

    def finish(self, sim: Simulation, flows: list[Flow]) -> None:
        for _ in range(40):
            sim.step(1.0)
            for flow in flows:
                sim.send(flow)
        self.assertEqual(sim.faults[:5], [])
        stuck = [f for f in flows if f.waiting_since and sim.now - f.waiting_since > 15]
        self.assertEqual(len(stuck), 0, sim.drops)

    def test_joins_drains_and_ramp_steps(self) -> None:
        sim = make_simulation(1)
        flows = open_flows(sim, 150)
        for number in range(20, 24):
            sim.commit(add_backend(f"b{number}", number, SEATS, step=1))
            run(sim, flows, 3, opening=4)
            for step in (2, 4, 8):
                sim.commit(set_step(f"b{number}", step))
                run(sim, flows, 2, opening=2)
        for name in ("b1", "b2", "b8"):
            sim.commit(drain_backend(name))
            run(sim, flows, 3, opening=4)
        run(sim, flows, 60)
        self.finish(sim, flows)

    def test_balancers_join_crash_and_drain(self) -> None:
        sim = make_simulation(2)
        flows = open_flows(sim, 150)
        for number in range(10, 14):
            sim.commit(add_backend(f"b{number + 10}", number + 10, SEATS))
            run(sim, flows, 4, opening=4)
            sim.start_balancer(f"n{number}", DOMAINS[number % 3])
            run(sim, flows, 30, opening=1)
            crashed = f"n{number - 10}"
            del sim.balancers[next(n for n in sim.balancers if n == crashed)]
            run(sim, flows, 3)
            sim.commit(remove_node(crashed))
            run(sim, flows, 200, opening=0)
        sim.commit(set_node("n5", DOMAINS[2], NodeState.DRAINING))
        run(sim, flows, 30)
        del sim.balancers[next(n for n in sim.balancers if n == "n5")]
        sim.commit(remove_node("n5"))
        run(sim, flows, 30)
        self.finish(sim, flows)

    def test_candidates_are_released_and_slow_flows_stay(self) -> None:
        sim = make_simulation(3)
        flows = open_flows(sim, 100)
        run(sim, flows, 20)
        sim.commit(drain_backend("b1"))
        run(sim, flows, 700)
        self.assertGreater(sim.reports, 0)
        self.finish(sim, flows)
