"""TCP relay stand-in: ``python -m wasabigw_demo.tcp_relay``.

It represents the network between TCP clients and servers on different VMs. On
command it stops forwarding while the connections stay open, so that neither end
receives data or an error.
"""

import selectors
import signal
import socket
import threading
from contextlib import ExitStack, suppress
from dataclasses import dataclass, field
from enum import Enum
from functools import singledispatchmethod
from types import FrameType
from typing import Annotated, Any

import cherrypy
import typer

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox, SelectableMailbox
from wasabigw.runtime.task import Stop, Task
from wasabigw_demo import control_http
from wasabigw_demo.addresses import parse_endpoint, socket_address

CONSENSUS_PATH = b"/v1/consensus"
RECEIVE_SIZE = 65_536
BACKLOG = 64
CONNECT_TIMEOUT = 1.0
CONTROL_REPLY_TIMEOUT = Seconds(2.0)

application = typer.Typer(add_completion=False)


class RelayCommand(Enum):
    """Commands of the control endpoint; connections between voters stay unaffected."""

    SILENCE_OPEN = "silence-open"
    """Stop forwarding on the connections open now, but forward new ones."""
    SILENCE_ALL = "silence-all"
    """Stop forwarding on all connections; new ones are accepted, not forwarded."""
    RESUME = "resume"
    """Forward new connections again; silenced ones stay silenced."""


@dataclass(frozen=True, slots=True)
class RelayCounts:
    """Numbers of connections, without those of voters."""

    accepted: int
    silenced: int


@dataclass(frozen=True, slots=True)
class CountsQuery:
    """Request for the connection counts."""

    reply: Mailbox[RelayCounts]


@dataclass(eq=False, slots=True)
class _Direction:
    """One direction of a link."""

    source: socket.socket
    target: socket.socket
    link: "_Link"


@dataclass(eq=False, slots=True)
class _Link:
    """A client connection and its connection to the server.

    :param upstream: connection to the server; ``None`` until the first bytes arrive.
    :param is_voter: whether the client is a voter; ``None`` until the first bytes
        arrive.
    :param silenced: whether forwarding has stopped for good.
    """

    client: socket.socket
    server: Endpoint
    upstream: socket.socket | None = None
    is_voter: bool | None = None
    silenced: bool = False


@dataclass(slots=True)
class _RelayState:
    links: set[_Link] = field(default_factory=set)
    silence_all: bool = False
    accepted: int = 0
    silenced: int = 0


