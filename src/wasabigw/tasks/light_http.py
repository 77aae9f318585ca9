"""HTTP/1.1 server and client for processes that must start fast.

h11 implements the protocol and this module the sockets. The server runs on the
selector of a task. Other servers and clients use cherrypy and requests, which take
several times as long to load.
"""

import math
import selectors
import socket
from collections.abc import Callable
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass
from types import TracebackType

import h11
from returns.result import Failure, Result, Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.request_number import REQUEST_NUMBER, is_response_to
from wasabigw.runtime.timer import monotonic

RECEIVE_BYTES = 65_536
MAX_CONNECTIONS = 512
"""Maximum number of open connections; further ones are closed immediately."""
MAX_REQUEST_BYTES = 16_384
"""Maximum size of the header section of a request; a body is discarded."""
MAX_SEND_BUFFER_BYTES = 8 * 2**20
"""Maximum send buffer; a connection with more unsent bytes is closed."""
MAX_RESPONSE_BYTES = 64 * 2**20
"""Maximum size of a response body that a client accepts."""
BACKLOG = 128
NO_LIMIT = Seconds(math.inf)
"""Time limit of a response that may take any time while bytes of it arrive."""

_NUMBER_KEY = REQUEST_NUMBER.lower().encode()

Callback = Callable[[int], None]
"""Called by a task with the ready events of a registered socket."""


@dataclass(frozen=True, slots=True)
class LightRequest:
    """A request, whose body is ignored.

    :param target: path and query.
    """

    connection: "ServerConnection"
    method: str
    target: str


RequestHandler = Callable[[LightRequest], None]
"""Handles a request and calls :meth:`ServerConnection.respond`, possibly later."""


