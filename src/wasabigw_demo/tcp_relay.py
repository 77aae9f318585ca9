"""Relay stand-in: ``python -m wasabigw_demo.tcp_relay``.

It stands for what lies between the VMs of TCP clients and servers. On command it
stops forwarding while the connections stay open, so that both ends go silent
without an error.
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
from wasabigw_demo.addresses import as_pair, parse_endpoint

CONSENSUS_PATH = b"/v1/consensus"
CHUNK = 65_536
BACKLOG = 64
CONNECT_TIMEOUT = 1.0
REPLY_TIMEOUT = Seconds(2.0)

application = typer.Typer(add_completion=False)


class RelayCommand(Enum):
    """Commands of the control endpoint; links between voters are never cut."""

    SILENCE_OPEN = "silence-open"
    """Connections that are open now forward nothing more; new ones work."""
    SILENCE_ALL = "silence-all"
    """No connection forwards anything, and new ones are accepted all the same."""
    RESUME = "resume"
    """New connections work again; silenced ones stay silent."""


@dataclass(frozen=True, slots=True)
class RelayCounts:
    """Connections of clients other than voters."""

    accepted: int
    silenced: int


@dataclass(frozen=True, slots=True)
class CountsQuery:
    """Asks for the counts."""

    reply: Mailbox[RelayCounts]


@dataclass(eq=False, slots=True)
class _Pipe:
    """One direction of a connection."""

    source: socket.socket
    target: socket.socket
    link: "_Link"


@dataclass(eq=False, slots=True)
class _Link:
    """A connection of a client and the one to the server that belongs to it.

    :param is_voter: ``None`` until the first bytes have arrived.
    """

    client: socket.socket
    server: Endpoint
    upstream: socket.socket | None = None
    is_voter: bool | None = None
    silent: bool = False


@dataclass(slots=True)
class _State:
    links: set[_Link] = field(default_factory=set)
    all_silent: bool = False
    accepted: int = 0
    silenced: int = 0


class RelayTask(Task[Any]):
    """Owns the listening sockets and all connections.

    :param routes: endpoint of the server for each endpoint that is listened on.
    """

    def __init__(self, routes: dict[Endpoint, Endpoint]) -> None:
        self._inbox: SelectableMailbox[Any] = SelectableMailbox("relay")
        super().__init__("relay", self._inbox)
        self._state = _State()
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._inbox, selectors.EVENT_READ)
        self._listeners = [self._listen(*route) for route in routes.items()]

    def run(self) -> None:
        """Forward until :class:`Stop` arrives."""
        while True:
            for key, _ in self._selector.select():
                self._ready(key.data)
            for message in self._inbox.drain():
                if isinstance(message, Stop):
                    return
                self.receive(message)

    @singledispatchmethod
    def receive(self, message: Any) -> None:
        """Handle a message of the control endpoint."""
        raise TypeError(f"no message for the relay: {message!r}")

    @receive.register
    def _(self, message: RelayCommand) -> None:
        self._state.all_silent = message is RelayCommand.SILENCE_ALL
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
        listener = socket.create_server(as_pair(listen), backlog=BACKLOG)
        self._selector.register(listener, selectors.EVENT_READ, (listener, server))
        return listener

    def _ready(self, data: Any) -> None:
        match data:
            case _Pipe():
                self._forward(data)
            case (socket.socket() as listener, Endpoint() as server):
                client, _ = listener.accept()
                link = _Link(client, server)
                self._state.links.add(link)
                pipe = _Pipe(client, client, link)
                self._selector.register(client, selectors.EVENT_READ, pipe)

    def _forward(self, pipe: _Pipe) -> None:
        link = pipe.link
        if link.silent or link not in self._state.links:
            return
        try:
            data = pipe.source.recv(CHUNK)
            if not data:
                self._close_link(link)
                return
            if link.upstream is None and not self._open_upstream(pipe, data):
                return
            pipe.target.sendall(data)
        except OSError:
            self._close_link(link)

    def _open_upstream(self, pipe: _Pipe, data: bytes) -> bool:
        """Connect to the server, once the first bytes say who the client is."""
        link = pipe.link
        link.is_voter = CONSENSUS_PATH in data
        self._state.accepted += not link.is_voter
        if self._state.all_silent and not link.is_voter:
            self._silence(link)
            return False
        upstream = socket.create_connection(as_pair(link.server), CONNECT_TIMEOUT)
        link.upstream = upstream
        pipe.target = upstream
        back = _Pipe(upstream, link.client, link)
        self._selector.register(upstream, selectors.EVENT_READ, back)
        return True

    def _silence(self, link: _Link) -> None:
        if link.silent:
            return
        link.silent = True
        self._state.silenced += 1
        self._unregister(link)

    def _unregister(self, link: _Link) -> None:
        for end in (link.client, link.upstream):
            if end is not None:
                with suppress(KeyError, ValueError):
                    self._selector.unregister(end)

    def _close_link(self, link: _Link) -> None:
        self._unregister(link)
        self._state.links.discard(link)
        for end in (link.client, link.upstream):
            if end is not None:
                end.close()


class ControlEndpoint:
    """HTTP handlers of the relay."""

    def __init__(self, relay: Mailbox[Any]) -> None:
        self._relay = relay

    @control_http.exposed("POST")
    def command(self, name: str = "") -> Any:
        """``POST /command?name=NAME``: one of :class:`RelayCommand`."""
        names = [command.value for command in RelayCommand]
        if name not in names:
            control_http.refuse(f"unknown command {name!r}; use one of {names}")
        self._relay.post(RelayCommand(name))
        return {"accepted": name}

    @control_http.exposed("GET")
    def counts(self) -> Any:
        """``GET /counts``: connections that were accepted and silenced."""
        reply: Mailbox[RelayCounts] = Mailbox("counts")
        self._relay.post(CountsQuery(reply))
        counts = reply.get(REPLY_TIMEOUT).value_or(None)
        if counts is None:
            raise cherrypy.HTTPError(503, "the relay did not reply in time")
        return {"accepted": counts.accepted, "silenced": counts.silenced}


def parse_pair(text: str) -> tuple[Endpoint, Endpoint]:
    """Endpoints from ``listen=server``.

    :raises typer.BadParameter: if the text is not of that form.
    """
    listen, _, server = text.partition("=")
    return parse_endpoint(listen), parse_endpoint(server)


@application.command()
def main(
    route: Annotated[list[str], typer.Option(help="listen=server; repeat it.")],
    control: Annotated[str, typer.Option(help="HTTP control endpoint to bind.")],
) -> None:
    """Forward TCP connections until SIGTERM or SIGINT."""
    end = threading.Event()
    _install_signals(end)
    with ExitStack() as stack:
        task = stack.enter_context(RelayTask(dict(parse_pair(text) for text in route)))
        endpoint = ControlEndpoint(task.mailbox)
        stack.enter_context(control_http.serve(endpoint, parse_endpoint(control)))
        end.wait()


def _install_signals(end: threading.Event) -> None:
    def stop(number: int, frame: FrameType | None) -> None:
        end.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)


if __name__ == "__main__":
    application()
