"""Application of the backend server stand-in."""

from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatchmethod
from typing import Any

from absl import logging
from returns.result import Failure, Success

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    RequestId,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import Announcement, LoadReport
from wasabigw.core.states import BackendServerState
from wasabigw.core.timing import ANNOUNCE_INTERVAL, IN_FORCE_BOUND
from wasabigw.runtime.mailbox import Mailbox
from wasabigw_demo import exchange, tcp
from wasabigw_demo.exchange import AnswerHeader, AnswerStatus, Request
from wasabigw_demo.host import Application, FlowId, Host
from wasabigw_demo.records import RecordKind, RecordWriter

CHUNK_INTERVAL = Seconds(0.1)
"""Time between two chunks of an answer that is sent over a period."""
MAX_CACHED_ANSWERS = 10_000
"""Answers to UDP requests that are cached for retransmitted requests."""
DATAGRAM_FLOW_IDLE_TIMEOUT = Seconds(10.0)
"""Idle time after which a UDP flow no longer delays a drain."""
COLD_CONNECTIONS = 4
"""Default number of connections that a cold backend server accepts."""


class ServerCommand(Enum):
    """Commands of the control endpoint."""

    DRAIN = "drain"
    TURN_COLD = "turn-cold"
    TURN_READY = "turn-ready"
    SHED = "shed"
    STOP_SHEDDING = "stop-shedding"
    LIE = "lie"
    TELL_TRUTH = "tell-truth"


@dataclass(frozen=True, slots=True)
class StatusQuery:
    """Request for the status of the application."""

    reply: Mailbox["ServerStatus"]


@dataclass(frozen=True, slots=True)
class AnnouncementResult:
    """Result of the last announcement.

    :param message: text of the response or of the error.
    """

    accepted: bool
    message: str


