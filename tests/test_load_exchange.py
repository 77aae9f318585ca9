"""Relays that exchange the sums of the load reports that they received."""

import unittest
from typing import Any
from unittest import mock

from returns.result import Failure, Result, Success

from tests.test_load_sums import figures, report
from tests.test_load_transport import NO_AGE, SETTLED, RelayCase
from tests.test_tag_steering import FORTALEZA, RECIFE, SALVADOR, boot
from wasabigw.codec.load import decode_sums, encode_arrived, encode_report
from wasabigw.core.delivery_view import DeliveryView, Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, NodeId, Revision, Seconds, Tag
from wasabigw.core.load.figures import FIGURES_TTL, LoadSums
from wasabigw.core.load.peers import (
    MAX_BACKOFF,
    MAX_PEERS,
    PeerState,
    choose_peers,
    forget_other_peers,
    peers_to_poll,
    record_answer,
    record_failure,
)
from wasabigw.core.load.sums import sums_for
from wasabigw.core.load.table import (
    ARRIVAL_PERIOD,
    PEER_TTL,
    ArrivedBalancer,
    LoadTable,
    arrived_balancers,
    record_peer,
    record_report,
    remove_departed,
)
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks import load_exchange
from wasabigw.tasks.light_http import LightClient, LightRequest
from wasabigw.tasks.load_exchange import MAX_ROUND_DELAY, make_load_exchange
from wasabigw.tasks.load_messages import PeerAnswered, PollPeers
from wasabigw.tasks.relay_load import RelayLoad
from wasabigw.telemetry.events_balancer import BalancerEvent

PORT = 7000


def relay_at(number: int) -> Endpoint:
    """Endpoint of a relay."""
    return Endpoint(f"10.0.0.{number}", PORT)


def source(number: int, domain: FailureDomainId = RECIFE) -> Source:
    """Control VM of a relay."""
    return Source(Endpoint(f"10.0.0.{number}", 6000), domain)


class Rounds(unittest.TestCase):
    """Guards against a relay that asks itself, too many others, or dead ones."""

    def test_the_own_failure_domain_comes_first_and_never_oneself(self) -> None:
        sources = [source(1, SALVADOR), source(2), source(3)]
        peers = choose_peers(sources, RECIFE, "10.0.0.2", PORT)
        self.assertEqual(peers, (relay_at(3), relay_at(1)))
        many = [source(n) for n in range(40)]
        self.assertEqual(len(choose_peers(many, RECIFE, "", PORT)), MAX_PEERS)

    def test_of_the_failed_ones_one_is_polled_in_a_round_and_last(self) -> None:
        state, peers = PeerState(), [relay_at(n) for n in range(4)]
        for number in (0, 1):
            record_failure(state, peers[number], Seconds(number))
        self.assertEqual(peers_to_poll(state, peers, Seconds(0.5)), peers[2:])
        due = peers_to_poll(state, peers, Seconds(5.0))
        self.assertEqual(due, [*peers[2:], peers[0]])

    def test_the_backoff_is_bounded_and_ends_with_an_answer(self) -> None:
        state, peer, now = PeerState(), relay_at(1), Seconds(0.0)
        self.assertTrue(record_failure(state, peer, now))
        for _ in range(9):
            self.assertFalse(record_failure(state, peer, now))
        self.assertEqual(peers_to_poll(state, [peer], MAX_BACKOFF), [peer])
        self.assertTrue(record_answer(state, peer))
        self.assertFalse(record_answer(state, peer))
        self.assertEqual(peers_to_poll(state, [peer], now), [peer])

    def test_relays_that_left_the_view_are_forgotten(self) -> None:
        state = PeerState()
        record_failure(state, relay_at(1), Seconds(0.0))
        record_answer(state, relay_at(2))
        forget_other_peers(state, [])
        self.assertEqual((state.failed, state.answering), ({}, set()))


