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

SPREAD_INTERVAL = Seconds(0.1)
"""Time between two pieces of an answer that is spread over time."""
REMEMBERED_ANSWERS = 10_000
"""Answers to UDP requests that are kept for repeated datagrams."""
DATAGRAM_FLOW_IDLE = Seconds(10.0)
COLD_CONNECTIONS = 4
"""Connections that a cold backend server accepts unless told otherwise."""


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
    """Asks the application for its status."""

    reply: Mailbox["ServerStatus"]


@dataclass(frozen=True, slots=True)
class AnnouncementResult:
    """What became of the last announcement.

    :param message: text of the answer or of the error.
    """

    accepted: bool
    message: str


@dataclass(frozen=True, slots=True)
class Left:
    """The backend server has announced that it leaves."""


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """Status of the stand-in.

    :param accepted: whether a balancer accepted the last announcement.
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
    """What the backend server announces and does not change."""

    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    boot_id: BootId
    slots: int
    connections: int


@dataclass(frozen=True, slots=True)
class _Piece:
    due: Seconds
    data: bytes


@dataclass(slots=True)
class _ServedFlow:
    received: bytearray = field(default_factory=bytearray)
    pieces: list[_Piece] = field(default_factory=list)
    peer_closed: bool = False
    finished: bool = False
    requests: int = 0


@dataclass(slots=True)
class ServerSettings:
    """Behaviour that arguments and commands change.

    :param cold_connections: connections that are accepted while it is cold.
    """

    cold: bool = False
    cold_connections: int = COLD_CONNECTIONS
    shedding: bool = False
    lying: bool = False


class ServerApplication(Application):
    """Answers requests, keeps a record, and announces its state.

    :param announcer: receives an :class:`Announcement` each second, then
        :class:`Left` after the last one.
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
        self._ran: set[RequestId] = set()
        self._now = Seconds(0.0)
        self._next_announcement = Seconds(0.0)
        self._drain_since: Seconds | None = None
        self._left = False
        self._accepted = False
        self._peak = 0
        self._requests = 0
        self._repeated = 0
        self._packets = 0

    def accepts(self, flow: FlowId) -> bool:
        """Refuse connections above the load that a cold server can handle."""
        if flow.local != self._identity.endpoint:
            return False
        settings = self._settings
        return not settings.cold or len(self._flows) < settings.cold_connections

    def opened(self, host: Host, flow: FlowId) -> None:
        """Start to serve a connection."""
        self._flows[flow] = _ServedFlow()
        self._peak = max(self._peak, len(self._flows))
        self._records.write(
            RecordKind.OPENED,
            at=host.now,
            caller=_text(flow.remote),
            open_connections=len(self._flows),
        )

    def received(self, host: Host, flow: FlowId, data: bytes) -> None:
        """Run the requests that are complete."""
        served = self._flows[flow]
        served.received += data
        while (line := exchange.take_line(served.received)) is not None:
            self._line_arrived(host, flow, line)
        if len(served.received) > exchange.MAX_LINE:
            logging.warning("%s: request line too long", self._identity.id)
            served.received.clear()
            self._finish(host, flow)

    def peer_closed(self, host: Host, flow: FlowId) -> None:
        """Close the connection once all answers are sent."""
        self._flows[flow].peer_closed = True
        self._finish_if_idle(host, flow)

    def closed(self, host: Host, flow: FlowId, reason: tcp.CloseReason) -> None:
        """Record the end of a connection."""
        served = self._flows.pop(flow, None)
        if served is None:
            return
        self._records.write(
            RecordKind.FLOW,
            caller=_text(flow.remote),
            server=self._identity.id,
            reason=reason.value,
            requests=served.requests,
        )

    def datagram_received(self, host: Host, flow: FlowId, payload: bytes) -> None:
        """Run a UDP request once, and repeat its answer for repeated datagrams."""
        if flow.local != self._identity.endpoint:
            return
        self._datagram_flows[flow] = self._now
        match exchange.decode_request(payload):
            case Success(request):
                self._answer_datagram(host, flow, request)
            case Failure(problem):
                logging.warning("%s: bad request: %s", self._identity.id, problem)

    def unreachable(self, host: Host, flow: FlowId) -> None:
        """The caller repeats what it needs; nothing is done here."""

    def tick(self, host: Host, now: Seconds) -> None:
        """Send pieces that are due, and announce each second."""
        self._now = now
        if host.packets != self._packets:
            # The time of the record is at most one period of the tick too late.
            count = host.packets - self._packets
            self._records.write(RecordKind.PACKETS, at=now, count=count)
            self._packets = host.packets
        for flow, served in list(self._flows.items()):
            self._send_due(host, flow, served)
        for flow, last in list(self._datagram_flows.items()):
            if now - last > DATAGRAM_FLOW_IDLE:
                del self._datagram_flows[flow]
        if now >= self._next_announcement and not self._left:
            self._next_announcement = Seconds(now + ANNOUNCE_INTERVAL)
            self._announce(now)

    def message_received(self, host: Host, message: Any) -> None:
        """Handle a command, a query or the result of an announcement."""
        self._handle(message)

    @singledispatchmethod
    def _handle(self, message: object) -> None:
        raise TypeError(f"no message for a backend server: {message!r}")

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
        """Status of the stand-in now."""
        return ServerStatus(
            self._identity.id,
            self._state(self._now),
            self._accepted,
            len(self._flows),
            self._peak,
            self._requests,
            self._repeated,
        )

    def _state(self, now: Seconds) -> BackendServerState:
        if self._drain_since is not None:
            # Other balancers learn of the drain within the bound; until then
            # they may still send new flows here.
            settled = now - self._drain_since >= IN_FORCE_BOUND
            idle = not self._flows and not self._datagram_flows
            done = settled and idle
            state = BackendServerState
            return state.LEAVING if done else state.DRAINING
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
            self._left = True
            self._announcer.post(Left())

    def _load(self) -> LoadReport:
        if self._settings.lying:
            return LoadReport()
        busy = sum(1 for served in self._flows.values() if served.pieces)
        busy = min(busy, self._identity.slots)
        return LoadReport(len(self._flows), busy, not self._settings.shedding)

    def _line_arrived(self, host: Host, flow: FlowId, line: bytes) -> None:
        match exchange.decode_request(line):
            case Success(request):
                self._answer(host, flow, request)
            case Failure(problem):
                logging.warning("%s: bad request: %s", self._identity.id, problem)
                self._finish(host, flow)

    def _answer(self, host: Host, flow: FlowId, request: Request) -> None:
        served = self._flows[flow]
        served.requests += 1
        body = self._run(request, flow)
        header = exchange.encode_line(self._header(request, body))
        pieces = _pieces(header + (body or b""), request.spread, self._now)
        served.pieces += pieces
        self._send_due(host, flow, served)

    def _answer_datagram(self, host: Host, flow: FlowId, request: Request) -> None:
        body = self._answers.get(request.id)
        if body is None:
            body = self._run(request, flow)
        if body is None:
            host.send_datagram(flow, exchange.encode_line(self._header(request, None)))
            return
        self._remember(request.id, body)
        for part, data in enumerate(exchange.parts_of(body)):
            header = self._header(request, body, part)
            host.send_datagram(flow, exchange.encode_line(header) + data)

    def _remember(self, request: RequestId, body: bytes) -> None:
        if len(self._answers) >= REMEMBERED_ANSWERS:
            del self._answers[next(iter(self._answers))]
        self._answers[request] = body

    def _run(self, request: Request, flow: FlowId) -> bytes | None:
        """Body of the answer; ``None`` if the request is shed and not run."""
        if self._settings.shedding:
            return None
        self._requests += 1
        if request.id in self._ran:
            self._repeated += 1
        self._ran.add(request.id)
        self._records.write(
            RecordKind.REQUEST,
            id=request.id,
            size=request.size,
            idempotent=request.idempotent,
            server=self._identity.id,
            caller=_text(flow.remote),
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
        digest = exchange.digest_of(body)
        return AnswerHeader(
            request.id, AnswerStatus.OK, len(body), digest, server, part
        )

    def _send_due(self, host: Host, flow: FlowId, served: _ServedFlow) -> None:
        while served.pieces and served.pieces[0].due <= self._now:
            host.send(flow, served.pieces.pop(0).data)
        self._finish_if_idle(host, flow)

    def _finish_if_idle(self, host: Host, flow: FlowId) -> None:
        served = self._flows.get(flow)
        if served is not None and served.peer_closed and not served.pieces:
            self._finish(host, flow)

    def _finish(self, host: Host, flow: FlowId) -> None:
        served = self._flows[flow]
        if not served.finished:
            served.finished = True
            host.finish(flow)


def _pieces(data: bytes, spread: float, now: Seconds) -> list[_Piece]:
    count = max(1, int(spread / SPREAD_INTERVAL))
    size = -(-len(data) // count)
    starts = range(0, len(data), size)
    return [
        _Piece(Seconds(now + number * SPREAD_INTERVAL), data[start : start + size])
        for number, start in enumerate(starts)
    ]


def _text(endpoint: Endpoint) -> str:
    return f"{endpoint.address}:{endpoint.port}"