class RelayTask(Task[Any]):
    """Owns the listening sockets and all connections.

    :param routes: server endpoint for each listening endpoint.
    """

    def __init__(self, routes: dict[Endpoint, Endpoint]) -> None:
        self._inbox: SelectableMailbox[Any] = SelectableMailbox("relay")
        super().__init__("relay", self._inbox)
        self._state = _RelayState()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._inbox, selectors.EVENT_READ)
        self._listeners = [self._listen(*route) for route in routes.items()]

    def run(self) -> None:
        """Forward until :class:`Stop` arrives."""
        while True:
            for key, _ in self._selector.select():
                self._handle_ready(key.data)
            for message in self._inbox.drain():
                if isinstance(message, Stop):
                    return
                self.receive(message)

    @singledispatchmethod
    def receive(self, message: Any) -> None:
        """Handle a message of the control endpoint."""
        raise TypeError(f"unknown message for the relay: {message!r}")

    @receive.register
    def _(self, message: RelayCommand) -> None:
        self._state.silence_all = message is RelayCommand.SILENCE_ALL
        if message is RelayCommand.RESUME:
            return
        for link in list(self._state.links):
            if not link.is_voter:
                self._silence(link)

    @receive.register
    def _(self, message: CountsQuery) -> None:
        state = self._state
        message.reply.post(RelayCounts(state.accepted, state.silenced))

    def close(self) -> None:
        """Close all sockets."""
        for link in list(self._state.links):
            self._close_link(link)
        for listener in self._listeners:
            listener.close()
        self._selector.close()
        self._inbox.__exit__(None, None, None)

    def _listen(self, listen: Endpoint, server: Endpoint) -> socket.socket:
        listener = socket.create_server(socket_address(listen), backlog=BACKLOG)
        self._selector.register(listener, selectors.EVENT_READ, (listener, server))
        return listener

    def _handle_ready(self, data: Any) -> None:
        match data:
            case _Direction():
                self._forward_data(data)
            case (socket.socket() as listener, Endpoint() as server):
                client, _ = listener.accept()
                link = _Link(client, server)
                self._state.links.add(link)
                direction = _Direction(client, client, link)
                self._selector.register(client, selectors.EVENT_READ, direction)

    def _forward_data(self, direction: _Direction) -> None:
        link = direction.link
        if link.silenced or link not in self._state.links:
            return
        try:
            data = direction.source.recv(RECEIVE_SIZE)
            if not data:
                self._close_link(link)
                return
            if link.upstream is None and not self._open_upstream(direction, data):
                return
            direction.target.sendall(data)
        except OSError:
            self._close_link(link)

    def _open_upstream(self, direction: _Direction, data: bytes) -> bool:
        """Connect to the server; the first bytes show whether the client is a voter."""
        link = direction.link
        link.is_voter = CONSENSUS_PATH in data
        self._state.accepted += not link.is_voter
        if self._state.silence_all and not link.is_voter:
            self._silence(link)
            return False
        upstream = socket.create_connection(
            socket_address(link.server), CONNECT_TIMEOUT
        )
        link.upstream = upstream
        direction.target = upstream
        reverse = _Direction(upstream, link.client, link)
        self._selector.register(upstream, selectors.EVENT_READ, reverse)
        return True

    def _silence(self, link: _Link) -> None:
        if link.silenced:
            return
        link.silenced = True
        self._state.silenced += 1
        self._unregister(link)

    def _unregister(self, link: _Link) -> None:
        for relayed_socket in (link.client, link.upstream):
            if relayed_socket is not None:
                with suppress(KeyError, ValueError):
                    self._selector.unregister(relayed_socket)

    def _close_link(self, link: _Link) -> None:
        self._unregister(link)
        self._state.links.discard(link)
        for relayed_socket in (link.client, link.upstream):
            if relayed_socket is not None:
                relayed_socket.close()


class ControlEndpoint:
    """HTTP handlers of the relay."""

    def __init__(self, relay: Mailbox[Any]) -> None:
        self._relay = relay

    @control_http.exposed("POST")
    def command(self, name: str = "") -> Any:
        """``POST /command?name=NAME``: one of :class:`RelayCommand`."""
        names = [command.value for command in RelayCommand]
        if name not in names:
            control_http.reject(f"unknown command {name!r}; use one of {names}")
        self._relay.post(RelayCommand(name))
        return {"accepted": name}

    @control_http.exposed("GET")
    def counts(self) -> Any:
        """``GET /counts``: numbers of accepted and silenced connections."""
        reply: Mailbox[RelayCounts] = Mailbox("counts")
        self._relay.post(CountsQuery(reply))
        counts = reply.get(CONTROL_REPLY_TIMEOUT).value_or(None)
        if counts is None:
            raise cherrypy.HTTPError(503, "the relay did not reply in time")
        return {"accepted": counts.accepted, "silenced": counts.silenced}


def parse_relay_route(text: str) -> tuple[Endpoint, Endpoint]:
    """Listening and server endpoint from ``listen=server``.

    :raises typer.BadParameter: if the text is not of that form.
    """
    listen, _, server = text.partition("=")
    return parse_endpoint(listen), parse_endpoint(server)


@application.command()
def main(
    route: Annotated[list[str], typer.Option(help="listen=server; may be repeated.")],
    control: Annotated[str, typer.Option(help="HTTP control endpoint to bind.")],
) -> None:
    """Forward TCP connections until SIGTERM or SIGINT."""
    stop_requested = threading.Event()
    _install_signals(stop_requested)
    with ExitStack() as stack:
        task = stack.enter_context(
            RelayTask(dict(parse_relay_route(text) for text in route))
        )
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
