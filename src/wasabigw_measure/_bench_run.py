"""Rounds of the benchmark: balancers and the plain loop in turn."""

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
WAIT = 30.0
SETTLE = 0.05
"""Seconds after a round in which the receive buffer empties."""
TAKEOVER_WAIT = 1.8
"""Seconds until a new home admits flows."""
PERCENTILES = 100


@dataclass(frozen=True, slots=True)
class Extent:
    """How much one run measures.

    :param rounds: of each kind, in turn.
    :param seconds: of each round.
    :param flows: open flows at which memory is measured.
    :param probes: packets of each latency round.
    """

    rounds: int = 5
    seconds: float = 0.6
    flows: int = 300_000
    probes: int = 2_000


@dataclass(frozen=True, slots=True)
class Rate:
    """Speed of one process in one round.

    :param per_second: packets or flows per second.
    :param cpu: seconds of processor time for each.
    """

    per_second: float
    cpu: float


@dataclass(slots=True)
class Results:
    """Rounds of each subject (``loop``, ``balancer``, perhaps ``baseline``).

    :param rates: by kind and subject.
    :param latencies: p50 and p99 in seconds of each round, by subject.
    :param memory: bytes for each open flow, by subject.
    :param collections: longest stop by the garbage collector in seconds, by subject.
    """

    rates: dict[str, dict[str, list[Rate]]] = field(default_factory=dict)
    latencies: dict[str, list[tuple[float, float]]] = field(default_factory=dict)
    memory: dict[str, float] = field(default_factory=dict)
    collections: dict[str, float] = field(default_factory=dict)
    flows: int = 0


class Worker:
    """A process of the benchmark that answers commands."""

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
            self._process.wait(WAIT)
        except subprocess.TimeoutExpired:
            self._process.kill()

    def start(self, *command: Any) -> None:
        """Send a command."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()

    def result(self) -> Any:
        """Wait for the answer of the last command."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            raise RuntimeError("a process of the benchmark ended; see its error above")
        return json.loads(line)

    def call(self, *command: Any) -> Any:
        """Send a command and wait for the answer."""
        self.start(*command)
        return self.result()


