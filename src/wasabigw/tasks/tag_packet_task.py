"""Task that owns the UDP socket and the state of a balancer that delivers by tags."""

import selectors
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import singledispatch, singledispatchmethod
from typing import Self

from returns.result import Success

from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, NodeId, RegionId, Revision, Seconds
from wasabigw.core.tags.decisions import Deliver, Drop, Refuse
from wasabigw.core.tags.reach import decay_counts, should_divert
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import (
    decide,
    expire_flows,
    is_server_lost,
    refuse_open_flows,
)
from wasabigw.core.tags.updates import apply_declaration, apply_view_update
from wasabigw.runtime.mailbox import SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.decision_log import DecisionLog
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.tasks.light_metrics import LightMetrics
from wasabigw.tasks.tag_codec import Address, DocumentDecoder, FlowPacketCodec
from wasabigw.tasks.tag_messages import (
    BeginLeaving,
    TagBalancerStatus,
    TagStatusRequest,
    TagTaskMessage,
)
from wasabigw.tasks.tag_metrics import families_of, state_of
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import Family
from wasabigw.telemetry.log_events import log

RECEIVE_BYTES = 65_536
"""Bytes of the largest datagram."""
SOCKET_BUFFER = 1024 * 1024
"""Bytes that the kernel may queue."""
PACKETS_PER_WAKE_UP = 64
"""Packets handled before the mailbox is looked at again."""
AnswerQuestion = Callable[[LightRequest, TagBalancerStatus], None]
"""Answers a question about the state over HTTP."""

MAINTENANCE_TICK = "upkeep"
MAINTENANCE_PERIOD = Seconds(1.0)
"""Period of :data:`MAINTENANCE_TICK`, with which idle flows are forgotten."""


BOOTS_LOGGED = 20
"""Boots that the line on a change of the view names."""


@dataclass(frozen=True, slots=True)
class TagPacketSettings:
    """What the packet task needs to know of its surroundings.

    :param bind: where packets arrive.
    :param questions: where those that hand out packets ask for the state.
    :param answer: answers such a question.
    """

    node: NodeId
    failure_domain: FailureDomainId
    regions: Mapping[FailureDomainId, RegionId]
    bind: Endpoint
    codec: FlowPacketCodec
    decode_document: DocumentDecoder
    questions: Endpoint
    answer: AnswerQuestion
    metrics: Endpoint | None = None


