"""Sums of load reports at a relay, and their encoding."""

import unittest
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tests.test_tag_steering import RECIFE, SALVADOR, SEATS, boot
from wasabigw.codec import load_columns as columns
from wasabigw.codec.load import decode_report, encode_report
from wasabigw.core.delivery_view import DeliveryView, Source
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
    Tag,
)
from wasabigw.core.load.bounds import MAX_TIMES_MEAN, SLACK
from wasabigw.core.load.figures import (
    FIGURES_TTL,
    MAX_RETURNED_SERVERS,
    LoadReport,
    LoadSums,
    ServerFigures,
    ServiceFigures,
    StratumSizes,
)
from wasabigw.core.load.known import KnownLoad, record_sums
from wasabigw.core.load.rows import SERVER_WIDTH
from wasabigw.core.load.sampling import entries_of
from wasabigw.core.load.sums import FILL_TIME, sums_for
from wasabigw.core.load.table import (
    ArrivedBalancer,
    LoadTable,
    ReportOutcome,
    expire_contributions,
    record_report,
    remove_departed,
)
from wasabigw.core.load.totals import column_sums

NO_AGE = Seconds(0.0)
NO_DOMAIN = FailureDomainId("")
FILLED = Seconds(FILL_TIME)


def figures(tag: int, in_flight: int, answer_time: float = 0.0) -> ServerFigures:
    """Figures of a backend server with as many flows, openings and answers."""
    times = Seconds(answer_time * in_flight)
    return ServerFigures(Tag(tag), in_flight, in_flight, in_flight, in_flight, times)


def report(
    node: str,
    *servers: ServerFigures,
    sequence: int = 1,
    incarnation: str = "a",
    more: int = 0,
) -> LoadReport:
    """Report of a balancer in Recife; its service has the sums of ``servers``.

    :param more: number of loaded backend servers that it does not name.
    """
    total = sum(f.in_flight for f in servers)
    services = (ServiceFigures(SEATS, RECIFE, total, total, total),)
    return LoadReport(
        NodeId(node),
        Incarnation(incarnation),
        RECIFE,
        sequence,
        StratumSizes(*(count + more for count in entries_of(servers))),
        servers,
        services,
    )


class SumsCase(unittest.TestCase):
    """A relay with a view of some backend servers, all in Recife but tag 9."""

    def setUp(self) -> None:
        self.table = LoadTable()
        self.view = self.view_of(3)

    def view_of(self, count: int) -> DeliveryView:
        boots = {Tag(n): boot(n) for n in range(1, count + 1)}
        return DeliveryView(Revision(1), {**boots, Tag(9): boot(9, SALVADOR)})

    def record(self, *reports: LoadReport, at: float = 0.0) -> list[ReportOutcome]:
        return [record_report(self.table, r, Seconds(at)) for r in reports]

    def in_flight(self, node: str = "asker", at: float = FILLED) -> dict[int, int]:
        """Requests in flight by tag, as a balancer receives them; without zeros."""
        sums = sums_for(self.table, NodeId(node), self.view, Seconds(at))
        servers = sums.servers if sums is not None else ()
        return {f.tag: f.in_flight for f in servers if f.in_flight}


