"""Fabric stand-in: ``python -m wasabigw_demo.fabric``."""

import random
import selectors
import signal
import socket
import threading
from collections.abc import Iterator
from contextlib import ExitStack, suppress
from dataclasses import dataclass
from functools import singledispatchmethod
from pathlib import Path
from types import FrameType
from typing import Annotated, Any

import typer
from returns.result import Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw.runtime.timer import monotonic
from wasabigw_demo import control_http, fabric_core, wire
from wasabigw_demo.addresses import (
    parse_endpoint,
    parse_named_endpoint,
    parse_network,
    parse_route,
    socket_address,
)
from wasabigw_demo.fabric_core import DeliveryQueue, FabricState, Faults
from wasabigw_demo.records import RecordKind, RecordWriter
from wasabigw_demo.spans import SpanName, child_context, record_span

MAX_FRAMES_PER_READ = 64
CONTROL_REPLY_TIMEOUT = Seconds(2.0)
SOCKET_BUFFER_SIZE = 8 * 1024 * 1024

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@dataclass(frozen=True, slots=True)
class BalancerFailed:
    """A balancer has failed; the fabric detects it after its health delay.

    :param reply: receives whether the balancer was known.
    """

    balancer: NodeId
    reply: Mailbox[bool]


@dataclass(frozen=True, slots=True)
class BalancerRecovered:
    """A balancer passes its health checks again.

    :param reply: receives whether the balancer was known.
    """

    balancer: NodeId
    reply: Mailbox[bool]


@dataclass(frozen=True, slots=True)
class FlowsQuery:
    """Request for the records of all flows."""

    reply: Mailbox[list[dict[str, Any]]]


