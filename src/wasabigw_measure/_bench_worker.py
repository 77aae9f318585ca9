"""Processes of the benchmark: ``python -m wasabigw_measure._bench_worker ROLE``.

A process reads commands from standard input, one JSON list per line, and prints the
result of each as one line of JSON. The commands and results stay compatible, because
:mod:`wasabigw_measure.bench` also runs this module of an older version.
"""

import gc
import json
import resource
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any

from absl import logging

from wasabigw.core import commands as c
from wasabigw.core.cluster import Endpoint, FailureDomain, Node, Service
from wasabigw.core.endpoint import address_text
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    BucketNumber,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
    Term,
)
from wasabigw.core.log_messages import Announcement, LogBatch, LogEntry
from wasabigw.core.placement import select_home
from wasabigw.core.states import BackendServerState, CandidateReason, Protocol
from wasabigw.core.timing import BUCKETS_PER_SERVICE
from wasabigw.runtime.collector import raise_collection_thresholds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import TimerService, monotonic
from wasabigw.tasks.messages import AnnouncementRequest, LogReceived, StatusRequest
from wasabigw.tasks.packet_task import (
    MAINTENANCE_PERIOD,
    MAINTENANCE_TICK,
    PacketTask,
    PacketTaskOutputs,
    PacketTaskSettings,
    make_packet_task,
)
from wasabigw_measure._bench_frames import (
    BACKEND_PORT,
    CALLERS,
    answer_frames,
    backend_address,
    data_frames,
    opening_frame,
    set_caller,
)
from wasabigw_measure._bench_tags import run_tags, tagged_frames

BACKEND_SERVERS = 10
CAPACITY = 10_000_000
"""Connection limit of each backend server, high enough never to be reached."""
SOCKET_BUFFER = 4 * 1024 * 1024
BURST = 64
"""Packets between two reads of the clock of a sender, and per wake-up of the loop."""
RENEWAL_INTERVAL = Seconds(0.5)
REPLY_TIMEOUT = Seconds(20.0)
DOMAIN = FailureDomainId("domain-0")
SERVICE_ID = ServiceId("service")
LOOPBACK = "127.0.0.1"


def main() -> None:
    """Run the role given on the command line."""
    logging.set_verbosity(logging.ERROR)
    role, *arguments = sys.argv[1:]
    roles: dict[str, Callable[..., None]] = {
        "loop": run_loop,
        "balancer": run_balancer,
        "tags": lambda port: run_tags(port, thread_clock, serve),
        "sender": run_sender,
    }
    roles[role](*arguments)


def serve(handlers: dict[str, Callable[..., Any]]) -> None:
    """Execute commands until standard input ends."""
    for line in sys.stdin:
        name, *arguments = json.loads(line)
        print(json.dumps(handlers[name](*arguments)), flush=True)


def resident_bytes() -> int:
    """Resident memory of this process."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class GcPauseTimer:
    """Longest pause of this process by the garbage collector, in seconds."""

    def __init__(self) -> None:
        self.longest = 0.0
        self._started = 0.0
        gc.callbacks.append(self._record_phase)

    def _record_phase(self, phase: str, _: dict[str, int]) -> None:
        if phase == "start":
            self._started = time.perf_counter()
        else:
            self.longest = max(self.longest, time.perf_counter() - self._started)


def thread_clock(name: str) -> int:
    """Id of the processor time clock of a thread."""
    thread = next(t for t in threading.enumerate() if t.name == name)
    assert thread.ident is not None
    return time.pthread_getcpuclockid(thread.ident)


def run_loop(sink_port: str) -> None:
    """Forward each packet unchanged, with the socket options of a balancer."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER)
    sock.bind((LOOPBACK, 0))
    count = [0]
    arguments = (sock, (LOOPBACK, int(sink_port)), count)
    threading.Thread(target=_forward, args=arguments, name="loop", daemon=True).start()
    clock = thread_clock("loop")
    serve(
        {
            "address": lambda: sock.getsockname(),
            "status": lambda: {
                "received": count[0],
                "cpu": time.clock_gettime(clock),
            },
        }
    )


def _forward(sock: socket.socket, sink: tuple[str, int], count: list[int]) -> None:
    buffer = bytearray(65_536)
    view = memoryview(buffer)
    with selectors.DefaultSelector() as selector:
        selector.register(sock, selectors.EVENT_READ)
        while True:
            selector.select()
            received = 0
            for _ in range(BURST):
                try:
                    length, _ = sock.recvfrom_into(buffer)
                except BlockingIOError:
                    break
                sock.sendto(view[:length], sink)
                received += 1
            count[0] += received


