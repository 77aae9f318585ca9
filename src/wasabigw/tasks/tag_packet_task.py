"""Task that owns the UDP socket and the state of a balancer that delivers by tags."""

import selectors
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import singledispatch, singledispatchmethod
from http import HTTPStatus
from typing import Self

from returns.result import Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, NodeId, RegionId, Seconds
from wasabigw.core.tags.admission.admission_control import (
    expire_openings,
    hold_opening,
    release_openings,
    time_to_release_held,
    update_services,
)
from wasabigw.core.tags.admission.fair_queue import Datagram
from wasabigw.core.tags.admission.held_openings import HeldOpening
from wasabigw.core.tags.decisions import Deliver, Drop, DropReason, Hold, Refuse
from wasabigw.core.tags.features import Features
from wasabigw.core.tags.flow_table import expire_flows
from wasabigw.core.tags.link.egress import (
    Admission,
    make_egress_queue,
    release,
    submit,
    take_evicted,
    time_to_release,
)
from wasabigw.core.tags.link.link_classes import link_class_of
from wasabigw.core.tags.link.upload_turns import (
    expire_turns,
    needs_turn,
    take_turns,
    time_to_turn,
    wait_for_turn,
)
from wasabigw.core.tags.liveness.caller_diversion import decay_counts, should_divert
from wasabigw.core.tags.liveness.host_checks import HostChecked
from wasabigw.core.tags.liveness.unreachable_hosts import record_check
from wasabigw.core.tags.opening_steering import decide_released
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide, record_loss, record_release
from wasabigw.core.tags.updates import apply_declaration, apply_view_update
from wasabigw.core.view_lease import NEVER
from wasabigw.runtime.mailbox import SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import Tick, monotonic
from wasabigw.tasks.admission_log import log_shortage_changes
from wasabigw.tasks.condition_log import ConditionLog
from wasabigw.tasks.decision_log import DecisionLog
from wasabigw.tasks.host_checker import make_host_checker
from wasabigw.tasks.light_http import LightRequest, LightServer
from wasabigw.tasks.light_metrics import LightMetrics
from wasabigw.tasks.load_log import LoadLog
from wasabigw.tasks.load_messages import ReportAnswered, ReportLoadTo
from wasabigw.tasks.load_reporter import LoadReporter
from wasabigw.tasks.packet_socket import Received, make_packet_socket
from wasabigw.tasks.route_page import ROUTE_PATH, respond_with_route
from wasabigw.tasks.share_metrics import share_families
from wasabigw.tasks.tag_codec import Address, DocumentDecoder, FlowPacketCodec
from wasabigw.tasks.tag_messages import (
    BeginTagDrain,
    TagBalancerStatus,
    TagStatusRequest,
    TagTaskMessage,
)
from wasabigw.tasks.tag_metrics import families_of
from wasabigw.tasks.view_follower import ViewReceived
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import Family
from wasabigw.telemetry.log_events import log

PACKETS_PER_WAKE_UP = 64
"""Maximum number of packets handled before the mailbox is checked again."""
StatusResponder = Callable[[LightRequest, TagBalancerStatus], None]
"""Responds to an HTTP request about the state of the balancer."""

MAINTENANCE_TICK = "upkeep"
REPORT_TICK = "report"
"""Tick at which load is reported."""
MAINTENANCE_PERIOD = Seconds(1.0)
"""Period of the tick that expires idle flows and resets the budget of log lines."""

MIN_PREVIEW_INTERVAL = Seconds(0.5)
"""Minimum time between two previews of a route.

A preview takes time for each backend server of the service, while packets wait.
"""


@dataclass(frozen=True, slots=True)
class TagPacketSettings:
    """Settings of the packet task.

    :param bind: endpoint that receives packets.
    :param status_endpoint: HTTP endpoint at which routers query the state.
    :param respond_status: responds to such a query.
    :param metrics: HTTP endpoint of the metrics; ``None`` if they are not served.
    :param link_megabits: capacity of the link in Mbit/s; ``None`` if it is not known.
    :param features: parts that operators have left switched on.
    """

    node: NodeId
    failure_domain: FailureDomainId
    regions: Mapping[FailureDomainId, RegionId]
    bind: Endpoint
    codec: FlowPacketCodec
    decode_document: DocumentDecoder
    status_endpoint: Endpoint
    respond_status: StatusResponder
    metrics: Endpoint | None = None
    link_megabits: float | None = None
    features: Features = Features()  # noqa: RUF009 - a frozen dataclass


