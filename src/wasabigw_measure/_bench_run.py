"""Rounds of the benchmark, which alternate between balancers and the plain loop."""

import json
import os
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from wasabigw_measure._bench_frames import CALLERS, binding_frame, data_frames

LOOPBACK = "127.0.0.1"
SENDERS = 2
WORKER_TIMEOUT = 30.0
DRAIN_WAIT = 0.05
"""Seconds after a round in which the receive buffer drains."""
TAKEOVER_WAIT = 1.8
"""Seconds after which a new home admits flows."""
QUANTILE_COUNT = 100


@dataclass(frozen=True, slots=True)
class BenchSettings:
    """Settings of one run.

    :param rounds: number of rounds of each kind.
    :param seconds: duration of each round.
    :param flows: number of open flows at which memory is measured.
    :param probes: number of packets of each latency round.
    """

    rounds: int = 5
    seconds: float = 0.6
    flows: int = 300_000
    probes: int = 2_000


@dataclass(frozen=True, slots=True)
class Rate:
    """Throughput of one process in one round.

    :param per_second: packets or flows per second.
    :param cpu_seconds: processor time per packet or flow.
    """

    per_second: float
    cpu_seconds: float


@dataclass(slots=True)
class Results:
    """Results by subject: ``loop``, ``balancer`` and, if one is given, ``baseline``.

    :param rates: rate of each round, by kind of round and subject.
    :param latencies: p50 and p99 in seconds of each round, by subject.
    :param memory_per_flow: bytes per open flow, by subject.
    :param gc_pauses: longest pause of the garbage collector in seconds, by subject.
    :param flows: number of open flows at which memory was measured.
    """

    rates: dict[str, dict[str, list[Rate]]] = field(default_factory=dict)
    latencies: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    memory_per_flow: dict[str, float] = field(default_factory=dict)
    gc_pauses: dict[str, float] = field(default_factory=dict)
    flows: int = 0


class Worker:
    """A benchmark process that executes commands.

    :param source: source folder of the version to run; ``None`` for this version.
    :param role: role of the process, see :mod:`wasabigw_measure._bench_worker`.
    """

    def __init__(self, source: Path | None, role: str, *arguments: str) -> None:
        command = [sys.executable, "-m", "wasabigw_measure._bench_worker", role]
        environment = dict(os.environ)
        if source is not None:
            environment["PYTHONPATH"] = str(source)
        self._process = subprocess.Popen(
            [*command, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env=environment,
        )

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(WORKER_TIMEOUT)
        except subprocess.TimeoutExpired:
            self._process.kill()

    def send(self, *command: Any) -> None:
        """Send a command."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()

    def receive(self) -> Any:
        """Wait for the result of the last command."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError(
                "benchmark process exited without a result; see its error output above"
            )
        return json.loads(line)

    def call(self, *command: Any) -> Any:
        """Send a command and wait for its result."""
        self.send(*command)
        return self.receive()


