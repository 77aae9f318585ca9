"""Benchmark subject that delivers by tags: a real packet task with a simple codec."""

import struct
import time
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result

from wasabigw.core.declaration import Declaration
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    BackendServerId,
    FailureDomainId,
    NodeId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument, Registration
from wasabigw.core.tags.decisions import Receiver
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.light_http import LightRequest
from wasabigw.tasks.tag_codec import Address
from wasabigw.tasks.tag_messages import TagBalancerStatus, TagStatusRequest
from wasabigw.tasks.tag_packet_task import TagPacketSettings, make_tag_packet_task
from wasabigw.tasks.view_follower import ViewReceived

LOOPBACK = "127.0.0.1"
SERVERS = 10
CALLER, LISTENER = 0x64400000, 0xC6120001
PACKETS_PER_FLOW = 4
PAYLOAD_BYTES = 180
"""Payload of a packet, about the size of a short request."""
LEASE = Seconds(1e9)
REPLY_TIMEOUT = Seconds(20.0)
DOMAIN = FailureDomainId("domain-0")
_HEADER = struct.Struct(">IIHIHII")
"""Tag, caller address and port, listener address and port, sequence and ack numbers."""


class FixedHeaderCodec:
    """Codec of packets that consist of a fixed header and a payload.

    :param sink: address to which all packets are delivered.
    """

    def __init__(self, sink: Address) -> None:
        self._sink = sink

    def parse(self, datagram: bytes) -> FlowPacket | str:
        """Parse a datagram as a mid-flow packet."""
        tag, caller, caller_port, listener, port, sequence, acknowledged = (
            _HEADER.unpack_from(datagram)
        )
        flow = FlowId(caller, caller_port, listener, port)
        length = len(datagram) - _HEADER.size
        return FlowPacket(
            flow, Tag(tag), False, False, False, 0, sequence, acknowledged, length
        )

    def encode_delivery(
        self, datagram: bytes, server: Registration, receiver: Receiver
    ) -> tuple[bytes, Address]:
        """Encode a delivery: the datagram with the tag of the backend server."""
        return server.tag.to_bytes(4, "big") + datagram[4:], self._sink

    def encode_reset(self, packet: FlowPacket) -> tuple[bytes, Address]:
        """Encode an empty reset; the benchmark refuses no flow."""
        return b"", self._sink


def tagged_frames(count: int) -> list[bytes]:
    """Mid-flow packets, :data:`PACKETS_PER_FLOW` per flow, for all backend servers.

    Each packet of a flow acknowledges more data than the one before, as the packets of
    a caller do whose requests are answered.
    """
    flows = count // PACKETS_PER_FLOW
    frames = []
    for number in range(count):
        step, flow = divmod(number, flows)
        tag = flow % SERVERS + 1
        header = _HEADER.pack(tag, CALLER + flow, 4000, LISTENER, 443, step, step)
        frames.append(header + bytes(PAYLOAD_BYTES))
    return frames


def run_tags(
    sink_port: str,
    thread_clock: Callable[[str], int],
    serve: Callable[[dict[str, Callable[..., Any]]], None],
) -> None:
    """Run a packet task with a view of some backend servers until commands end."""
    settings = TagPacketSettings(
        NodeId("n0"),
        DOMAIN,
        {DOMAIN: RegionId("region")},
        Endpoint(LOOPBACK, 0),
        FixedHeaderCodec((LOOPBACK, int(sink_port))),
        _reject_document,
        Endpoint(LOOPBACK, 0),
        _ignore_request,
    )
    registrations = {
        Tag(number): _make_registration(number) for number in range(1, SERVERS + 1)
    }
    view = DeliveryView(Revision(1), registrations)
    update = update_since(view, NO_REVISION, LEASE)
    with make_tag_packet_task(settings) as task:
        task.mailbox.post(ViewReceived(update, Endpoint(LOOPBACK, 0), monotonic()))
        clock = thread_clock("packets")

        def status() -> dict[str, Any]:
            reply: Mailbox[TagBalancerStatus] = Mailbox("reply")
            task.mailbox.post(TagStatusRequest(reply))
            counts = reply.get(REPLY_TIMEOUT).unwrap().counts
            received = sum(counts.values())
            return {"received": received, "cpu": time.clock_gettime(clock)}

        serve({"address": lambda: task.address, "status": status})


def _make_registration(number: int) -> Registration:
    return Registration(
        Tag(number),
        BackendServerId(f"b{number}"),
        ServiceId("service"),
        DOMAIN,
        Endpoint(LOOPBACK, 9),
        1,
        4,
    )


def _reject_document(document: DeclaredDocument) -> Result[Declaration, str]:
    return Failure(f"document {document.version} not supported by the benchmark")


def _ignore_request(request: LightRequest, status: TagBalancerStatus) -> None:
    """Ignore a status request; the benchmark sends none over HTTP."""
