"""The TCP stand-in delivers a stream in order under loss and reordering."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import given
from hypothesis import strategies as st

from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw_demo import tcp
from wasabigw_demo.tcp import CloseReason, Connection
from wasabigw_demo.wire import Segment, TcpFlag

CLIENT = Endpoint("10.0.0.1", 1000)
SERVER = Endpoint("10.0.0.2", 80)
MAX_STEPS = 20_000


@dataclass
class ConnectionPair:
    """Two connections over a network with loss, duplication and reordering."""

    generator: random.Random
    loss: float
    to_send: dict[Endpoint, bytes]
    initial: int
    now: Seconds = Seconds(0.0)  # noqa: RUF009
    connections: dict[Endpoint, Connection] = field(default_factory=dict)
    received: dict[Endpoint, bytes] = field(default_factory=dict)
    closed: dict[Endpoint, CloseReason] = field(default_factory=dict)
    in_flight: list[Segment] = field(default_factory=list)

    def run(self) -> None:
        """Deliver segments and advance the time until both sides have closed."""
        self.received = {CLIENT: b"", SERVER: b""}
        self.connections[CLIENT] = Connection(CLIENT, SERVER, self.initial)
        self._event(CLIENT, tcp.Connect(self.now))
        for _ in range(MAX_STEPS):
            if len(self.closed) == 2:
                return
            if self.in_flight:
                index = self.generator.randrange(min(len(self.in_flight), 6))
                self._deliver(self.in_flight.pop(index))
            else:
                self.now = Seconds(self.now + 0.1)
                for endpoint in list(self.connections):
                    self._event(endpoint, tcp.TimePassed(self.now))

    def _deliver(self, segment: Segment) -> None:
        if segment.destination in self.connections:
            self._event(segment.destination, tcp.SegmentArrived(segment, self.now))
        elif segment.flags == TcpFlag.SYN:
            connection, decisions = tcp.accept(segment, self.initial, self.now)
            self.connections[SERVER] = connection
            self._execute(SERVER, decisions)

    def _event(self, endpoint: Endpoint, event: object) -> None:
        self._execute(endpoint, tcp.handle(event, self.connections[endpoint]))

    def _execute(self, endpoint: Endpoint, decisions: list[tcp.Decision]) -> None:
        for decision in decisions:
            match decision:
                case tcp.Transmit(segment):
                    if self.generator.random() >= self.loss:
                        copies = 1 + (self.generator.random() < self.loss)
                        self.in_flight += [segment] * copies
                case tcp.Opened():
                    data = self.to_send[endpoint]
                    self._event(endpoint, tcp.SendData(data, self.now))
                    self._event(endpoint, tcp.Finish(self.now))
                case tcp.Received(data):
                    self.received[endpoint] += data
                case tcp.Closed(reason):
                    self.closed[endpoint] = reason


class Stream(unittest.TestCase):
    @given(
        seed=st.integers(0, 10_000),
        loss=st.sampled_from([0.0, 0.05, 0.2]),
        initial=st.sampled_from([0, 5, 2**32 - 1, 2**32 - 3000]),
        sizes=st.tuples(st.integers(0, 30_000), st.integers(0, 3_000)),
    )
    def test_delivers_in_order_under_loss_duplication_and_reordering(
        self, seed: int, loss: float, initial: int, sizes: tuple[int, int]
    ) -> None:
        """Guards against answers that the stand-in itself corrupts."""
        generator = random.Random(seed)
        to_send = {
            CLIENT: generator.randbytes(sizes[0]),
            SERVER: generator.randbytes(sizes[1]),
        }
        pair = ConnectionPair(generator, loss, to_send, initial)
        pair.run()
        finished = CloseReason.FINISHED
        self.assertEqual(pair.closed, {CLIENT: finished, SERVER: finished})
        self.assertEqual(pair.received[SERVER], to_send[CLIENT])
        self.assertEqual(pair.received[CLIENT], to_send[SERVER])


class Reset(unittest.TestCase):
    """Guards against resets that are missed or wrongly accepted.

    A missed reset would let a broken flow pass for a complete one.
    """

    def _established(self) -> Connection:
        connection = Connection(CLIENT, SERVER, 100)
        tcp.handle(tcp.Connect(Seconds(0.0)), connection)
        syn_ack = TcpFlag.SYN | TcpFlag.ACK
        answer = Segment(SERVER, CLIENT, 500, 101, syn_ack)
        tcp.handle(tcp.SegmentArrived(answer, Seconds(0.1)), connection)
        return connection

    def test_reset_in_the_window_closes_an_established_connection(self) -> None:
        reset = Segment(SERVER, CLIENT, 501, 0, TcpFlag.RST)
        event = tcp.SegmentArrived(reset, Seconds(0.2))
        decisions = tcp.handle(event, self._established())
        self.assertEqual(decisions, [tcp.Closed(CloseReason.RESET)])

    def test_reset_outside_the_window_is_ignored(self) -> None:
        reset = Segment(SERVER, CLIENT, 400, 0, TcpFlag.RST)
        event = tcp.SegmentArrived(reset, Seconds(0.2))
        self.assertEqual(tcp.handle(event, self._established()), [])

    def test_reset_that_answers_the_syn_is_a_refusal(self) -> None:
        connection = Connection(CLIENT, SERVER, 100)
        [transmit] = tcp.handle(tcp.Connect(Seconds(0.0)), connection)
        assert isinstance(transmit, tcp.Transmit)
        reset = tcp.reset_for(transmit.segment)
        decisions = tcp.handle(tcp.SegmentArrived(reset, Seconds(0.1)), connection)
        self.assertEqual(decisions, [tcp.Closed(CloseReason.REFUSED)])