class Reports(SumsCase):
    """Guards against reports that count twice, too long, or not at all."""

    def test_a_balancer_gets_the_sums_of_the_others(self) -> None:
        self.record(report("b1", figures(1, 2)), report("b2", figures(1, 3)))
        self.assertEqual(self.in_flight("b1"), {1: 3})
        self.assertEqual(self.in_flight("b2"), {1: 2})
        sums = sums_for(self.table, NodeId("b1"), self.view, Seconds(2.0))
        assert sums is not None
        self.assertEqual((sums.balancers, sums.age), (1, 2.0))
        self.assertEqual(sums.services, (ServiceFigures(SEATS, RECIFE, 3, 3, 3),))

    def test_only_a_later_report_of_an_incarnation_replaces_one(self) -> None:
        outcomes = self.record(
            report("b1", figures(1, 2), sequence=5),
            report("b1", figures(1, 3), sequence=5),
            report("b1", figures(1, 3), sequence=4),
        )
        accepted, late = ReportOutcome.ACCEPTED, ReportOutcome.LATE
        self.assertEqual(outcomes, [accepted, late, late])
        self.assertEqual(self.in_flight(), {1: 2})
        self.record(report("b1", figures(2, 1), sequence=6))
        self.assertEqual(self.in_flight(), {2: 1})

    def test_a_new_incarnation_replaces_the_old_one_for_good(self) -> None:
        outcomes = self.record(
            report("b1", figures(1, 2), sequence=50),
            report("b1", figures(1, 1), sequence=1, incarnation="b"),
            report("b1", figures(1, 2), sequence=51),
        )
        self.assertIs(outcomes[2], ReportOutcome.LATE)
        self.assertEqual(self.in_flight(), {1: 1})

    def test_reports_expire_by_the_age_of_their_figures(self) -> None:
        self.record(replace(report("b1", figures(1, 2)), age=Seconds(1.0)))
        self.record(report("b2", figures(1, 3)))
        self.assertEqual(self.in_flight(at=FIGURES_TTL - 1.1), {1: 5})
        self.assertEqual(self.in_flight(at=FIGURES_TTL - 0.9), {1: 3})
        expire_contributions(self.table, FIGURES_TTL)
        self.assertEqual(self.table.direct.servers.sums, {})

    def test_a_sample_counts_for_all_of_its_stratum(self) -> None:
        idle = ServerFigures(Tag(2), 5, 0, 0, 0, NO_AGE)
        self.record(replace(report("b1", figures(1, 2), idle, more=3)))
        sums = sums_for(self.table, NodeId("asker"), self.view, FILLED)
        assert sums is not None
        found = [(f.flows, f.in_flight) for f in sums.servers]
        self.assertEqual(found, [(8, 8), (20, 0), (0, 0), (0, 0)])

    def test_a_relay_that_just_started_returns_nothing(self) -> None:
        # Sums of a few balancers would replace those of all.
        self.record(report("b1", figures(1, 2)))
        self.assertEqual(self.in_flight(at=FILL_TIME - 0.1), {})
        self.record(report("b2", figures(1, 2)), at=1.0)
        self.assertEqual(self.in_flight(), {1: 4})

    def test_a_balancer_alone_gets_no_sums(self) -> None:
        self.record(report("b1", figures(1, 2)))
        self.assertIsNone(sums_for(self.table, NodeId("b1"), self.view, FILLED))

    def test_boots_that_are_not_in_the_view_are_not_returned(self) -> None:
        self.record(report("b1", figures(1, 2), figures(77, 5)))
        self.assertEqual(self.in_flight(), {1: 2})

    def test_of_many_servers_those_that_differ_most_are_returned(self) -> None:
        count = MAX_RETURNED_SERVERS + 30
        self.view = self.view_of(count)
        loads = [figures(n, 9 if n == 7 else 3) for n in range(1, count) if n != 40]
        self.record(report("b1", *loads))
        sums = sums_for(self.table, NodeId("asker"), self.view, FILLED)
        assert sums is not None
        self.assertEqual(len(sums.servers), MAX_RETURNED_SERVERS)
        self.assertLessEqual({7, 40}, {f.tag for f in sums.servers})

    def test_servers_of_the_own_failure_domain_are_returned_first(self) -> None:
        self.view = self.view_of(MAX_RETURNED_SERVERS + 30)
        far = [tag for tag in self.view.boots if tag > 60]
        for tag in far:
            self.view.boots[tag] = boot(tag, SALVADOR)
        self.view.sources = tuple(
            Source(Endpoint("10.0.0.9", port), domain)
            for port, domain in enumerate((RECIFE, SALVADOR), 1)
        )
        self.table = LoadTable(RECIFE)
        loads = [figures(tag, 9 if tag in far else 3) for tag in self.view.boots]
        self.record(report("b1", *loads), report("b2", *loads))
        sums = sums_for(self.table, NodeId("b1"), self.view, FILLED)
        assert sums is not None
        self.assertEqual({f.tag for f in sums.servers} & set(far), set())


