"""Stub of the HTTP servers of control VMs and balancers."""

import json
import threading
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import TracebackType
from typing import Any, Self

NO_RESPONSE = None
"""Makes the stub close the connection without a response."""


@dataclass(frozen=True)
class Reply:
    """Response of the stub."""

    body: Any
    status: int = 200
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True)
class Received:
    """Request that the stub has received."""

    method: str
    target: str
    body: bytes
    headers: dict[str, str]


class StubControlServer:
    """Sends the replies of each path in order and repeats the last one."""

    def __init__(self) -> None:
        self.received: list[Received] = []
        self._replies: dict[str, list[Reply | None]] = defaultdict(list)
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        self._thread = threading.Thread(target=self._server.serve_forever, args=(0.01,))

    @property
    def endpoint(self) -> str:
        """Address and port."""
        return f"127.0.0.1:{self._server.server_address[1]}"

    def reply(self, path: str, *replies: Reply | None) -> None:
        """Set the replies of a path."""
        self._replies[path] = list(replies)

    def bodies(self, path: str) -> list[Any]:
        """Decoded bodies of the requests to a path."""
        return [json.loads(item.body) for item in self.received if item.target == path]

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.shutdown()
        self._thread.join()
        self._server.server_close()

    def _next(self, path: str) -> Reply | None:
        replies = self._replies[path]
        if not replies:
            return Reply({}, 404)
        return replies.pop(0) if len(replies) > 1 else replies[0]

    def _handler(self) -> Callable[..., BaseHTTPRequestHandler]:
        stub = self

        class Handler(BaseHTTPRequestHandler):
            def _respond(self) -> None:
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                headers = dict(self.headers)
                stub.received.append(Received(self.command, self.path, body, headers))
                reply = stub._next(self.path.split("?")[0])
                if reply is None:
                    self.close_connection = True
                    return
                data = json.dumps(reply.body).encode()
                self.send_response(reply.status)
                for name, value in reply.headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_GET = do_POST = _respond  # noqa: N815

            def log_message(self, format: str, *args: Any) -> None:
                """Suppress the log of requests in the output of the tests."""

        return Handler