class ServerConnection:
    """Connection of a client; owned by the task that owns the server."""

    def __init__(
        self,
        sock: socket.socket,
        selector: selectors.BaseSelector,
        handle: RequestHandler,
    ) -> None:
        self._socket = sock
        self._selector = selector
        self._handle = handle
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES
        )
        self._unsent = b""
        self._request_number: bytes | None = None
        self.is_open = True
        selector.register(sock, selectors.EVENT_READ, self._on_ready)

    def respond(
        self, status: int, body: bytes = b"", content_type: str = "application/json"
    ) -> None:
        """Respond to the last request; does nothing if the connection is closed."""
        if not self.is_open:
            return
        headers = [("Content-Length", str(len(body)))]
        if self._request_number is not None:
            headers.append((REQUEST_NUMBER, self._request_number.decode("latin-1")))
        if body:
            headers.append(("Content-Type", content_type))
        try:
            data = self._http.send(h11.Response(status_code=status, headers=headers))
            data = (data or b"") + (self._http.send(h11.Data(data=body)) or b"")
            data += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError:
            self.close()
            return
        self._send(data)
        self._start_next_cycle()

    def close(self) -> None:
        """Close the connection."""
        if not self.is_open:
            return
        self.is_open = False
        self._selector.unregister(self._socket)
        self._socket.close()

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._send(b"")
        if self.is_open and events & selectors.EVENT_READ:
            self._receive()

    def _receive(self) -> None:
        try:
            data = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        if not data:
            self.close()
            return
        self._parse(data)

    def _parse(self, data: bytes) -> None:
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self.close()

    def _process_events(self) -> None:
        while self.is_open:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.close()
            elif isinstance(event, h11.Request):
                method, target = event.method.decode(), event.target.decode("latin-1")
                self._request_number = dict(event.headers).get(_NUMBER_KEY)
                self._handle(LightRequest(self, method, target))
            elif isinstance(event, h11.EndOfMessage):
                # After an immediate response, the request itself ends only now.
                self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        if not self.is_open:
            return
        if self._http.our_state is h11.MUST_CLOSE:
            if not self._unsent:
                self.close()
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    def _send(self, data: bytes) -> None:
        self._unsent += data
        if not self._unsent:
            return
        try:
            sent = self._socket.send(self._unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close()
            return
        self._unsent = self._unsent[sent:]
        if len(self._unsent) > MAX_SEND_BUFFER_BYTES:
            self.close()
            return
        events = selectors.EVENT_READ
        if self._unsent:
            events |= selectors.EVENT_WRITE
        self._selector.modify(self._socket, events, self._on_ready)


class LightServer(AbstractContextManager["LightServer"]):
    """Server whose sockets are registered with the selector of a task.

    Each is registered with a :data:`Callback` as its data, which the task calls with
    the ready events.

    :param handle: called for each request.
    """

    def __init__(
        self, bind: Endpoint, selector: selectors.BaseSelector, handle: RequestHandler
    ) -> None:
        self._selector = selector
        self._handle = handle
        self._connections: list[ServerConnection] = []
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        try:
            self._socket.bind((bind.address, bind.port))
        except OSError:
            self._socket.close()
            raise

    @property
    def endpoint(self) -> Endpoint:
        """Address and port that the server listens on."""
        address, port = self._socket.getsockname()
        return Endpoint(address, port)

    def __enter__(self) -> "LightServer":
        self._socket.listen(BACKLOG)
        self._selector.register(self._socket, selectors.EVENT_READ, self._on_ready)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connection in self._connections:
            connection.close()
        with suppress(KeyError):
            self._selector.unregister(self._socket)
        self._socket.close()

    def _on_ready(self, _events: int) -> None:
        try:
            accepted, _ = self._socket.accept()
        except OSError:
            return
        self._connections = [c for c in self._connections if c.is_open]
        if len(self._connections) >= MAX_CONNECTIONS:
            accepted.close()
            return
        accepted.setblocking(False)
        connection = ServerConnection(accepted, self._selector, self._handle)
        self._connections.append(connection)


class LightClient(AbstractContextManager["LightClient"]):
    """Client with a connection to one server at a time; owned by one task.

    :ivar traffic: bytes of all requests and responses.
    """

    def __init__(self) -> None:
        self.traffic = 0
        self._number = 0
        self._server: Endpoint | None = None
        self._socket: socket.socket | None = None
        self._http = h11.Connection(h11.CLIENT)

    def get(
        self,
        server: Endpoint,
        target: str,
        connect_timeout: Seconds,
        read_timeout: Seconds,
        response_timeout: Seconds = NO_LIMIT,
    ) -> Result[bytes, str]:
        """Body of a response with status 200, or why there is none.

        A failure closes the connection, because a middlebox may have lost its
        connection state.

        :param read_timeout: maximum time without any byte of the response.
        :param response_timeout: maximum time until the response is complete.
        """
        try:
            sock = self._connect(server, connect_timeout)
            deadline = Seconds(monotonic() + response_timeout)
            sock.settimeout(read_timeout)
            self._send_request(sock, server, target)
            body = self._read_response(sock, read_timeout, deadline)
        except TimeoutError:
            self.close()
            return Failure("timed out")
        except (OSError, h11.ProtocolError) as error:
            self.close()
            return Failure(getattr(error, "strerror", None) or str(error))
        if not isinstance(body, Success):
            self.close()
        return body

    def close(self) -> None:
        """Close the connection; the next request opens a new one."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def _send_request(self, sock: socket.socket, server: Endpoint, target: str) -> None:
        host = f"{server.address}:{server.port}"
        self._number += 1
        headers = [("Host", host), (REQUEST_NUMBER, str(self._number))]
        request = h11.Request(method="GET", target=target, headers=headers)
        data = (self._http.send(request) or b"") + (
            self._http.send(h11.EndOfMessage()) or b""
        )
        sock.sendall(data)
        self.traffic += len(data)

    def _connect(self, server: Endpoint, timeout: Seconds) -> socket.socket:
        if self._socket is not None and self._server == server:
            return self._socket
        self.close()
        self._socket = socket.create_connection(
            (server.address, server.port), timeout=timeout
        )
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._server = server
        self._http = h11.Connection(h11.CLIENT)
        return self._socket

    def _read_response(
        self, sock: socket.socket, read_timeout: Seconds, deadline: Seconds
    ) -> Result[bytes, str]:
        status = 0
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                remaining = deadline - monotonic()
                if remaining <= 0:
                    raise TimeoutError
                sock.settimeout(min(read_timeout, remaining))
                received = sock.recv(RECEIVE_BYTES)
                self.traffic += len(received)
                self._http.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
                returned = dict(event.headers).get(_NUMBER_KEY)
                number = returned.decode("latin-1") if returned is not None else None
                if not is_response_to(str(self._number), number):
                    return Failure("the response is to another request")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES:
                    return Failure(f"the response exceeds {MAX_RESPONSE_BYTES} bytes")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return Failure("the server closed the connection")
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()
        return Success(bytes(body)) if status == 200 else Failure(f"status {status}")