class TagPacketTask(SelectorTask[TagTaskMessage]):
    """Carries packets of callers to backend servers.

    It waits for its socket and its mailbox. Until it has a view, packets wait in the
    buffer of the socket.
    """

    def __init__(
        self,
        settings: TagPacketSettings,
        mailbox: SelectableMailbox[TagTaskMessage | Stop],
    ) -> None:
        super().__init__("packets", mailbox)
        self._settings = settings
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._state = TagState(settings.node, settings.failure_domain, settings.regions)
        self._was_fresh = False
        self._was_away = False
        self._decisions = DecisionLog(self._state)
        self._counts: Counter[str] = Counter()
        self._last_packet = monotonic()
        self._leaving = False
        self._control_traffic = 0
        self._server = LightServer(
            settings.questions, self._selector, self._answer_question
        )
        self._metrics = LightMetrics(
            settings.metrics, self._selector, self._metric_families
        )

    @property
    def address(self) -> Address:
        """Where the task receives packets, once its context was entered."""
        address: Address = self._socket.getsockname()
        return address

    def __enter__(self) -> Self:
        """Bind the socket, so that a failure reaches the caller, and start.

        :raises OSError: if the endpoint of the settings can't be bound.
        """
        bind = self._settings.bind
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
        self._socket.bind((bind.address, bind.port))
        address, port = self.address
        log(
            BalancerEvent.SOCKET_OPENED,
            node=self._settings.node,
            address=address,
            port=port,
            buffer=self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF),
        )
        for part in (self._socket, self._metrics, self._server):
            self._resources.enter_context(part)
        return super().__enter__()

    def _receive_packets(self, _events: int) -> None:
        now = monotonic()
        self._last_packet = now
        receive = self._socket.recvfrom
        for _ in range(PACKETS_PER_WAKE_UP):
            try:
                datagram, _sender = receive(RECEIVE_BYTES)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error for a datagram that was sent earlier.
                self._counts["receive-failed"] += 1
                continue
            self._receive_packet(datagram, now)

    def _receive_packet(self, datagram: bytes, now: Seconds) -> None:
        packet = self._settings.codec.parse(datagram)
        if isinstance(packet, str):
            self._counts[packet] += 1
            return
        decision = decide(packet, self._state, now)
        self._decisions.log_decision(packet, decision, now)
        if self._state.health_changes:
            self._decisions.log_health_changes(now)
        _execute(decision, datagram, self)
        if is_server_lost(decision):
            for other in refuse_open_flows(packet, self._state):
                self._decisions.log_decision(other.packet, other, now)
                _execute(other, datagram, self)

    def send(self, datagram: bytes, address: Address, outcome: str) -> None:
        """Send a datagram and count its outcome."""
        try:
            self._socket.sendto(datagram, address)
        except OSError:
            outcome = "send-failed"
        self._counts[outcome] += 1

    def count(self, outcome: str) -> None:
        """Count what became of a packet that is not answered."""
        self._counts[outcome] += 1

    @property
    def codec(self) -> FlowPacketCodec:
        """Encoding of the packets."""
        return self._settings.codec

    @singledispatchmethod
    def receive(self, message: TagTaskMessage) -> None:
        """Handle one message."""
        raise TypeError(f"no rule for the message {type(message).__name__}")

    @receive.register
    def _(self, message: ViewReceived) -> None:
        state, now = self._state, monotonic()
        self._control_traffic = message.traffic
        is_first = not state.has_view
        before = state.view.revision
        if apply_view_update(message.update, message.sent_at, state, now):
            self._declare()
            self._log_change(before, message.update)
        if is_first and state.has_view:
            log(BalancerEvent.FIRST_VIEW, node=state.node, revision=state.view.revision)
            self._selector.register(
                self._socket, selectors.EVENT_READ, self._receive_packets
            )
        self._note_freshness(now)

    @receive.register
    def _(self, message: TagStatusRequest) -> None:
        message.reply.post(self._status())

    @receive.register
    def _(self, message: BeginLeaving) -> None:
        self._leaving = True

    @receive.register
    def _(self, message: Tick) -> None:
        expire_flows(self._state, message.now)
        decay_counts(self._state.diversion)
        self._decisions.end_second()
        self._note_freshness(message.now)

    def _answer_question(self, request: LightRequest) -> None:
        self._settings.answer(request, self._status())

    def _metric_families(self) -> list[Family]:
        return families_of(
            self._state,
            self._decisions.decisions,
            self._counts,
            self._decisions.left_out,
            self._control_traffic,
            monotonic(),
        )

    def _status(self) -> TagBalancerStatus:
        now = monotonic()
        state = self._state
        return TagBalancerStatus(
            state.node,
            state.has_view and not self._leaving and not self._note_reach(now),
            state.is_fresh(now),
            state.view.revision,
            state.declared_version,
            len(state.flows),
            Seconds(now - self._last_packet),
            self._control_traffic,
            dict(self._counts),
        )

    def _declare(self) -> None:
        state = self._state
        document = state.view.document
        if document is None or document.version == state.declared_version:
            return
        decoded = self._settings.decode_document(document)
        if isinstance(decoded, Success):
            apply_declaration(decoded.unwrap(), state)
            return
        log(
            BalancerEvent.DOCUMENT_UNREADABLE,
            version=document.version,
            reason=decoded.failure(),
        )

    def _log_change(self, before: Revision, update: ViewUpdate) -> None:
        state = self._state
        changed = [f"{b.id} {state_of(b)}" for b in update.boots[:BOOTS_LOGGED]]
        if len(update.boots) > BOOTS_LOGGED:
            changed.append(f"and {len(update.boots) - BOOTS_LOGGED} more")
        log(
            BalancerEvent.VIEW_CHANGED,
            before=before,
            revision=state.view.revision,
            boots=", ".join(changed),
            version=state.declared_version,
            out_of_service=", ".join(state.view.out_of_service),
        )

    def _note_reach(self, now: Seconds) -> bool:
        """Whether callers are to be sent elsewhere; logs when this changes."""
        state = self._state
        away = should_divert(state.diversion, state.is_fresh(now), now)
        if away != self._was_away:
            self._was_away = away
            event = BalancerEvent.CALLERS_AWAY if away else BalancerEvent.CALLERS_BACK
            log(
                event,
                node=state.node,
                failure_domain=state.failure_domain,
                age=round(now - state.confirmed_at, 3),
            )
        return away

    def _note_freshness(self, now: Seconds) -> None:
        state = self._state
        fresh = state.is_fresh(now)
        if fresh == self._was_fresh:
            return
        self._was_fresh = fresh
        event = BalancerEvent.VIEW_FRESH if fresh else BalancerEvent.VIEW_STALE
        log(event, node=state.node, revision=state.view.revision)


@singledispatch
def _execute(decision: object, datagram: bytes, task: TagPacketTask) -> None:
    raise TypeError(f"not a decision on a packet: {decision!r}")


@_execute.register
def _(decision: Deliver, datagram: bytes, task: TagPacketTask) -> None:
    out, address = task.codec.encode_delivery(datagram, decision.server)
    task.send(out, address, "delivered")


@_execute.register
def _(decision: Refuse, datagram: bytes, task: TagPacketTask) -> None:
    out, address = task.codec.encode_reset(decision.packet)
    task.send(out, address, f"refused-{decision.reason.value}")


@_execute.register
def _(decision: Drop, datagram: bytes, task: TagPacketTask) -> None:
    task.count(f"dropped-{decision.reason.value}")


def make_tag_packet_task(settings: TagPacketSettings) -> TagPacketTask:
    """Packet task of a balancer; entering its context binds the socket."""
    return TagPacketTask(settings, SelectableMailbox("packets"))
