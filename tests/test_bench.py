"""Tests of the data path benchmark."""

import unittest
from contextlib import redirect_stdout
from io import StringIO

from wasabigw_measure import bench
from wasabigw_measure._bench_run import Rate, Results


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
