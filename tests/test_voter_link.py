"""A link to another voter replaces connections that no longer answer."""

import socket
import unittest
from contextlib import ExitStack
from typing import Any
from unittest import mock

from returns.result import Success

from wasabigw.codec.consensus import encode_envelope
from wasabigw.core.cluster import Endpoint
from wasabigw.core.consensus import messages
from wasabigw.core.ids import Incarnation, NodeId, Revision, Seconds, Term
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks import voter_link
from wasabigw.tasks.voter_calls import LinkAnswer
from wasabigw.tasks.voter_link import make_voter_link

RECEIVE_TIMEOUT = Seconds(30.0)


def envelope(body: messages.Body) -> messages.Envelope:
    """A message from voter b."""
    return messages.Envelope(NodeId("b"), Incarnation("b1"), True, Term(1), body)


def http_answer(body: bytes) -> bytes:
    """HTTP response with a body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def read_request(
    connection: socket.socket, kind: type[messages.Body] = messages.AdmissionRequest
) -> None:
    """Read a complete request, header and body, with a message of one kind."""
    data = b""
    while kind.__name__.encode() not in data or not data.endswith(b"}"):
        data += connection.recv(65_536)


class UnresponsivePeer(unittest.TestCase):
    """Guards against a link that waits forever on a dead connection."""

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
        listener.settimeout(RECEIVE_TIMEOUT)
        self.listener = listener
        for name, value in (("READ_TIMEOUT", 0.2), ("SESSION_IDLE", 0.3)):
            stack.enter_context(mock.patch.object(voter_link, name, Seconds(value)))
        self.voter: Mailbox[Any] = Mailbox("voter")
        api = Endpoint(*listener.getsockname())
        self.link = stack.enter_context(make_voter_link(NodeId("b"), api, self.voter))

    def accept(self) -> socket.socket:
        connection, _ = self.listener.accept()
        self.addCleanup(connection.close)
        connection.settimeout(RECEIVE_TIMEOUT)
        read_request(connection)
        return connection

    def test_link_recovers_from_silent_peer_and_malformed_response(self) -> None:
        request = envelope(messages.AdmissionRequest(Revision(0)))
        answer = envelope(messages.AdmissionResponse(True))
        self.link.mailbox.post(request)
        silent = self.accept()
        while silent.recv(65_536):
            continue
        self.link.mailbox.post(request)
        connection = self.accept()
        connection.sendall(http_answer(b"{"))
        self.link.mailbox.post(request)
        read_request(connection)
        connection.sendall(http_answer(encode_envelope(answer)))
        self.assertEqual(self.voter.get(RECEIVE_TIMEOUT), Success(LinkAnswer(answer)))
        while connection.recv(65_536):
            continue


class SeveralWaitingMessages(unittest.TestCase):
    """Guards against a removed voter that never asks to be admitted again.

    A voter without a leader sends an admission request and a pre-vote request in the
    same tick, and the link sent only the later one.
    """

    def test_newest_message_of_each_kind_is_sent(self) -> None:
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        listener.settimeout(RECEIVE_TIMEOUT)
        api = Endpoint(*listener.getsockname())
        link = make_voter_link(NodeId("b"), api, Mailbox[Any]("voter"))
        pre_vote = messages.PreVoteRequest(Term(2), Revision(1), Term(1))
        for body in (pre_vote, messages.AdmissionRequest(Revision(0)), pre_vote):
            link.mailbox.post(envelope(body))
        with link:
            connection, _ = listener.accept()
            self.addCleanup(connection.close)
            connection.settimeout(RECEIVE_TIMEOUT)
            read_request(connection)
            refusal = envelope(messages.AdmissionResponse(False))
            connection.sendall(http_answer(encode_envelope(refusal)))
            read_request(connection, messages.PreVoteRequest)
            granted = envelope(messages.PreVoteResponse(Term(2), True))
            connection.sendall(http_answer(encode_envelope(granted)))
