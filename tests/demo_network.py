"""Test fixture: fabric, rewriting balancers and hosts in one process."""

import random
import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, replace
from ipaddress import IPv4Network
from pathlib import Path
from typing import Any

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    NodeId,
    Seconds,
    ServiceId,
)
from wasabigw.core.states import Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw_demo import wire
from wasabigw_demo.addresses import Route, socket_address
from wasabigw_demo.caller_app import CallerApplication
from wasabigw_demo.fabric import FabricTask
from wasabigw_demo.fabric_core import FabricState, Faults
from wasabigw_demo.host import Host
from wasabigw_demo.plan import FlowPlan, Target
from wasabigw_demo.records import RecordWriter
from wasabigw_demo.server_app import (
    ServerApplication,
    ServerIdentity,
    ServerSettings,
)

LOOPBACK = Endpoint("127.0.0.1", 0)
SERVICE = Endpoint("198.51.100.1", 443)
BACKEND_SERVER = Endpoint("10.2.0.1", 8080)
CALLER = "10.1.0.1"
IDENTITY = ServerIdentity(
    BackendServerId("server-1"),
    ServiceId("documents"),
    FailureDomainId("zone-a"),
    BACKEND_SERVER,
    BootId("boot-1"),
    slots=4,
    connections=100,
)


class RewritingBalancer:
    """Rewrites packets between one service and one backend server.

    :param corrupt: whether one byte of each long payload to a caller is changed and
        the checksum is recomputed.
    """

    def __init__(self, corrupt: bool = False) -> None:
        self._corrupt = corrupt
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(socket_address(LOOPBACK))
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.endpoint = Endpoint(*self._socket.getsockname())

    def __enter__(self) -> "RewritingBalancer":
        self._thread.start()
        return self

    def __exit__(self, *exception: object) -> None:
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._thread.join(5.0)
        self._socket.close()

    def _run(self) -> None:
        while True:
            try:
                data, fabric = self._socket.recvfrom(wire.MAX_FRAME_SIZE)
            except OSError:
                return
            if not data:
                return
            frame = wire.decapsulate(data).unwrap()
            packet = wire.parse_packet(frame.inner).unwrap()
            inner = self._rewrite(packet)
            with suppress(OSError):
                sent = wire.encapsulate(wire.Frame(inner, frame.trace))
                self._socket.sendto(sent, fabric)

    def _rewrite(self, packet: wire.Packet) -> bytes:
        assert isinstance(packet, wire.Segment | wire.Datagram)
        if packet.destination == SERVICE:
            packet = replace(packet, destination=BACKEND_SERVER)
        else:
            payload = packet.payload
            if self._corrupt and len(payload) > 400:
                payload = payload[:-1] + bytes([payload[-1] ^ 1])
            packet = replace(packet, source=SERVICE, payload=payload)
        if isinstance(packet, wire.Segment):
            return wire.build_segment(packet)
        return wire.build_datagram(packet)


@dataclass(frozen=True, slots=True)
class Network:
    """Handles of a running network, and the folder of its records."""

    server: Mailbox[Any]
    caller: CallerApplication
    done: threading.Event
    folder: Path


def target(protocol: Protocol) -> Target:
    """Target for the service of the network."""
    return Target("documents", protocol, SERVICE)


@contextmanager
def running_network(
    folder: Path,
    plans: list[FlowPlan],
    faults: Faults,
    settings: ServerSettings,
    corrupt: bool = False,
) -> Iterator[Network]:
    """Run three balancers, a backend server and a caller that executes plans."""
    announcements: Mailbox[Any] = Mailbox("announcements")
    done = threading.Event()
    with ExitStack() as stack:
        balancers = {
            NodeId(f"balancer-{number}"): stack.enter_context(
                RewritingBalancer(corrupt)
            ).endpoint
            for number in range(3)
        }
        records = {
            name: stack.enter_context(RecordWriter(folder / f"{name}.jsonl"))
            for name in ("fabric", "server", "caller")
        }
        state = FabricState(
            balancers=balancers,
            hosts=(),
            services=(IPv4Network(SERVICE.address),),
            backend_servers=(IPv4Network(BACKEND_SERVER.address),),
            generator=random.Random(7),
            faults=faults,
        )
        fabric = FabricTask(LOOPBACK, state, records["fabric"])
        application = ServerApplication(
            IDENTITY, settings, records["server"], announcements
        )
        server = Host(
            "server", LOOPBACK, fabric.endpoint, application, records["server"], 1
        )
        caller = CallerApplication("caller", CALLER, plans, records["caller"], 2, done)
        caller_host = Host(
            "caller", LOOPBACK, fabric.endpoint, caller, records["caller"], 3
        )
        state.hosts = (
            Route(IPv4Network(BACKEND_SERVER.address), server.endpoint),
            Route(IPv4Network(CALLER), caller_host.endpoint),
        )
        for task in (fabric, server, caller_host):
            stack.enter_context(task)
        yield Network(server.mailbox, caller, done, folder)


NO_FAULTS = Faults()
LOSSY = Faults(drop=0.1, duplicate=0.1, delay=Seconds(0.01))