class TagPacketTask(SelectorTask[TagTaskMessage]):
    """Delivers packets of callers to backend servers.

    It waits for its socket and its mailbox at the same time. It does not read the
    socket before it has a view, so packets wait in the receive buffer until then.
    """

    def __init__(
        self,
        settings: TagPacketSettings,
        mailbox: SelectableMailbox[TagTaskMessage | Stop],
    ) -> None:
        super().__init__("packets", mailbox)
        self._settings = settings
        self._socket = make_packet_socket()
        self._state = TagState(
            settings.node,
            settings.failure_domain,
            settings.regions,
            egress=make_egress_queue(settings.link_megabits),
            features=settings.features,
        )
        self._backlogged_since: Seconds | None = None
        self._decision_log = DecisionLog(self._state)
        self._load_log = LoadLog(self._state)
        self._conditions = ConditionLog(self._state)
        self._counts: Counter[str] = Counter()
        self._last_packet = monotonic()
        self._draining = False
        self._previewed_at = NEVER
        self._control_traffic = 0
        self._load = LoadReporter(self._state)
        self._server = LightServer(
            settings.status_endpoint, self._selector, self._respond_status
        )
        self._checker = make_host_checker(self.mailbox)
        self._metrics = LightMetrics(
            settings.metrics,
            self._selector,
            self._metric_families,
            {ROUTE_PATH: self._respond_route},
        )

    @property
    def address(self) -> Address:
        """Address at which the task receives packets, after its context was entered."""
        return self._socket.address

    def __enter__(self) -> Self:
        """Bind the socket and start the task.

        Binding happens here rather than in the thread of the task, so that an error
        is raised to whoever enters the context.

        :raises OSError: if the endpoint of the settings can't be bound.
        """
        self._socket.bind(self._settings.bind)
        address, port = self.address
        log(
            BalancerEvent.SOCKET_OPENED,
            node=self._settings.node,
            address=address,
            port=port,
            buffer=self._socket.buffer_size,
        )
        for part in (self._socket, self._metrics, self._server, self._checker):
            self._resources.enter_context(part)
        return super().__enter__()

    def _receive_packets(self, _events: int) -> None:
        if self._backlogged_since is None:
            self._backlogged_since = monotonic()
        for _ in range(PACKETS_PER_WAKE_UP):
            try:
                received = self._socket.receive()
            except BlockingIOError:
                self._backlogged_since = None
                return
            except OSError:
                self._counts["receive-failed"] += 1
                continue
            # Read for each packet: the process may have been paused since the last one,
            # and a decision must not rely on a view that has expired meanwhile.
            self._last_packet = monotonic()
            self._receive_packet(received, self._last_packet)

    def _receive_packet(self, received: Received, now: Seconds) -> None:
        packet = self._settings.codec.parse(received.data)
        if isinstance(packet, str):
            self._counts[packet] += 1
            return
        decision = decide(packet, self._state, now, received.waited)
        self._decision_log.log_decision(packet, decision, now)
        if self._state.health_changes:
            self._decision_log.log_health_changes(now)
        if self._state.weight_changes:
            self._decision_log.log_weight_changes()
        if self._state.admission.changes:
            log_shortage_changes(self._state)
        self._request_host_checks()
        _execute(decision, received.data, now, self)

    def _request_host_checks(self) -> None:
        checks = self._state.host_checks
        for check in checks:
            self._checker.mailbox.post(check)
        checks.clear()

    def deliver(self, packet: FlowPacket, datagram: Datagram, now: Seconds) -> None:
        """Send a packet to its backend server as soon as the link can take it."""
        if needs_turn(packet, self._state):
            wait_for_turn(packet, datagram, self._state, now)
            self._begin_uploads(now)
        else:
            self._submit(packet, datagram, now)

    def _begin_uploads(self, now: Seconds) -> None:
        """Send the openings of uploads whose turn it is."""
        for expired in expire_turns(self._state, now):
            self._drop_from_link(expired.packet, DropReason.OPENING_EXPIRED, now)
        for waiting in take_turns(self._state, now):
            record_release(waiting.packet, self._state, now)
            self._submit(waiting.packet, waiting.datagram, now)

    def _submit(self, packet: FlowPacket, datagram: Datagram, now: Seconds) -> None:
        egress = self._state.egress
        link_class = link_class_of(packet, self._state, now)
        admission = submit(egress, packet, datagram, now, link_class)
        if admission is Admission.SEND:
            self._send_to_server(packet, datagram)
        elif admission is Admission.REJECTED:
            self._drop_from_link(packet, DropReason.LINK_FULL, now)
        elif admission is Admission.REPLACED:
            self.count("replaced")
        for evicted in take_evicted(egress):
            self._drop_from_link(evicted.packet, DropReason.LINK_FULL, now)

    def hold(self, opening: HeldOpening) -> None:
        """Keep an opening until its service has room."""
        dropped = hold_opening(opening, self._state)
        self.count("held")
        if dropped is not None:
            self._drop_held(dropped, monotonic())

    def _drop_held(self, opening: HeldOpening, now: Seconds) -> None:
        drop = Drop(DropReason.HELD_TOO_LONG)
        self._decision_log.log_decision(opening.packet, drop, now)
        _execute(drop, opening.datagram, now, self)

    def _handle_held(self) -> None:
        """Release held openings; the ones that waited for too long come first.

        A balancer that was suspended must not open a flow by a decision from before.
        """
        if not self._state.admission.held.flows:
            return
        now = monotonic()
        for opening in expire_openings(self._state, now):
            self._drop_held(opening, now)
        for opening in release_openings(self._state, now):
            decision = decide_released(opening, self._state, now)
            self._decision_log.log_decision(opening.packet, decision, now)
            _execute(decision, opening.datagram, now, self)
            self._last_packet = now

    def _drop_from_link(
        self, packet: FlowPacket, reason: DropReason, now: Seconds
    ) -> None:
        record_loss(packet, self._state)
        drop = Drop(reason)
        self._decision_log.log_decision(packet, drop, now)
        self.count(f"dropped-{drop.reason.value}")

    def _time_to_next(self) -> Seconds | None:
        if self._state.egress.is_empty and not self._state.admission.held.flows:
            return None
        now = monotonic()
        times = (
            time_to_release(self._state.egress, now),
            time_to_release_held(self._state, now),
            time_to_turn(self._state),
        )
        return min((time for time in times if time is not None), default=None)

    def _handle_due(self) -> None:
        self._handle_held()
        if self._state.egress.is_empty:
            return
        now = monotonic()
        self._begin_uploads(now)
        for waiting in release(self._state.egress, now):
            record_release(waiting.packet, self._state, now)
            self._send_to_server(waiting.packet, waiting.datagram)
            self._last_packet = now
        for expired in take_evicted(self._state.egress):
            self._drop_from_link(expired.packet, DropReason.OPENING_EXPIRED, now)

    def _send_to_server(self, packet: FlowPacket, datagram: Datagram) -> None:
        if not self.send(datagram.data, datagram.address, "delivered"):
            record_loss(packet, self._state)

    def send(self, datagram: bytes, address: Address, outcome: str) -> bool:
        """Send a datagram and count its outcome.

        :returns: whether it was sent.
        """
        try:
            self._socket.send(datagram, address)
        except (OSError, OverflowError):
            self._counts["send-failed"] += 1
            return False
        self._counts[outcome] += 1
        return True

    def count(self, outcome: str) -> None:
        """Count the outcome of a packet for which nothing is sent."""
        self._counts[outcome] += 1

    @property
    def codec(self) -> FlowPacketCodec:
        """Codec of the packets."""
        return self._settings.codec

    @singledispatchmethod
    def receive(self, message: TagTaskMessage) -> None:
        """Handle a message."""
        raise TypeError(f"unsupported message type: {type(message).__name__}")

    @receive.register
    def _(self, message: ViewReceived) -> None:
        state, now = self._state, monotonic()
        self._control_traffic = message.traffic
        is_first = not state.has_view
        before = state.view.revision
        if apply_view_update(message.update, message.sent_at, state, now):
            self._apply_document()
            self._conditions.log_view_change(before, message)
        if is_first and state.has_view:
            log(BalancerEvent.FIRST_VIEW, node=state.node, revision=state.view.revision)
            self._selector.register(
                self._socket, selectors.EVENT_READ, self._receive_packets
            )
        self._conditions.log_freshness(now)

    @receive.register
    def _(self, message: HostChecked) -> None:
        now = monotonic()
        for refusal in record_check(message, self._state, now):
            self._decision_log.log_decision(refusal.packet, refusal, now)
            _execute(refusal, b"", now, self)

    @receive.register
    def _(self, message: TagStatusRequest) -> None:
        message.reply.post(self._status())

    @receive.register
    def _(self, message: BeginTagDrain) -> None:
        self._draining = True
        self._state.admission.is_draining = True
        self._handle_held()

    @receive.register
    def _(self, message: ReportLoadTo) -> None:
        self._load.receiver = message.mailbox

    @receive.register
    def _(self, message: ReportAnswered) -> None:
        self._load.record_answer(message)

    @receive.register
    def _(self, message: Tick) -> None:
        if message.token == REPORT_TICK:
            self._load.report(message.now)
            return
        expire_flows(self._state, message.now)
        decay_counts(self._state.diversion)
        update_services(self._state, message.now)
        log_shortage_changes(self._state)
        self._decision_log.reset_budget()
        self._conditions.log_freshness(message.now)
        self._conditions.log_link_queue(self._counts["replaced"])
        self._conditions.log_receive_wait(self._receive_wait(monotonic()))
        self._load_log.log_changes(monotonic())

    def _respond_status(self, request: LightRequest) -> None:
        self._settings.respond_status(request, self._status())

    def _respond_route(self, request: LightRequest) -> None:
        now = monotonic()
        if now - self._previewed_at < MIN_PREVIEW_INTERVAL:
            request.connection.respond(HTTPStatus.TOO_MANY_REQUESTS)
            return
        self._previewed_at = now
        respond_with_route(request, self._state, now)

    def _metric_families(self) -> list[Family]:
        now = monotonic()
        return [
            *families_of(
                self._state,
                self._decision_log.decisions,
                self._counts,
                self._decision_log.suppressed,
                self._control_traffic,
                now,
                self._receive_wait(now),
            ),
            *self._load.families(now),
            *share_families(self._state, now),
        ]

    def _status(self) -> TagBalancerStatus:
        now = monotonic()
        state = self._state
        return TagBalancerStatus(
            state.node,
            state.has_view and not self._draining and not self._check_diversion(now),
            state.is_fresh(now),
            state.view.revision,
            state.declared_version,
            len(state.flows),
            self._idle_time(now),
            state.egress.size,
            self._control_traffic,
            dict(self._counts),
        )

    def _idle_time(self, now: Seconds) -> Seconds:
        """Time without packets; none while packets that can be handled are unread.

        A task that was suspended or got no processor may handle a status request
        before the packets that came meanwhile.
        """
        if self._state.has_view and not self._is_receive_buffer_empty():
            return Seconds(0.0)
        return Seconds(now - self._last_packet)

    def _apply_document(self) -> None:
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

    def _check_diversion(self, now: Seconds) -> bool:
        """Whether callers are diverted to other failure domains; logs each change."""
        state = self._state
        diverts = should_divert(state.diversion, state.is_fresh(now), now)
        self._conditions.log_diversion(diverts, now)
        return diverts

    def _receive_wait(self, now: Seconds) -> Seconds:
        """Longest time that a packet may have waited in the receive buffer so far."""
        if self._backlogged_since is not None and self._is_receive_buffer_empty():
            self._backlogged_since = None
        since = self._backlogged_since
        return Seconds(0.0 if since is None else now - since)

    def _is_receive_buffer_empty(self) -> bool:
        try:
            return self._socket.is_empty()
        except OSError:
            self._counts["receive-failed"] += 1
        return False


@singledispatch
def _execute(
    decision: object, datagram: bytes, now: Seconds, task: TagPacketTask
) -> None:
    raise TypeError(f"not a decision on a packet: {decision!r}")


@_execute.register
def _(decision: Deliver, datagram: bytes, now: Seconds, task: TagPacketTask) -> None:
    out, address = task.codec.encode_delivery(
        datagram, decision.server, decision.receiver
    )
    task.deliver(decision.packet, Datagram(out, address), now)


@_execute.register
def _(decision: Refuse, datagram: bytes, now: Seconds, task: TagPacketTask) -> None:
    out, address = task.codec.encode_reset(decision.packet)
    task.send(out, address, f"refused-{decision.reason.value}")


@_execute.register
def _(decision: Drop, datagram: bytes, now: Seconds, task: TagPacketTask) -> None:
    task.count(f"dropped-{decision.reason.value}")


@_execute.register
def _(decision: Hold, datagram: bytes, now: Seconds, task: TagPacketTask) -> None:
    task.hold(decision.opening._replace(datagram=datagram))


def make_tag_packet_task(settings: TagPacketSettings) -> TagPacketTask:
    """Create the packet task of a balancer; entering its context binds the socket."""
    return TagPacketTask(settings, SelectableMailbox("packets"))