class RunningSums(unittest.TestCase):
    """Guards against sums that drift from the reports that are kept."""

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["b1", "b2", "b3"]),
                st.integers(0, 3),
                st.integers(0, 50),
                st.floats(0.0, 5.0),
            ),
            max_size=30,
        )
    )
    @settings(max_examples=100, deadline=None)
    def test_sums_equal_the_kept_reports(
        self, events: list[tuple[str, int, int, float]]
    ) -> None:
        table, now = LoadTable(), 0.0
        for number, (node, tag, in_flight, pause) in enumerate(events):
            now += pause
            sent = report(node, figures(tag, in_flight, 0.1), sequence=number)
            record_report(table, sent, Seconds(now))
            if tag == 0:
                arrived = ArrivedBalancer(NodeId("b2"), Seconds(0.5))
                remove_departed(table, (arrived,), Seconds(now))
            expire_contributions(table, Seconds(now))
            kept = [r.contribution.servers for r in table.reports.values()]
            self.assertEqual(set(table.direct.servers.sums), set().union(*kept))
            for key in table.direct.servers.sums:
                row = column_sums((k[key] for k in kept if key in k), SERVER_WIDTH)
                for value, expected in zip(
                    table.direct.servers.of(key), row, strict=True
                ):
                    self.assertAlmostEqual(value, expected)


class Liars(SumsCase):
    """Guards against one balancer that moves the load of all others."""

    def setUp(self) -> None:
        super().setUp()
        honest = [figures(1, 2, 0.1), figures(2, 2, 0.1), figures(3, 2, 0.1)]
        self.record(*(report(f"b{n}", *honest) for n in range(20)))
        self.mean = 6

    def test_absurd_counts_add_at_most_a_few_shares(self) -> None:
        for more in (0, 1_000_000):
            with self.subTest(more=more):
                lie = figures(1, 1_000_000, 60.0)
                self.record(report("liar", lie, more=more, incarnation=str(more)))
                added = sum(self.in_flight().values()) - 20 * self.mean
                self.assertLessEqual(added, MAX_TIMES_MEAN * self.mean + SLACK)

    def test_absurd_answer_times_move_the_mean_by_a_few_shares(self) -> None:
        self.record(report("liar", *(figures(n, 2, 60.0) for n in (1, 2, 3))))
        sums = sums_for(self.table, NodeId("asker"), self.view, FILLED)
        assert sums is not None
        means = [f.answer_time / f.answers for f in sums.servers if f.answers]
        self.assertEqual(len(means), 3)
        self.assertLess(max(means), 0.1 * (1 + MAX_TIMES_MEAN / 20))

    def test_a_service_total_is_bounded_too(self) -> None:
        lie = ServiceFigures(SEATS, RECIFE, 0, 0, 1_000_000)
        self.record(replace(report("liar"), services=(lie,)))
        sums = sums_for(self.table, NodeId("asker"), self.view, FILLED)
        assert sums is not None
        bound = (20 + MAX_TIMES_MEAN) * self.mean + SLACK
        self.assertLessEqual(sums.services[0].arrivals, bound)

    def test_a_balancer_with_several_times_the_mean_counts_in_full(self) -> None:
        self.record(report("busy", figures(1, 20)))
        self.assertEqual(self.in_flight()[1], 60)

    def test_a_liar_that_leaves_leaves_nothing_behind(self) -> None:
        before = self.in_flight()
        self.record(report("liar", figures(1, 1_000_000)))
        self.record(report("liar", sequence=2))
        self.assertEqual(self.in_flight(), before)


counts = st.integers(0, columns.LARGEST_COUNT)
server_figures = st.builds(
    ServerFigures,
    st.integers(0, 2**32 - 1).map(Tag),
    counts,
    counts,
    counts,
    counts,
    st.floats(0.0, 1e9).map(Seconds),
)


