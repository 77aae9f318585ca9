"""Execution of decisions: rewrites packets and sends frames."""

import socket
from collections import Counter
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatch
from types import TracebackType
from typing import Any

from wasabigw.codec import geneve, ipv4
from wasabigw.codec.geneve import Binding, Frame
from wasabigw.codec.ipv4 import Segment
from wasabigw.core.cluster import ClusterState, Endpoint
from wasabigw.core.flows.decisions import (
    Decision,
    Drop,
    ForwardToNode,
    RefusalReason,
    Refuse,
    ReturnToCaller,
    SendBinding,
    SendHandover,
    SendReports,
    SendToBackend,
)
from wasabigw.core.flows.keys import key_fields
from wasabigw.core.ids import NodeId, Revision
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.hop_tracing import Hop
from wasabigw.tasks.messages import HandoverOut, PacketCounts, PacketDropReason

Address = tuple[str, int]

_UNREACHABLE_CODES = {
    RefusalReason.UNKNOWN_DESTINATION: ipv4.CODE_PORT_UNREACHABLE,
    RefusalReason.NO_BACKEND_SERVER: ipv4.CODE_PORT_UNREACHABLE,
    RefusalReason.FLOW_GONE: ipv4.CODE_PORT_UNREACHABLE,
    RefusalReason.AT_LIMIT: ipv4.CODE_ADMIN_PROHIBITED,
    RefusalReason.TABLE_FULL: ipv4.CODE_ADMIN_PROHIBITED,
}


@dataclass(slots=True)
class Counts:
    """Counters of the packet task; :class:`PacketCounts` has their meanings.

    :param control_received: bytes of pings and bindings received.
    :param control_sent: bytes of pings and bindings sent.
    """

    received: int = 0
    direct: int = 0
    to_backend: int = 0
    to_caller: int = 0
    forwarded: int = 0
    bindings_sent: int = 0
    control_received: int = 0
    control_sent: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    dropped: Counter[str] = field(default_factory=Counter)

    def drop(self, reason: Enum) -> None:
        """Count a dropped packet."""
        self.dropped[reason.value] += 1

    def snapshot(self) -> PacketCounts:
        """Copy of the counters that is safe to pass to other tasks."""
        return PacketCounts(
            self.received,
            self.direct,
            self.to_backend,
            self.to_caller,
            self.forwarded,
            self.bindings_sent,
            dict(self.refused),
            dict(self.dropped),
        )


@dataclass(slots=True)
class Packet:
    """A received packet in the receive buffer, which the next packet overwrites."""

    buffer: bytearray
    frame: Frame
    segment: Segment
    hop: Hop | None


class PacketOutput(AbstractContextManager["PacketOutput"]):
    """Owns the UDP socket and sends frames and messages to other tasks.

    :param fabric: endpoint that receives frames for callers and backend servers.
    """

    def __init__(
        self,
        sock: socket.socket,
        fabric: Endpoint,
        reports: Mailbox[Any],
        handovers: Mailbox[HandoverOut],
    ) -> None:
        self.socket = sock
        self.fabric: Address = (fabric.address, fabric.port)
        self.counts = Counts()
        self.revision = Revision(0)
        self.reports = reports
        self.handovers = handovers
        self._nodes: dict[NodeId, Address] = {}
        self._apis: dict[NodeId, Endpoint] = {}
        self._senders: dict[Address, NodeId] = {}

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.socket.close()

    def use_cluster_state(self, cluster: ClusterState) -> None:
        """Use the revision and the addresses of balancers of the replicated state."""
        self.revision = cluster.revision
        nodes = cluster.nodes.values()
        self._nodes = {n.id: (n.data.address, n.data.port) for n in nodes}
        self._apis = {node.id: node.api for node in nodes}
        self._senders = {address: node for node, address in self._nodes.items()}

    def node_at(self, address: Address) -> NodeId | None:
        """Balancer whose data endpoint has this address, if there is one."""
        return self._senders.get(address)

    def send_frame(self, frame: bytes | memoryview, address: Address) -> bool:
        """Send a frame without blocking; drop it if the send buffer is full.

        :returns: whether the frame was sent.
        """
        try:
            self.socket.sendto(frame, address)
        except OSError:
            self.counts.drop(PacketDropReason.SEND_FAILED)
            return False
        return True

    def send_to_node(self, node: NodeId, frame: bytes) -> bool:
        """Send a frame to another balancer."""
        address = self._nodes.get(node)
        if address is None:
            self.counts.drop(PacketDropReason.UNKNOWN_NODE)
            return False
        return self.send_frame(frame, address)

    def reply(self, body: bytes) -> None:
        """Send a packet that this balancer generated, such as a reset."""
        self.send_frame(geneve.PLAIN_HEADER + body, self.fabric)

    def api_of(self, node: NodeId) -> Endpoint | None:
        """Endpoint of the HTTP server of another balancer."""
        return self._apis.get(node)

    def send_to_fabric(self, packet: Packet) -> bool:
        """Send a packet from the receive buffer to the fabric."""
        inner = packet.buffer[packet.segment.start : packet.segment.end]
        return self.send_frame(
            geneve.header(_trace_options(packet)) + inner, self.fabric
        )