def run_balancer(sink_port: str, peer_port: str) -> None:
    """Run a packet task that is the home of all backend servers."""
    raise_collection_thresholds()
    gc_pauses = GcPauseTimer()
    balancer, peer = _node("n0", 0), _node("n1", int(peer_port))
    applied: Mailbox[Any] = Mailbox("applied")
    outputs = PacketTaskOutputs(Mailbox("reports", 16), Mailbox("handovers"), applied)
    settings = PacketTaskSettings(balancer, Endpoint(LOOPBACK, int(sink_port)))
    with TimerService() as timer, make_packet_task(settings, outputs) as task:
        timer.subscribe(task.mailbox, MAINTENANCE_PERIOD, MAINTENANCE_TICK)
        clock = thread_clock("packets")
        revision = 0

        def apply_commands(*commands: c.Command) -> None:
            nonlocal revision
            entries = tuple(
                LogEntry(Revision(revision + n), Term(1), command)
                for n, command in enumerate(commands, 1)
            )
            revision += len(entries)
            batch = LogBatch(Term(1), Revision(revision), Seconds(3_600.0), entries)
            task.mailbox.post(LogReceived(batch, monotonic()))
            applied.get(REPLY_TIMEOUT).unwrap()

        def add_candidates() -> list[int]:
            homed = _servers_homed_at(peer, balancer)
            apply_commands(
                c.ReportBatch((c.NodeUp(peer),)),
                c.ReportBatch(_candidate_reports(homed)),
            )
            return homed

        def status() -> dict[str, Any]:
            reply: Mailbox[Any] = Mailbox("reply")
            task.mailbox.post(StatusRequest(reply))
            task_status = reply.get(REPLY_TIMEOUT).unwrap()
            return {
                "received": task_status.packets.received,
                "direct": task_status.packets.direct,
                "to_backend": task_status.packets.to_backend,
                "records": task_status.records,
                "dropped": task_status.packets.dropped,
                "refused": task_status.packets.refused,
                "cpu": time.clock_gettime(clock),
                "resident": resident_bytes(),
                "longest_collection": gc_pauses.longest,
            }

        # An empty view comes first, so that the task knows that its records of the
        # backend servers registered later are complete.
        apply_commands()
        apply_commands(*_initial_commands(balancer))
        threading.Thread(target=_renew_announcements, args=(task,), daemon=True).start()
        serve(
            {
                "address": lambda: task.address,
                "status": status,
                "several-candidates": add_candidates,
            }
        )


def _node(name: str, port: int) -> Node:
    endpoint = Endpoint(LOOPBACK, port)
    return Node(NodeId(name), DOMAIN, endpoint, endpoint, Incarnation(name))


def _backend_server_up(number: int) -> c.BackendServerUp:
    address = backend_address(number)
    text = address_text(address)
    return c.BackendServerUp(
        BackendServerId(f"b{number}"),
        SERVICE_ID,
        DOMAIN,
        Endpoint(text, BACKEND_PORT),
        BootId(f"boot{number}"),
        CAPACITY,
        CAPACITY,
        BackendServerState.READY,
        8,
    )


def _initial_commands(balancer: Node) -> tuple[c.Command, ...]:
    service = Service(SERVICE_ID, Endpoint("10.0.0.1", 443), Protocol.TCP, (DOMAIN,))
    domains = (FailureDomain(DOMAIN, RegionId("region")),)
    configuration = c.ReplaceConfiguration((service,), domains)
    servers = tuple(_backend_server_up(number) for number in range(BACKEND_SERVERS))
    return (
        c.ReportBatch((c.NodeUp(balancer),)),
        c.ChangeRequest(RequestId("r1"), Revision(0), configuration),
        c.ReportBatch(servers),
    )


def _servers_homed_at(peer: Node, balancer: Node) -> list[int]:
    """Backend servers whose home is ``peer`` once it has registered."""
    return [
        number
        for number in range(BACKEND_SERVERS)
        if select_home(BackendServerId(f"b{number}"), DOMAIN, (balancer, peer))
        == peer.id
    ]


def _candidate_reports(numbers: list[int]) -> tuple[c.CandidatesAdded, ...]:
    """Reports that make some backend servers candidates of every bucket."""
    buckets = tuple(BucketNumber(number) for number in range(BUCKETS_PER_SERVICE))
    return tuple(
        c.CandidatesAdded(
            SERVICE_ID,
            BackendServerId(f"b{number}"),
            buckets,
            CandidateReason.DIVERTED,
        )
        for number in numbers
    )


def _renew_announcements(task: PacketTask) -> None:
    """Renew the announcements of all backend servers until the process exits."""
    while True:
        for number in range(BACKEND_SERVERS):
            registration = _backend_server_up(number)
            reply: Mailbox[Any] = Mailbox("reply")
            announcement = Announcement(
                registration.id,
                registration.service,
                registration.failure_domain,
                registration.endpoint,
                registration.boot_id,
                registration.state,
                registration.slots,
                registration.connections,
            )
            task.mailbox.post(AnnouncementRequest(announcement, reply))
        time.sleep(RENEWAL_INTERVAL)


def run_sender() -> None:
    """Send frames as fast as possible, or open a given number of flows."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER)
    kinds = {
        "data": data_frames(CALLERS),
        "answers": answer_frames(CALLERS, BACKEND_SERVERS),
        "tagged": tagged_frames(CALLERS),
    }

    def saturate(port: int, kind: str, seconds: float) -> int:
        frames = kinds[kind]
        sent = 0
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for _ in range(BURST):
                sock.sendto(frames[sent % CALLERS], (LOOPBACK, port))
                sent += 1
        return sent

    def open_flows(port: int, first: int, count: int, seconds: float) -> int:
        frame = opening_frame()
        until = time.monotonic() + seconds
        sent = 0
        while sent < count and time.monotonic() < until:
            for _ in range(min(BURST, count - sent)):
                set_caller(frame, first + sent)
                sock.sendto(frame, (LOOPBACK, port))
                sent += 1
        return sent

    serve({"saturate": saturate, "open": open_flows, "ready": lambda: True})


if __name__ == "__main__":
    main()