class Encoding(unittest.TestCase):
    """Guards against malformed or absurd reports that reach the sums."""

    @given(st.lists(server_figures, max_size=80, unique_by=lambda f: f.tag))
    @settings(max_examples=50, deadline=None)
    def test_a_report_is_read_back_within_its_precision(
        self, servers: list[ServerFigures]
    ) -> None:
        sent = report("b1", *servers, more=7)
        sent = replace(sent, services=(ServiceFigures(SEATS, RECIFE, 1, 2, 3),))
        found = decode_report(encode_report(sent, Seconds(0.25))).unwrap()
        same = replace(found, servers=sent.servers, age=NO_AGE)
        self.assertEqual((same, found.age), (sent, 0.25))
        for before, after in zip(sorted(servers), found.servers, strict=True):
            self.assertEqual(before.tag, after.tag)
            for a, b in zip(before[1:5], after[1:5], strict=True):
                self.assertAlmostEqual(a, b, delta=0.5 + 0.023 * a)

    @given(st.one_of(st.text(), st.binary().map(lambda b: columns.to_text(b))))
    @settings(max_examples=200, deadline=None)
    def test_any_other_text_is_a_failure(self, text: str) -> None:
        self.assertIsInstance(decode_report(text), Failure)

    def test_figures_out_of_range_are_failures(self) -> None:
        valid = report("b1", figures(1, 2))
        for wrong in (
            replace(valid, sizes=StratumSizes(0, 5, 5)),
            replace(valid, sizes=StratumSizes(1, -1, 0)),
            replace(valid, sizes=StratumSizes(columns.MAX_COUNT + 1, 0, 0)),
            replace(valid, sequence=-1),
            replace(valid, node=NodeId("")),
            replace(valid, servers=(figures(1, 2), figures(1, 3))),
            replace(valid, servers=(figures(2**32, 2),)),
            replace(valid, services=(ServiceFigures(SEATS, NO_DOMAIN, 1, 0, 0),)),
        ):
            with self.subTest(wrong=wrong):
                decoded = decode_report(encode_report(wrong, NO_AGE))
                self.assertIsInstance(decoded, Failure)

    def test_a_count_below_zero_can_not_be_sent(self) -> None:
        wrong = ServerFigures(Tag(1), -1, -7, -1, -1, NO_AGE)
        (found,) = (
            decode_report(encode_report(report("b1", wrong), NO_AGE)).unwrap().servers
        )
        self.assertEqual(found, ServerFigures(Tag(1), 0, 0, 0, 0, NO_AGE))

    def test_columns_of_different_lengths_are_a_failure(self) -> None:
        text = encode_report(report("b1", figures(1, 2), figures(2, 2)), NO_AGE)
        message = msgspec.msgpack.decode(columns.decompress(columns.from_text(text)))
        message[6][1] = message[6][1][:1]
        plain = msgspec.msgpack.encode(message)
        shortened = columns.to_text(columns.compress(plain))
        self.assertIsInstance(decode_report(shortened), Failure)

    def test_text_that_expands_beyond_the_limit_is_a_failure(self) -> None:
        plain = msgspec.msgpack.encode("x" * (columns.MAX_PLAIN_BYTES + 1))
        text = columns.to_text(columns.compress(plain))
        self.assertLess(len(text), columns.MAX_TEXT_BYTES)
        self.assertIsInstance(decode_report(text), Failure)

    def test_fields_of_a_later_version_are_ignored(self) -> None:
        text = encode_report(report("b1", figures(1, 2)), NO_AGE)
        plain = columns.decompress(columns.from_text(text))
        later = msgspec.msgpack.encode([*msgspec.msgpack.decode(plain), "more"])
        text = columns.to_text(columns.compress(later))
        self.assertIsInstance(decode_report(text), Success)


class Known(unittest.TestCase):
    """Guards against older sums that replace newer ones at a balancer."""

    def test_sums_that_are_older_are_ignored(self) -> None:
        known = KnownLoad()
        newer = LoadSums(Seconds(0.5), 3, (figures(1, 2),), ())
        older = LoadSums(Seconds(3.0), 9, (figures(1, 7),), ())
        record_sums(known, newer, Seconds(10.0))
        record_sums(known, older, Seconds(11.0))
        self.assertEqual(known.balancers, 3)
        self.assertTrue(known.is_current(Seconds(13.4)))
        self.assertFalse(known.is_current(Seconds(13.5)))


if __name__ == "__main__":
    unittest.main()