@dataclass(slots=True)
class Bench:
    """Running processes of a benchmark.

    :param subjects: by name; the first is the loop.
    :param tags: packet task that delivers by tags.
    """

    subjects: dict[str, Worker]
    tags: Worker
    senders: list[Worker]
    sink: socket.socket
    peer: socket.socket
    extent: Extent
    results: Results = field(default_factory=Results)
    opened: dict[str, int] = field(default_factory=dict)

    def run(self) -> Results:
        """All measurements."""
        for subject in self.subjects.values():
            subject.call("address")
        for sender in self.senders:
            sender.call("ready")
        time.sleep(TAKEOVER_WAIT)
        self._saturate("mid-flow packets, one candidate", "data")
        self._saturate("answers", "answers")
        self._saturate_tags()
        self._latency()
        self._open_rounds()
        self._fill()
        self._bind()
        self._saturate("mid-flow packets, by cached binding", "data")
        return self.results

    def _port(self, name: str) -> int:
        return int(self.subjects[name].call("address")[1])

    def _saturate(self, title: str, kind: str) -> None:
        rates = self.results.rates.setdefault(title, {n: [] for n in self.subjects})
        for _ in range(self.extent.rounds):
            for name in self.subjects:
                rates[name].append(self._saturated(name, kind))

    def _saturate_tags(self) -> None:
        pair = {"loop": self.subjects["loop"], "balancer": self.tags}
        rates: dict[str, list[Rate]] = {name: [] for name in pair}
        self.results.rates["mid-flow packets, by tag"] = rates
        for _ in range(self.extent.rounds):
            for name, subject in pair.items():
                rates[name].append(self._saturated_at(subject, "tagged"))

    def _saturated(self, name: str, kind: str) -> Rate:
        return self._saturated_at(self.subjects[name], kind)

    def _saturated_at(self, subject: Worker, kind: str) -> Rate:
        port = int(subject.call("address")[1])
        seconds = self.extent.seconds
        for sender in self.senders:
            sender.start("saturate", port, kind, seconds)
        time.sleep(seconds / 4)
        before, began = subject.call("status"), time.monotonic()
        time.sleep(seconds / 2)
        after, ended = subject.call("status"), time.monotonic()
        for sender in self.senders:
            sender.result()
        time.sleep(SETTLE)
        done = max(1, after["received"] - before["received"])
        return Rate(done / (ended - began), (after["cpu"] - before["cpu"]) / done)

    def _balancers(self) -> list[str]:
        return [name for name in self.subjects if name != "loop"]

    def _open_rounds(self) -> None:
        """Opening packets that exceed what a balancer can take."""
        title = "new flows at the home"
        names = self._balancers()
        rates = self.results.rates.setdefault(title, {n: [] for n in names})
        for _ in range(self.extent.rounds):
            for name in names:
                subject = self.subjects[name]
                port, seconds = self._port(name), self.extent.seconds
                before, began = subject.call("status"), time.monotonic()
                count = self.extent.flows // (2 * self.extent.rounds)
                self.senders[0].start("open", port, self._next(name), count, seconds)
                sent = self.senders[0].result()
                self.opened[name] = self._next(name) + sent
                after, ended = subject.call("status"), time.monotonic()
                done = max(1, after["records"] - before["records"])
                cpu = (after["cpu"] - before["cpu"]) / done
                rates[name].append(Rate(done / (ended - began), cpu))
                time.sleep(SETTLE)

    def _next(self, name: str) -> int:
        return self.opened.get(name, 1_000_000)

    def _fill(self) -> None:
        """Open flows up to the number at which memory is measured."""
        for name in self._balancers():
            subject = self.subjects[name]
            empty = subject.call("status")
            port, deadline = self._port(name), time.monotonic() + WAIT
            while time.monotonic() < deadline:
                missing = self.extent.flows - subject.call("status")["records"]
                if missing <= 0:
                    break
                count = min(missing, 5_000)
                sent = self.senders[0].call("open", port, self._next(name), count, 1.0)
                self.opened[name] = self._next(name) + sent
            self._await_silence(subject)
            full = subject.call("status")
            opened = full["records"] - empty["records"]
            if opened:
                grown = full["resident"] - empty["resident"]
                self.results.memory[name] = grown / opened
            self.results.collections[name] = full["longest_collection"]
            self.results.flows = full["records"]

    def _await_silence(self, subject: Worker) -> None:
        """Wait until a subject has handled what waits in its socket."""
        deadline, before = time.monotonic() + WAIT, -1
        while time.monotonic() < deadline:
            received = subject.call("status")["received"]
            if received == before:
                return
            before = received
            time.sleep(SETTLE)

    def _bind(self) -> None:
        """Give each bucket several candidates and each flow a binding."""
        for name in self._balancers():
            indexes = self.subjects[name].call("several-candidates")
            address = (LOOPBACK, self._port(name))
            for number in range(CALLERS):
                index = indexes[number % len(indexes)]
                self.peer.sendto(binding_frame(number, index), address)
                if number % 100 == 0:
                    time.sleep(0.01)

    def _latency(self) -> None:
        frames = data_frames(100)
        self.sink.settimeout(0.5)
        self._empty_sink()
        for _ in range(self.extent.rounds):
            for name in self.subjects:
                address = (LOOPBACK, self._port(name))
                taken = self._probe(frames, address)
                cuts = statistics.quantiles(taken, n=PERCENTILES)
                found = self.results.latencies.setdefault(name, [])
                found.append((cuts[49], cuts[98]))

    def _probe(self, frames: Sequence[bytes], address: tuple[str, int]) -> list[float]:
        taken = []
        for number in range(self.extent.probes):
            began = time.perf_counter()
            self.peer.sendto(frames[number % len(frames)], address)
            try:
                self.sink.recv(65_536)
            except TimeoutError:
                # A sampled packet may have been dropped by its home.
                continue
            taken.append(time.perf_counter() - began)
        return taken

    def _empty_sink(self) -> None:
        self.sink.setblocking(False)
        try:
            while True:
                self.sink.recv(65_536)
        except BlockingIOError:
            self.sink.settimeout(0.5)


def run(extent: Extent, baseline: Path | None) -> Results:
    """Measure the loop, this version, and the version in another source folder."""
    with ExitStack() as stack:
        sink, peer = (_bound(stack) for _ in range(2))
        ports = [str(sock.getsockname()[1]) for sock in (sink, peer)]
        subjects = {
            "loop": stack.enter_context(Worker(None, "loop", ports[0])),
            "balancer": stack.enter_context(Worker(None, "balancer", *ports)),
        }
        if baseline is not None:
            worker = Worker(baseline, "balancer", *ports)
            subjects["baseline"] = stack.enter_context(worker)
        tags = stack.enter_context(Worker(None, "tags", ports[0]))
        senders = [stack.enter_context(Worker(None, "sender")) for _ in range(SENDERS)]
        return Bench(subjects, tags, senders, sink, peer, extent).run()


def _bound(stack: ExitStack) -> socket.socket:
    sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    sock.bind((LOOPBACK, 0))
    return sock