@dataclass(slots=True)
class Benchmark:
    """A benchmark and its running processes.

    :param subjects: measured processes by name; the first is the loop.
    :param tag_task: process with the packet task that delivers by tags.
    :param sink: socket that receives the packets for callers and backend servers.
    :param peer: socket of the second balancer, which sends bindings and probes.
    :param next_callers: number of the next caller that opens a flow, by subject.
    """

    subjects: dict[str, Worker]
    tag_task: Worker
    senders: list[Worker]
    sink: socket.socket
    peer: socket.socket
    settings: BenchSettings
    results: Results = field(default_factory=Results)
    next_callers: dict[str, int] = field(default_factory=dict)

    def run(self) -> Results:
        """Run all measurements."""
        for subject in self.subjects.values():
            subject.call("address")
        for sender in self.senders:
            sender.call("ready")
        time.sleep(TAKEOVER_WAIT)
        self._measure_rates("mid-flow packets, one candidate", "data")
        self._measure_rates("answers", "answers")
        self._measure_tag_rates()
        self._measure_latencies()
        self._measure_opening_rates()
        self._measure_memory()
        self._install_bindings()
        self._measure_rates("mid-flow packets, by cached binding", "data")
        return self.results

    def _port(self, name: str) -> int:
        return int(self.subjects[name].call("address")[1])

    def _measure_rates(self, title: str, kind: str) -> None:
        rates = self.results.rates.setdefault(title, {n: [] for n in self.subjects})
        for _ in range(self.settings.rounds):
            for name in self.subjects:
                rates[name].append(self._measure_rate_of(name, kind))

    def _measure_tag_rates(self) -> None:
        pair = {"loop": self.subjects["loop"], "balancer": self.tag_task}
        rates: dict[str, list[Rate]] = {name: [] for name in pair}
        self.results.rates["mid-flow packets, by tag"] = rates
        for _ in range(self.settings.rounds):
            for name, subject in pair.items():
                rates[name].append(self._measure_rate(subject, "tagged"))

    def _measure_rate_of(self, name: str, kind: str) -> Rate:
        return self._measure_rate(self.subjects[name], kind)

    def _measure_rate(self, subject: Worker, kind: str) -> Rate:
        """Measure until a subject has passed packets in a round.

        On a busy machine, a subject may not run at all in a short round. Such a round
        has no rate that a ratio could be taken of.
        """
        deadline = time.monotonic() + WORKER_TIMEOUT
        while time.monotonic() < deadline:
            rate = self._measure_round(subject, kind)
            if rate is not None:
                return rate
        raise RuntimeError(f"no packet was passed within {WORKER_TIMEOUT:.0f} s")

    def _measure_round(self, subject: Worker, kind: str) -> Rate | None:
        """Rate of one round; ``None`` if the subject did not run in it."""
        port = int(subject.call("address")[1])
        seconds = self.settings.seconds
        for sender in self.senders:
            sender.send("saturate", port, kind, seconds)
        time.sleep(seconds / 4)
        before, started = subject.call("status"), time.monotonic()
        time.sleep(seconds / 2)
        after, ended = subject.call("status"), time.monotonic()
        for sender in self.senders:
            sender.receive()
        time.sleep(DRAIN_WAIT)
        count = after["received"] - before["received"]
        cpu_seconds = after["cpu"] - before["cpu"]
        if count <= 0 or cpu_seconds <= 0.0:
            return None
        return Rate(count / (ended - started), cpu_seconds / count)

    def _balancers(self) -> list[str]:
        return [name for name in self.subjects if name != "loop"]

    def _measure_opening_rates(self) -> None:
        """Measure new flows per second while opening packets exceed the capacity."""
        title = "new flows at the home"
        names = self._balancers()
        rates = self.results.rates.setdefault(title, {n: [] for n in names})
        for _ in range(self.settings.rounds):
            for name in names:
                subject = self.subjects[name]
                port, seconds = self._port(name), self.settings.seconds
                before, started = subject.call("status"), time.monotonic()
                packet_count = self.settings.flows // (2 * self.settings.rounds)
                self.senders[0].send(
                    "open", port, self._next_caller(name), packet_count, seconds
                )
                sent = self.senders[0].receive()
                self.next_callers[name] = self._next_caller(name) + sent
                after, ended = subject.call("status"), time.monotonic()
                count = max(1, after["records"] - before["records"])
                cpu_seconds = (after["cpu"] - before["cpu"]) / count
                rates[name].append(Rate(count / (ended - started), cpu_seconds))
                time.sleep(DRAIN_WAIT)

    def _next_caller(self, name: str) -> int:
        return self.next_callers.get(name, 1_000_000)

    def _measure_memory(self) -> None:
        """Open flows up to the configured number and measure the memory per flow."""
        for name in self._balancers():
            subject = self.subjects[name]
            empty = subject.call("status")
            port, deadline = self._port(name), time.monotonic() + WORKER_TIMEOUT
            while time.monotonic() < deadline:
                missing = self.settings.flows - subject.call("status")["records"]
                if missing <= 0:
                    break
                packet_count = min(missing, 5_000)
                sent = self.senders[0].call(
                    "open", port, self._next_caller(name), packet_count, 1.0
                )
                self.next_callers[name] = self._next_caller(name) + sent
            self._wait_until_idle(subject)
            full = subject.call("status")
            opened = full["records"] - empty["records"]
            if opened:
                grown = full["resident"] - empty["resident"]
                self.results.memory_per_flow[name] = grown / opened
            self.results.gc_pauses[name] = full["longest_collection"]
            self.results.flows = full["records"]

    def _wait_until_idle(self, subject: Worker) -> None:
        """Wait until a subject has processed all packets in its receive buffer."""
        deadline, before = time.monotonic() + WORKER_TIMEOUT, -1
        while time.monotonic() < deadline:
            received = subject.call("status")["received"]
            if received == before:
                return
            before = received
            time.sleep(DRAIN_WAIT)

    def _install_bindings(self) -> None:
        """Add candidates to each bucket and send a binding for each flow."""
        for name in self._balancers():
            indexes = self.subjects[name].call("several-candidates")
            address = (LOOPBACK, self._port(name))
            for number in range(CALLERS):
                index = indexes[number % len(indexes)]
                self.peer.sendto(binding_frame(number, index), address)
                if number % 100 == 0:
                    time.sleep(0.01)

    def _measure_latencies(self) -> None:
        frames = data_frames(100)
        self.sink.settimeout(0.5)
        self._empty_sink()
        for _ in range(self.settings.rounds):
            for name in self.subjects:
                address = (LOOPBACK, self._port(name))
                latencies = self._probe_latencies(frames, address)
                percentiles = statistics.quantiles(latencies, n=QUANTILE_COUNT)
                rounds = self.results.latencies.setdefault(name, [])
                rounds.append((percentiles[49], percentiles[98]))

    def _probe_latencies(
        self, frames: Sequence[bytes], address: tuple[str, int]
    ) -> list[float]:
        latencies = []
        for number in range(self.settings.probes):
            started = time.perf_counter()
            self.peer.sendto(frames[number % len(frames)], address)
            try:
                self.sink.recv(65_536)
            except TimeoutError:
                # The home may have dropped a packet that was sampled for refresh.
                continue
            latencies.append(time.perf_counter() - started)
        return latencies

    def _empty_sink(self) -> None:
        self.sink.setblocking(False)
        try:
            while True:
                self.sink.recv(65_536)
        except BlockingIOError:
            self.sink.settimeout(0.5)


def run(settings: BenchSettings, baseline: Path | None) -> Results:
    """Measure the loop, this version and, if given, the version in a source folder."""
    with ExitStack() as stack:
        sink, peer = (_bind_socket(stack) for _ in range(2))
        ports = [str(sock.getsockname()[1]) for sock in (sink, peer)]
        subjects = {
            "loop": stack.enter_context(Worker(None, "loop", ports[0])),
            "balancer": stack.enter_context(Worker(None, "balancer", *ports)),
        }
        if baseline is not None:
            worker = Worker(baseline, "balancer", *ports)
            subjects["baseline"] = stack.enter_context(worker)
        tag_task = stack.enter_context(Worker(None, "tags", ports[0]))
        senders = [stack.enter_context(Worker(None, "sender")) for _ in range(SENDERS)]
        return Benchmark(subjects, tag_task, senders, sink, peer, settings).run()


def _bind_socket(stack: ExitStack) -> socket.socket:
    sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    sock.bind((LOOPBACK, 0))
    return sock