class FabricTask(Task[Any]):
    """Owns the UDP socket of the fabric and its state."""

    def __init__(
        self, listen: Endpoint, state: FabricState, records: RecordWriter
    ) -> None:
        self._inbox: SelectableMailbox[Any] = SelectableMailbox("fabric")
        super().__init__("fabric", self._inbox)
        self._state = state
        self._records = records
        self._queue = DeliveryQueue()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_SIZE)
        self._socket.setblocking(False)
        self._socket.bind(socket_address(listen))

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the UDP socket."""
        return Endpoint(*self._socket.getsockname())

    def run(self) -> None:
        """Forward frames until :class:`Stop` arrives."""
        with selectors.DefaultSelector() as selector:
            selector.register(self._socket, selectors.EVENT_READ)
            selector.register(self._inbox, selectors.EVENT_READ)
            while True:
                selector.select(self._select_timeout())
                self._read_frames()
                for message in self._inbox.drain():
                    if isinstance(message, Stop):
                        return
                    self.receive(message)
                self._send_due()

    @singledispatchmethod
    def receive(self, message: Any) -> None:
        """Handle a message of the control endpoint."""
        raise TypeError(f"unknown message for the fabric: {message!r}")

    @receive.register
    def _(self, message: BalancerFailed) -> None:
        known = fabric_core.mark_failed(self._state, message.balancer, monotonic())
        message.reply.post(known)

    @receive.register
    def _(self, message: BalancerRecovered) -> None:
        known = fabric_core.mark_recovered(self._state, message.balancer)
        message.reply.post(known)

    @receive.register
    def _(self, message: FlowsQuery) -> None:
        message.reply.post(list(flow_records(self._state)))

    def close(self) -> None:
        """Write the records of all flows, and close the socket and the mailbox."""
        for record in flow_records(self._state):
            self._records.write(RecordKind.FLOW, **record)
        self._records.write(RecordKind.SUMMARY, dropped=dict(self._state.dropped))
        self._socket.close()
        self._inbox.__exit__(None, None, None)

    def _select_timeout(self) -> float | None:
        due_at = self._queue.next_due()
        return None if due_at is None else max(0.0, due_at - monotonic())

    def _read_frames(self) -> None:
        for _ in range(MAX_FRAMES_PER_READ):
            try:
                data, address = self._socket.recvfrom(wire.MAX_FRAME_SIZE)
            except (BlockingIOError, ConnectionRefusedError):
                return
            source = Endpoint(*address)
            traced = self._record_hop(data, source)
            for delivery in fabric_core.route(traced, source, self._state, monotonic()):
                self._queue.add(delivery)
            self._send_due()

    def _record_hop(self, data: bytes, source: Endpoint) -> bytes:
        decoded = wire.decapsulate(data)
        if not isinstance(decoded, Success) or decoded.unwrap().trace is None:
            return data
        parent = decoded.unwrap().trace
        context = child_context(parent, self._state.generator)
        from_balancer = source in self._state.balancer_ids
        operation = "deliver" if from_balancer else "spray"
        record_span(self._records, SpanName("fabric", operation), parent, context)
        return wire.with_trace(data, context)

    def _send_due(self) -> None:
        for delivery in self._queue.take_due(monotonic()):
            # A packet to a process that has ended, or that does not fit the send
            # buffer, is dropped as in a real network.
            with suppress(BlockingIOError, ConnectionRefusedError):
                self._socket.sendto(
                    delivery.frame, socket_address(delivery.destination)
                )


def flow_records(state: FabricState) -> Iterator[dict[str, Any]]:
    """Records of the flows, with packets per balancer and the backend servers."""
    for flow, packets in state.flows.items():
        servers = state.flow_servers[(flow.protocol, flow.caller)]
        yield {
            "protocol": flow.protocol,
            "caller": endpoint_key(flow.caller),
            "service": endpoint_key(flow.service),
            "forward": dict(packets.forward),
            "back": dict(packets.reverse),
            "backend_servers": sorted(endpoint_key(server) for server in servers),
        }


class ControlEndpoint:
    """HTTP handlers of the fabric."""

    def __init__(self, fabric: Mailbox[Any]) -> None:
        self._fabric = fabric

    @control_http.exposed("POST")
    def gone(self, balancer: str = "") -> Any:
        """``POST /gone?balancer=NAME``: the balancer fails its health checks."""
        reply: Mailbox[bool] = Mailbox("gone")
        self._fabric.post(BalancerFailed(NodeId(balancer), reply))
        if not reply.get(CONTROL_REPLY_TIMEOUT).value_or(False):
            control_http.reject(f"unknown balancer {balancer!r}")
        return {"accepted": balancer}

    @control_http.exposed("POST")
    def back(self, balancer: str = "") -> Any:
        """``POST /back?balancer=NAME``: the balancer passes its health checks again."""
        reply: Mailbox[bool] = Mailbox("back")
        self._fabric.post(BalancerRecovered(NodeId(balancer), reply))
        if not reply.get(CONTROL_REPLY_TIMEOUT).value_or(False):
            control_http.reject(f"unknown balancer {balancer!r}")
        return {"accepted": balancer}

    @control_http.exposed("GET")
    def flows(self) -> Any:
        """``GET /flows``: the record of each flow."""
        reply: Mailbox[list[dict[str, Any]]] = Mailbox("flows")
        self._fabric.post(FlowsQuery(reply))
        return reply.get(CONTROL_REPLY_TIMEOUT).value_or([])


@application.command()
def main(
    listen: Annotated[str, typer.Option(help="UDP endpoint to bind.")],
    control: Annotated[str, typer.Option(help="HTTP control endpoint to bind.")],
    balancer: Annotated[
        list[str],
        typer.Option(help="name=address:port of a balancer; may be repeated."),
    ],
    host: Annotated[
        list[str],
        typer.Option(help="inner range=address:port of a host; may be repeated."),
    ],
    service: Annotated[list[str], typer.Option(help="Service address or range.")],
    backend_server: Annotated[
        list[str], typer.Option(help="Inner address or range of backend servers.")
    ],
    record: Annotated[Path, typer.Option(help="File for its records.")],
    drop: Annotated[float, typer.Option(min=0, max=1)] = 0.0,
    duplicate: Annotated[float, typer.Option(min=0, max=1)] = 0.0,
    delay: Annotated[
        float, typer.Option(min=0, help="Maximum delay in seconds.")
    ] = 0.0,
    health_delay: Annotated[
        float, typer.Option(min=0, help="Seconds until a failed balancer is detected.")
    ] = 1.0,
    seed: Annotated[int, typer.Option(help="Seed of the random numbers.")] = 1,
    spread: Annotated[
        bool,
        typer.Option(
            "--spread", help="Change the balancer with each packet of a flow."
        ),
    ] = False,
) -> None:
    """Carry Geneve frames between hosts and balancers until SIGTERM or SIGINT."""
    named = [parse_named_endpoint(text) for text in balancer]
    state = FabricState(
        balancers={NodeId(name): endpoint for name, endpoint in named},
        hosts=tuple(parse_route(text) for text in host),
        services=tuple(parse_network(text) for text in service),
        backend_servers=tuple(parse_network(text) for text in backend_server),
        generator=random.Random(seed),
        faults=Faults(drop, duplicate, Seconds(delay)),
        health_delay=Seconds(health_delay),
        spread=spread,
    )
    stop_requested = threading.Event()
    _install_signals(stop_requested)
    with ExitStack() as stack:
        records = stack.enter_context(RecordWriter(record))
        task = stack.enter_context(FabricTask(parse_endpoint(listen), state, records))
        endpoint = ControlEndpoint(task.mailbox)
        stack.enter_context(control_http.serve(endpoint, parse_endpoint(control)))
        stop_requested.wait()


def _install_signals(stop_requested: threading.Event) -> None:
    def stop(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)


if __name__ == "__main__":
    application()