@dataclass(frozen=True, slots=True)
class AnnouncementsEnded:
    """No announcement follows the one with the state ``LEAVING``."""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status of the stand-in.

    :param accepted: whether a balancer accepted the last announcement.
    :param runs_repeated: runs of requests that had run before.
    """

    id: BackendServerId
    state: BackendServerState
    accepted: bool
    open_connections: int
    peak_connections: int
    requests: int
    runs_repeated: int


@dataclass(frozen=True, slots=True)
class ServerIdentity:
    """Constant part of the announcements of a backend server."""

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class _Chunk:
    due: Seconds
    data: bytes


@dataclass(slots=True)
class _ServedFlow:
    received: bytearray = field(default_factory=bytearray)
    chunks: list[_Chunk] = field(default_factory=list)
    peer_closed: bool = False
    closed: bool = False
    requests: int = 0


@dataclass(slots=True)
class ServerSettings:
    """Behaviour that the command line and control commands set.

    :param cold_connections: connections that are accepted while the server is cold.
    :param shedding: whether requests are answered as shed without being run.
    :param lying: whether a ready state and an idle load are announced regardless of
        the real ones.
    """

    cold: bool = False
    cold_connections: int = COLD_CONNECTIONS
    shedding: bool = False
    lying: bool = False


class ServerApplication(Application):
    """Answers requests, writes records, and announces its state.

    :param announcer: receives an :class:`Announcement` every second, and
        :class:`AnnouncementsEnded` after the last one.
    """

    def __init__(
        self,
        identity: ServerIdentity,
        settings: ServerSettings,
        records: RecordWriter,
        announcer: Mailbox[Any],
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._records = records
        self._announcer = announcer
        self._flows: dict[FlowId, _ServedFlow] = {}
        self._datagram_flows: dict[FlowId, Seconds] = {}
        self._answers: dict[RequestId, bytes] = {}
        self._executed: set[RequestId] = set()
        self._now = Seconds(0.0)
        self._next_announcement = Seconds(0.0)
        self._drain_since: Seconds | None = None
        self._announcements_ended = False
        self._accepted = False
        self._peak_connections = 0
        self._requests = 0
        self._repeated_runs = 0
        self._recorded_packets = 0

    def accepts(self, flow: FlowId) -> bool:
        """Accept a connection unless the server is cold and at its limit."""
        if flow.local != self._identity.endpoint:
            return False
        settings = self._settings
        return not settings.cold or len(self._flows) < settings.cold_connections

    def opened(self, host: Host, flow: FlowId) -> None:
        """Start serving a connection."""
        self._flows[flow] = _ServedFlow()
        self._peak_connections = max(self._peak_connections, len(self._flows))
        self._records.write(
            RecordKind.OPENED,
            at=host.now,
            caller=_endpoint_text(flow.remote),
            open_connections=len(self._flows),
        )

    def received(self, host: Host, flow: FlowId, data: bytes) -> None:
        """Run the requests that have arrived completely."""
        served = self._flows[flow]
        served.received += data
        while (line := exchange.pop_line(served.received)) is not None:
            self._line_received(host, flow, line)
        if len(served.received) > exchange.MAX_LINE_SIZE:
            logging.warning("%s: request line too long", self._identity.id)
            served.received.clear()
            self._close_flow(host, flow)

    def peer_closed(self, host: Host, flow: FlowId) -> None:
        """Close the connection after all answers have been sent."""
        self._flows[flow].peer_closed = True
        self._close_if_idle(host, flow)

    def closed(self, host: Host, flow: FlowId, reason: tcp.CloseReason) -> None:
        """Record the end of a connection."""
        served = self._flows.pop(flow, None)
        if served is None:
            return
        self._records.write(
            RecordKind.FLOW,
            caller=_endpoint_text(flow.remote),
            server=self._identity.id,
            reason=reason.value,
            requests=served.requests,
        )

    def datagram_received(self, host: Host, flow: FlowId, payload: bytes) -> None:
        """Run a UDP request once, and resend its answer to retransmitted requests."""
        if flow.local != self._identity.endpoint:
            return
        self._datagram_flows[flow] = self._now
        match exchange.decode_request(payload):
            case Success(request):
                self._answer_datagram(host, flow, request)
            case Failure(problem):
                logging.warning("%s: malformed request: %s", self._identity.id, problem)

    def unreachable(self, host: Host, flow: FlowId) -> None:
        """Ignore the error; the caller repeats requests that were not answered."""

    def tick(self, host: Host, now: Seconds) -> None:
        """Send the chunks that are due, and announce the state every second."""
        self._now = now
        if host.packets != self._recorded_packets:
            # The recorded time is late by one tick period at most.
            count = host.packets - self._recorded_packets
            self._records.write(RecordKind.PACKETS, at=now, count=count)
            self._recorded_packets = host.packets
        for flow, served in list(self._flows.items()):
            self._send_due(host, flow, served)
        for flow, last_request in list(self._datagram_flows.items()):
            if now - last_request > DATAGRAM_FLOW_IDLE_TIMEOUT:
                del self._datagram_flows[flow]
        if now >= self._next_announcement and not self._announcements_ended:
            self._next_announcement = Seconds(now + ANNOUNCE_INTERVAL)
            self._announce(now)

    def message_received(self, host: Host, message: Any) -> None:
        """Handle a command, a status query or the result of an announcement."""
        self._handle(message)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"unknown message for a backend server: {message!r}")

    @_handle.register
    def _(self, message: AnnouncementResult) -> None:
        if message.accepted != self._accepted:
            self._records.write(
                RecordKind.ANNOUNCEMENT,
                at=self._now,
                accepted=message.accepted,
                message=message.message,
            )
        self._accepted = message.accepted

    @_handle.register
    def _(self, message: StatusQuery) -> None:
        message.reply.post(self.status())

    @_handle.register
    def _(self, message: ServerCommand) -> None:
        settings = self._settings
        match message:
            case ServerCommand.DRAIN:
                if self._drain_since is None:
                    self._drain_since = self._now
                    self._next_announcement = self._now
            case ServerCommand.TURN_COLD | ServerCommand.TURN_READY:
                settings.cold = message is ServerCommand.TURN_COLD
            case ServerCommand.SHED | ServerCommand.STOP_SHEDDING:
                settings.shedding = message is ServerCommand.SHED
            case ServerCommand.LIE | ServerCommand.TELL_TRUTH:
                settings.lying = message is ServerCommand.LIE

    def status(self) -> ServerStatus:
        """Current status."""
        return ServerStatus(
            self._identity.id,
            self._state(self._now),
            self._accepted,
            len(self._flows),
            self._peak_connections,
            self._requests,
            self._repeated_runs,
        )

    def _state(self, now: Seconds) -> BackendServerState:
        if self._drain_since is not None:
            # All balancers know of the drain within IN_FORCE_BOUND; until then they
            # may still send new flows to this server.
            drain_known = now - self._drain_since >= IN_FORCE_BOUND
            idle = not self._flows and not self._datagram_flows
            drained = drain_known and idle
            state = BackendServerState
            return state.LEAVING if drained else state.DRAINING
        if self._settings.cold and not self._settings.lying:
            return BackendServerState.COLD
        return BackendServerState.READY

    def _announce(self, now: Seconds) -> None:
        state = self._state(now)
        identity = self._identity
        announcement = Announcement(
            id=identity.id,
            service=identity.service,
            failure_domain=identity.failure_domain,
            endpoint=identity.endpoint,
            boot_id=identity.boot_id,
            state=state,
            slots=identity.slots,
            connections=identity.connections,
            load=self._load(),
        )
        self._announcer.post(announcement)
        if state is BackendServerState.LEAVING:
            self._announcements_ended = True
            self._announcer.post(AnnouncementsEnded())

    def _load(self) -> LoadReport:
        if self._settings.lying:
            return LoadReport()
        busy = sum(1 for served in self._flows.values() if served.chunks)
        busy = min(busy, self._identity.slots)
        return LoadReport(len(self._flows), busy, not self._settings.shedding)

    def _line_received(self, host: Host, flow: FlowId, line: bytes) -> None:
        match exchange.decode_request(line):
            case Success(request):
                self._answer(host, flow, request)
            case Failure(problem):
                logging.warning("%s: malformed request: %s", self._identity.id, problem)
                self._close_flow(host, flow)

    def _answer(self, host: Host, flow: FlowId, request: Request) -> None:
        served = self._flows[flow]
        served.requests += 1
        body = self._run_request(request, flow)
        header = exchange.encode_line(self._header(request, body))
        chunks = _split_into_chunks(header + (body or b""), request.spread, self._now)
        served.chunks += chunks
        self._send_due(host, flow, served)

    def _answer_datagram(self, host: Host, flow: FlowId, request: Request) -> None:
        body = self._answers.get(request.id)
        if body is None:
            body = self._run_request(request, flow)
        if body is None:
            host.send_datagram(flow, exchange.encode_line(self._header(request, None)))
            return
        self._cache_answer(request.id, body)
        for part, data in enumerate(exchange.split_into_parts(body)):
            header = self._header(request, body, part)
            host.send_datagram(flow, exchange.encode_line(header) + data)

    def _cache_answer(self, request: RequestId, body: bytes) -> None:
        if len(self._answers) >= MAX_CACHED_ANSWERS:
            del self._answers[next(iter(self._answers))]
        self._answers[request] = body

    def _run_request(self, request: Request, flow: FlowId) -> bytes | None:
        """Run a request; returns the body of its answer, ``None`` if it was shed."""
        if self._settings.shedding:
            return None
        self._requests += 1
        if request.id in self._executed:
            self._repeated_runs += 1
        self._executed.add(request.id)
        self._records.write(
            RecordKind.REQUEST,
            id=request.id,
            size=request.size,
            idempotent=request.idempotent,
            server=self._identity.id,
            caller=_endpoint_text(flow.remote),
            open_connections=len(self._flows),
            at=self._now,
        )
        return exchange.expected_body(request)

    def _header(
        self, request: Request, body: bytes | None, part: int = 0
    ) -> AnswerHeader:
        server = self._identity.id
        if body is None:
            return AnswerHeader(request.id, AnswerStatus.SHED, 0, "", server)
        digest = exchange.body_digest(body)
        return AnswerHeader(
            request.id, AnswerStatus.OK, len(body), digest, server, part
        )

    def _send_due(self, host: Host, flow: FlowId, served: _ServedFlow) -> None:
        while served.chunks and served.chunks[0].due <= self._now:
            host.send(flow, served.chunks.pop(0).data)
        self._close_if_idle(host, flow)

    def _close_if_idle(self, host: Host, flow: FlowId) -> None:
        served = self._flows.get(flow)
        if served is not None and served.peer_closed and not served.chunks:
            self._close_flow(host, flow)

    def _close_flow(self, host: Host, flow: FlowId) -> None:
        served = self._flows[flow]
        if not served.closed:
            served.closed = True
            host.finish(flow)


def _split_into_chunks(data: bytes, spread: float, now: Seconds) -> list[_Chunk]:
    count = max(1, int(spread / CHUNK_INTERVAL))
    size = -(-len(data) // count)
    starts = range(0, len(data), size)
    return [
        _Chunk(Seconds(now + index * CHUNK_INTERVAL), data[start : start + size])
        for index, start in enumerate(starts)
    ]


def _endpoint_text(endpoint: Endpoint) -> str:
    return f"{endpoint.address}:{endpoint.port}"
