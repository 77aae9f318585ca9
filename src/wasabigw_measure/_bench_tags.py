"""Subject of the benchmark that delivers by tags: a real packet task, a plain codec."""

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
STEPS = 4
DATA_BYTES = 180
"""Data of a packet, as many as a short request has."""
FOREVER = Seconds(1e9)
WAIT = Seconds(20.0)
DOMAIN = FailureDomainId("domain-0")
_HEAD = struct.Struct(">IIHIHII")
"""Tag, caller and its port, listener and its port, sequence, acknowledged."""


class PlainPackets:
    """Codec with a fixed header of a usual size and nothing more.

    :param sink: where all packets are delivered.
    """

    def __init__(self, sink: Address) -> None:
        self._sink = sink

    def parse(self, datagram: bytes) -> FlowPacket | str:
        """Packet in the middle of a flow."""
        tag, caller, caller_port, listener, port, sequence, acknowledged = (
            _HEAD.unpack_from(datagram)
        )
        flow = FlowId(caller, caller_port, listener, port)
        length = len(datagram) - _HEAD.size
        return FlowPacket(
            flow, Tag(tag), False, False, False, 0, sequence, acknowledged, length
        )

    def encode_delivery(
        self, datagram: bytes, server: Registration
    ) -> tuple[bytes, Address]:
        """The same bytes with the tag of the backend server."""
        return server.tag.to_bytes(4, "big") + datagram[4:], self._sink

    def encode_reset(self, packet: FlowPacket) -> tuple[bytes, Address]:
        """Nothing is refused here."""
        return b"", self._sink


def tagged_frames(count: int) -> list[bytes]:
    """Packets of a quarter as many flows, over all backend servers.

    Each packet of a flow acknowledges something else than the one before, as that of a
    caller does whose requests are answered.
    """
    flows = count // STEPS
    frames = []
    for number in range(count):
        step, flow = divmod(number, flows)
        tag = flow % SERVERS + 1
        head = _HEAD.pack(tag, CALLER + flow, 4000, LISTENER, 443, step, step)
        frames.append(head + bytes(DATA_BYTES))
    return frames


def run_tags(
    sink_port: str,
    thread_clock: Callable[[str], int],
    serve: Callable[[dict[str, Callable[..., Any]]], None],
) -> None:
    """Run a packet task with a view of a few backend servers until told to end."""
    settings = TagPacketSettings(
        NodeId("n0"),
        DOMAIN,
        {DOMAIN: RegionId("region")},
        Endpoint(LOOPBACK, 0),
        PlainPackets((LOOPBACK, int(sink_port))),
        _no_declaration,
        Endpoint(LOOPBACK, 0),
        _no_answer,
    )
    boots = {Tag(number): _boot(number) for number in range(1, SERVERS + 1)}
    view = DeliveryView(Revision(1), boots)
    update = update_since(view, NO_REVISION, FOREVER)
    with make_tag_packet_task(settings) as task:
        task.mailbox.post(ViewReceived(update, Endpoint(LOOPBACK, 0), monotonic()))
        clock = thread_clock("packets")

        def status() -> dict[str, Any]:
            reply: Mailbox[TagBalancerStatus] = Mailbox("reply")
            task.mailbox.post(TagStatusRequest(reply))
            counts = reply.get(WAIT).unwrap().counts
            received = sum(counts.values())
            return {"received": received, "cpu": time.clock_gettime(clock)}

        serve({"address": lambda: task.address, "status": status})


def _boot(number: int) -> Registration:
    return Registration(
        Tag(number),
        BackendServerId(f"b{number}"),
        ServiceId("service"),
        DOMAIN,
        Endpoint(LOOPBACK, 9),
        1,
        4,
    )


def _no_declaration(document: DeclaredDocument) -> Result[Declaration, str]:
    return Failure(f"no document is declared here, not {document.version}")


def _no_answer(request: LightRequest, status: TagBalancerStatus) -> None:
    """Nobody asks for readiness here."""