class Sums(unittest.TestCase):
    """Guards against reports that count twice, or outlive the path to their relay."""

    def setUp(self) -> None:
        self.table = LoadTable()
        boots = {Tag(1): boot(1), Tag(2): boot(2, SALVADOR)}
        self.view = DeliveryView(Revision(1), boots)
        record_report(self.table, report("b1", figures(1, 2)), Seconds(0.0))

    def peer(self, in_flight: int, at: float, age: float = 0.0) -> None:
        sums = LoadSums(Seconds(age), 10, (figures(1, in_flight),), ())
        record_peer(self.table, relay_at(2), sums, Seconds(at))

    def in_flight(self, at: float) -> tuple[int, int]:
        """Requests in flight at the first backend server, and balancers counted."""
        record_report(
            self.table,
            report("b1", figures(1, 2), sequence=round(at * 10)),
            Seconds(at),
        )
        sums = sums_for(self.table, NodeId("b2"), self.view, Seconds(at))
        assert sums is not None
        return sums.servers[0].in_flight, sums.balancers

    def test_later_sums_of_a_relay_replace_the_earlier_ones(self) -> None:
        self.peer(30, 1.5)
        self.assertEqual(self.in_flight(2.0), (32, 11))
        self.peer(20, 2.5)
        self.assertEqual(self.in_flight(3.0), (22, 11))

    def test_sums_beyond_a_cut_expire(self) -> None:
        # By the time without an answer, or by the age of the reports.
        for age, end in ((0.5, 1.5 + PEER_TTL), (3.0, 0.5 + FIGURES_TTL - 2.0)):
            with self.subTest(age=age):
                self.setUp()
                self.peer(30, 1.5, age)
                self.assertEqual(self.in_flight(end - 0.1), (32, 11))
                self.assertEqual(self.in_flight(end + 0.1), (2, 1))

    def test_a_balancer_that_changed_its_relay_counts_once(self) -> None:
        arrived = ArrivedBalancer(NodeId("b1"), Seconds(0.3))
        remove_departed(self.table, (arrived,), Seconds(0.2))
        self.assertEqual(set(self.table.reports), {"b1"})
        unknown = ArrivedBalancer(NodeId("b7"), Seconds(0.3))
        remove_departed(self.table, (unknown, arrived), Seconds(1.5))
        self.assertEqual(self.table.reports, {})
        self.assertEqual(self.table.direct.servers.sums, {})

    def test_a_balancer_is_named_as_arrived_for_a_short_time(self) -> None:
        for number in range(1, 6):
            sent = report("b1", figures(1, 2), sequence=number + 1)
            record_report(self.table, sent, Seconds(number))
            arrived = arrived_balancers(self.table, Seconds(number + 0.2))
            self.assertEqual(len(arrived), 1 if number + 0.2 < ARRIVAL_PERIOD else 0)
            self.assertLessEqual({round(b.age, 3) for b in arrived}, {0.2})


class Exchange(RelayCase):
    """Guards against sums that are passed on, or cross failure domains needlessly."""

    def setUp(self) -> None:
        super().setUp()
        self.relay._view.boots = {Tag(1): boot(1), Tag(2): boot(2, SALVADOR)}
        self.relay._load = RelayLoad(relay_at(1), RECIFE)
        self.rounds: Mailbox[Any] = Mailbox("rounds")
        self.relay._load.exchange = self.rounds

    def ask(self, domain: str, arrived: str = "") -> LoadSums:
        connection: Any = mock.Mock()
        target = f"/v1/load?failure_domain={domain}&arrived={arrived}"
        self.relay._handle(LightRequest(connection, "GET", target))
        return decode_sums(connection.respond.call_args.args[1]).unwrap()

    def test_each_relay_gets_the_backend_servers_of_its_failure_domain(self) -> None:
        self.send(report("b1", figures(1, 2), figures(2, 1), figures(77, 1)))
        self.relay._view.sources = (source(1), source(2, SALVADOR))
        for domain, tags in (("recife", [1]), ("salvador", [2]), ("%00", [])):
            with self.subTest(domain=domain):
                sums = self.ask(domain)
                self.assertEqual([f.tag for f in sums.servers], tags)
                self.assertEqual((sums.balancers, len(sums.services)), (1, 1))

    def test_servers_of_a_failure_domain_without_relays_go_to_all(self) -> None:
        self.send(report("b1", figures(1, 2), figures(2, 1)))
        self.relay._view.sources = (source(1), source(2, FORTALEZA))
        for domain, tags in (("recife", [1, 2]), ("fortaleza", [2])):
            self.assertEqual([f.tag for f in self.ask(domain).servers], tags)

    def test_a_balancer_gets_only_servers_of_which_all_balancers_are_known(
        self,
    ) -> None:
        self.relay._view.sources = (source(1), source(2, SALVADOR))
        self.send(report("b1", figures(1, 2), figures(2, 1)))
        self.now = Seconds(SETTLED)
        found = self.sums(self.send(report("b2")))
        assert found is not None
        self.assertEqual(found.servers, (figures(1, 2),))

    def test_sums_of_other_relays_are_not_passed_on(self) -> None:
        self.send(report("b1", figures(1, 2)))
        sums = LoadSums(NO_AGE, 10, (figures(1, 30),), ())
        self.relay.receive(PeerAnswered(relay_at(2), sums, Seconds(0.0), 100))
        self.assertEqual(self.ask("recife").servers, (figures(1, 2),))
        self.assertIn("wasabigw_relay_load_peers 1", self.metrics())

    def test_a_report_is_removed_once_another_relay_has_a_later_one(self) -> None:
        self.send(report("b1", figures(1, 2)))
        self.now = Seconds(1.0)
        later = encode_arrived([ArrivedBalancer(NodeId("b1"), Seconds(0.1))])
        with self.assertLogs("absl", "WARNING"):
            self.assertEqual(self.ask("recife", "%00").balancers, 1)
        self.assertEqual(self.ask("recife", later).balancers, 0)

    def test_without_reports_no_relay_is_asked(self) -> None:
        view = self.relay._view
        view.sources = (source(1), source(2))
        self.relay._load.tick(view, Seconds(1.0))
        self.assertEqual(list(self.rounds.drain()), [])
        self.send(report("b1", figures(1, 2)))
        for at in (1.0, 1.1, 1.4, 1.5):
            self.relay._load.tick(view, Seconds(at))
        first, second = self.rounds.drain()
        arrived = (ArrivedBalancer(NodeId("b1"), Seconds(1.0)),)
        self.assertEqual(first, PollPeers((relay_at(2),), Seconds(1.0), arrived))
        self.assertEqual(second.at, 1.5)

    def test_a_balancer_gets_the_sums_of_both_relays(self) -> None:
        self.send(report("b1", figures(1, 2)))
        self.now = Seconds(SETTLED)
        sums = LoadSums(NO_AGE, 10, (figures(1, 20),), ())
        self.relay.receive(PeerAnswered(relay_at(2), sums, self.now, 100))
        found = self.sums(self.poll(encode_report(report("b2"), NO_AGE)))
        assert found is not None
        self.assertEqual((found.servers[0].in_flight, found.balancers), (22, 11))


