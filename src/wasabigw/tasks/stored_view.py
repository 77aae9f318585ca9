"""Serves the stored view of a relay while the relay itself is still loading.

After a power failure of all VMs, balancers can carry packets as soon as they have any
view, and a relay takes several times as long to load as this module. The module
therefore imports only modules of the standard library that load fast, and implements
just enough HTTP for a poll. The response is the file as it is: an update with the full
view, which is not marked as fresh.
"""

import os
import socket
import time

from wasabigw.tasks.view_names import VIEW_FILE_NAME, VIEW_PATH

SERVE_TIME = 0.5
"""Seconds for which the stored view is served before the rest of the relay is loaded.

Balancers that start together with the relay poll within this time. The voters need
longer to elect a leader, and until then a relay has no newer view.
"""
CLIENT_TIMEOUT = 0.05
"""Seconds within which a client has to send its poll and to receive the response."""
MAX_REQUEST_BYTES = 4096
BACKLOG = 128


def serve_stored_view(
    address: str, port: int, folder: str, seconds: float = SERVE_TIME
) -> int:
    """Serve polls for ``seconds``; returns how many got the view.

    Returns immediately if there is no stored view or the address can't be bound; the
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
    served = 0
    while (remaining := until - time.monotonic()) > 0:
        server.settimeout(remaining)
        try:
            client, _ = server.accept()
        except TimeoutError:
            break
        with client:
            served += _handle(client, view)
    return served


def _handle(client: socket.socket, view: bytes) -> bool:
    client.settimeout(CLIENT_TIMEOUT)
    try:
        request = _receive_headers(client)
        is_poll = request.startswith(f"GET {VIEW_PATH}?".encode())
        client.sendall(_response("200 OK", view) if is_poll else _NOT_FOUND)
    except OSError:
        # The client polls again; waiting for it would delay other clients.
        return False
    return is_poll


def _receive_headers(client: socket.socket) -> bytes:
    headers = b""
    while b"\r\n\r\n" not in headers and len(headers) < MAX_REQUEST_BYTES:
        data = client.recv(MAX_REQUEST_BYTES)
        if not data:
            break
        headers += data
    return headers


def _response(status: str, body: bytes) -> bytes:
    headers = (
        f"HTTP/1.1 {status}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return headers.encode() + body


_NOT_FOUND = _response("404 Not Found", b"")
