"""Answers polls with the view that a relay has kept, before the relay is loaded.

After a loss of all power balancers can carry packets as soon as they have any view,
and a relay takes several times as long to load as this module. It therefore imports
only light modules of the standard library, and speaks just enough HTTP for a poll:
it sends the file as it is, which is an update that has the whole view, not a fresh one.
"""

import os
import socket
import time

from wasabigw.tasks.view_names import VIEW_FILE_NAME, VIEW_PATH

SERVE_TIME = 0.5
"""Seconds for which the kept view is served before the rest of the relay is loaded.

Balancers that start with the relay ask within this time. The voters need longer to
elect a leader, and until then a relay has nothing newer.
"""
CLIENT_TIMEOUT = 0.05
"""Seconds in which a client sends its poll and takes the answer."""
MAX_REQUEST_BYTES = 4096
BACKLOG = 128


def serve_stored_view(
    address: str, port: int, folder: str, seconds: float = SERVE_TIME
) -> int:
    """Answer polls for a time; returns how many were answered.

    Without a kept view, or if the address can't be bound, it returns at once: the
    relay itself reports both.
    """
    try:
        with open(os.path.join(folder, VIEW_FILE_NAME), "rb") as file:
            view = file.read()
        if not view:
            return 0
        with socket.create_server((address, port), backlog=BACKLOG) as server:
            return _serve(server, view, time.monotonic() + seconds)
    except OSError:
        return 0


def _serve(server: socket.socket, view: bytes, until: float) -> int:
    answered = 0
    while (remaining := until - time.monotonic()) > 0:
        server.settimeout(remaining)
        try:
            client, _ = server.accept()
        except TimeoutError:
            break
        with client:
            answered += _answer(client, view)
    return answered


def _answer(client: socket.socket, view: bytes) -> bool:
    client.settimeout(CLIENT_TIMEOUT)
    try:
        request = _receive_head(client)
        is_poll = request.startswith(f"GET {VIEW_PATH}?".encode())
        client.sendall(_response("200 OK", view) if is_poll else _NOT_FOUND)
    except OSError:
        # The client asks again; others wait meanwhile.
        return False
    return is_poll


def _receive_head(client: socket.socket) -> bytes:
    head = b""
    while b"\r\n\r\n" not in head and len(head) < MAX_REQUEST_BYTES:
        data = client.recv(MAX_REQUEST_BYTES)
        if not data:
            break
        head += data
    return head


def _response(status: str, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return head.encode() + body


_NOT_FOUND = _response("404 Not Found", b"")