@singledispatch
def execute(decision: Decision, output: PacketOutput, packet: Packet | None) -> None:
    """Execute a decision.

    :param packet: the packet that the decision is about, if there is one.
    """
    raise TypeError(f"unsupported decision type: {type(decision).__name__}")


@execute.register
def _(decision: SendToBackend, output: PacketOutput, packet: Packet) -> None:
    segment = packet.segment
    if segment.ttl <= 1:
        output.counts.drop(PacketDropReason.TTL_EXPIRED)
        return
    change = decision.target.to_backend
    if segment.quoted is not None:
        ipv4.rewrite_error_destination(packet.buffer, segment, change)
    else:
        ipv4.rewrite_destination(packet.buffer, segment, change)
    output.counts.to_backend += output.send_to_fabric(packet)


@execute.register
def _(decision: ReturnToCaller, output: PacketOutput, packet: Packet) -> None:
    segment = packet.segment
    if segment.ttl <= 1:
        output.counts.drop(PacketDropReason.TTL_EXPIRED)
        return
    change = decision.target.to_caller
    if segment.quoted is not None:
        ipv4.rewrite_error_source(packet.buffer, segment, change)
    else:
        ipv4.rewrite_source(packet.buffer, segment, change)
    output.counts.to_caller += output.send_to_fabric(packet)


@execute.register
def _(decision: ForwardToNode, output: PacketOutput, packet: Packet) -> None:
    segment = packet.segment
    if segment.ttl <= 1:
        output.counts.drop(PacketDropReason.TTL_EXPIRED)
        return
    ipv4.decrement_ttl(packet.buffer, segment)
    options = (geneve.encode_forward(decision.forwarding), *_trace_options(packet))
    frame = geneve.header(options) + packet.buffer[segment.start : segment.end]
    output.counts.forwarded += output.send_to_node(decision.node, frame)


@execute.register
def _(decision: Refuse, output: PacketOutput, packet: Packet) -> None:
    output.counts.refused[decision.reason.value] += 1
    segment = packet.segment
    if segment.protocol == ipv4.PROTOCOL_TCP:
        if not segment.tcp_flags & ipv4.RST:
            output.reply(ipv4.reset_for(packet.buffer, segment))
    elif segment.protocol == ipv4.PROTOCOL_UDP:
        code = _UNREACHABLE_CODES[decision.reason]
        output.reply(ipv4.unreachable_for(packet.buffer, segment, code))


@execute.register
def _(decision: Drop, output: PacketOutput, packet: Packet) -> None:
    output.counts.drop(decision.reason)


@execute.register
def _(decision: SendBinding, output: PacketOutput, packet: Packet | None) -> None:
    lifetime = int(decision.lifetime)
    binding = Binding(output.revision, decision.backend_index, lifetime)
    header = geneve.header((geneve.encode_binding(binding),), oam=True)
    frame = header + ipv4.flow_headers(*key_fields(decision.flow))
    output.counts.control_sent += len(frame)
    output.counts.bindings_sent += output.send_to_node(decision.node, frame)


@execute.register
def _(decision: SendReports, output: PacketOutput, packet: Packet | None) -> None:
    output.reports.post(decision)


@execute.register
def _(decision: SendHandover, output: PacketOutput, packet: Packet | None) -> None:
    api = output.api_of(decision.node)
    if api is not None:
        output.handovers.post(HandoverOut(api, decision.handover))


def _trace_options(packet: Packet) -> tuple[bytes, ...]:
    return () if packet.hop is None else (packet.hop.option,)
