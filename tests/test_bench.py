"""Tests of the data path benchmark."""

import unittest
from collections.abc import Sequence
from contextlib import redirect_stdout
from io import StringIO
from typing import Any
from unittest import mock

from wasabigw_measure import bench
from wasabigw_measure._bench_run import Benchmark, BenchSettings, Rate, Results, Worker


class StubWorker(Worker):
    """A subject or sender whose packet counts and processor times are given.

    :param statuses: packets and processor time of each status, in order.
    """

    def __init__(self, statuses: Sequence[tuple[int, float]] = ()) -> None:
        self._statuses = iter(statuses)

    def send(self, *command: Any) -> None:
        """Ignore a command."""

    def receive(self) -> Any:
        """Return the result of a sender at once."""
        return 0

    def call(self, *command: Any) -> Any:
        """Return the next status, or an address."""
        if command != ("status",):
            return ("127.0.0.1", 9)
        received, cpu = next(self._statuses)
        return {"received": received, "cpu": cpu}


class DataPathBenchmark(unittest.TestCase):
    """Guards against a benchmark that does not run, or that inverts its ratios."""

    def test_tiny_run(self) -> None:
        output = StringIO()
        with redirect_stdout(output):
            bench.main(rounds=1, seconds=0.1, flows=3_000, probes=20, baseline=None)
        titles = ("one candidate", "by tag", "new flows", "latency p99", "memory")
        for title in titles:
            self.assertIn(title, output.getvalue())

    def test_ratio_is_of_the_balancer_to_the_other(self) -> None:
        rates = {"loop": [Rate(200.0, 1e-6)], "balancer": [Rate(100.0, 3e-6)]}
        latencies = {"loop": [(1e-6, 2e-6)], "balancer": [(2e-6, 8e-6)]}
        text = "\n".join(bench.table(Results({"data": rates}, latencies), "loop"))
        for ratio in ("0.500 (0.500", "3.000 (3.000", "2.000 (2.000", "4.000 (4.000"):
            self.assertIn(ratio, text)

    def test_a_round_in_which_the_loop_did_not_run_is_measured_again(self) -> None:
        # On a busy machine, the loop passed no packet in 0.1 s. The ratio to its
        # processor time of zero ended the benchmark.
        loop = StubWorker([(5, 0.25), (5, 0.25), (5, 0.25), (8, 0.25), (9, 1), (13, 3)])
        balancer = StubWorker([(0, 0.0), (2, 4.0)])
        subjects: dict[str, Worker] = {"loop": loop, "balancer": balancer}
        settings = BenchSettings(rounds=1, seconds=0.01)
        unused = mock.Mock()
        run = Benchmark(subjects, unused, [StubWorker()], unused, unused, settings)
        run._measure_rates("data", "data")
        rates = {
            name: found.cpu_seconds
            for name, (found,) in run.results.rates["data"].items()
        }
        self.assertEqual(rates, {"loop": 0.5, "balancer": 2.0})