class Polls(unittest.TestCase):
    """Guards against a relay of an earlier version, or lost, that stops a round."""

    def setUp(self) -> None:
        self.received: Mailbox[Any] = Mailbox("received")
        self.exchange = make_load_exchange(FailureDomainId("a/b"), self.received)
        self.now = Seconds(10.0)
        self.duration = 0.0
        self.polled: list[tuple[Endpoint, str]] = []
        self.responses: dict[Endpoint, Result[bytes, str]] = {}
        self.enterContext(mock.patch.object(LightClient, "get", self.get))
        clock = mock.patch.object(load_exchange, "monotonic", side_effect=self.time)
        self.enterContext(clock)
        self.log = self.enterContext(mock.patch.object(load_exchange, "log"))

    def time(self) -> Seconds:
        return self.now

    def get(self, peer: Endpoint, target: str, *_: Seconds) -> Result[bytes, str]:
        self.polled.append((peer, target))
        self.now = Seconds(self.now + self.duration)
        return self.responses.get(peer, Failure("status 404"))

    def round(self, *peers: Endpoint) -> list[Any]:
        self.now = Seconds(self.now + 1.0)
        self.exchange.receive(PollPeers(peers, self.now))
        return list(self.received.drain())

    def test_a_relay_that_fails_does_not_keep_the_others_from_answering(self) -> None:
        relay = RelayLoad(relay_at(2), RECIFE)
        body = relay.direct_sums(RECIFE, DeliveryView(), self.now)
        self.responses[relay_at(2)] = Success(body)
        for _ in range(3):
            (answer,) = self.round(relay_at(1), relay_at(2))
            self.assertEqual((answer.peer, answer.received_at), (relay_at(2), self.now))
        self.assertEqual([peer for peer, _ in self.polled].count(relay_at(1)), 2)
        self.assertEqual(self.polled[0][1], "/v1/load?failure_domain=a%2Fb")
        events = [call.args[0] for call in self.log.call_args_list]
        lost, found = BalancerEvent.LOAD_PEER_LOST, BalancerEvent.LOAD_PEER_FOUND
        self.assertEqual(events, [lost, found])

    def test_malformed_sums_count_as_a_failure(self) -> None:
        self.responses[relay_at(1)] = Success(b"{}")
        self.assertEqual(self.round(relay_at(1)), [])
        event = self.log.call_args.args[0]
        self.assertIs(event, BalancerEvent.LOAD_PEER_LOST)

    def test_a_round_ends_when_many_relays_do_not_answer(self) -> None:
        peers = [relay_at(n) for n in range(6)]
        self.duration = 0.4
        polled = []
        for _ in range(2):
            self.round(*peers)
            polled.append({peer for peer, _ in self.polled})
        self.assertEqual([len(found) for found in polled], [3, 6])

    def test_rounds_that_queued_up_are_skipped(self) -> None:
        late = PollPeers((relay_at(1),), Seconds(self.now - MAX_ROUND_DELAY))
        self.exchange.receive(late)
        self.assertEqual(self.polled, [])


if __name__ == "__main__":
    unittest.main()
