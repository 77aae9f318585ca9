"""The home admits flows within limits and repeats reports until they take effect."""

import unittest
from dataclasses import replace
from random import Random
from typing import Any

from wasabigw.core import backend_home as home
from wasabigw.core import cold_start, commands, ids
from wasabigw.core.admission import allowed_flows
from wasabigw.core.apply import apply
from wasabigw.core.backend_home import AdmissionVerdict, OpeningResult, OpeningSignal
from wasabigw.core.cluster import (
    ClusterState,
    Endpoint,
    FailureDomain,
    Node,
    Service,
)
from wasabigw.core.log_messages import (
    Announcement,
    AnnouncementAccepted,
    AnnouncementRedirected,
    AnnouncementRefused,
    LoadReport,
)
from wasabigw.core.states import BackendServerState, FlowLimit, Protocol

RECIFE = ids.FailureDomainId("recife")
SEATS = ids.ServiceId("seats")
DOCUMENTS = ids.ServiceId("documents")
B1 = ids.BackendServerId("b1")
NODES = [ids.NodeId("n1"), ids.NodeId("n2")]
FOREVER = ids.Seconds(1e9)


def announcement(boot: str = "x", **changes: Any) -> Announcement:
    """Announcement of the backend server b1 with 4 slots."""
    first = Announcement(
        B1,
        SEATS,
        RECIFE,
        Endpoint("10.0.0.1", 80),
        ids.BootId(boot),
        BackendServerState.READY,
        4,
        2000,
    )
    return replace(first, **changes)


class HomeFixture:
    """One home and a replicated state to which its reports are applied at once."""

    def __init__(self, node: ids.NodeId = NODES[0], nodes: int = 1) -> None:
        self.cluster = ClusterState()
        self.state = home.make_home_state(node)
        self.dropped = False
        self.now = 0.0
        services = [
            Service(
                name,
                Endpoint(address, 80),
                Protocol.TCP,
                (RECIFE,),
                limit_by=FlowLimit.SLOTS,
            )
            for name, address in ((SEATS, "10.9.0.1"), (DOCUMENTS, "10.9.0.2"))
        ]
        domains = (FailureDomain(RECIFE, ids.RegionId("ne")),)
        self.change(commands.ReplaceConfiguration(tuple(services), domains))
        self.join(*NODES[:nodes])
        home.confirm_view(self.state, FOREVER)

    def apply(self, command: commands.Command) -> None:
        apply(command, ids.Revision(self.cluster.revision + 1), self.cluster)
        self.handle(home.HomesChanged(self.cluster, ids.Seconds(self.now)))

    def change(self, change: commands.Change) -> None:
        request = ids.RequestId(str(self.cluster.revision))
        expected = self.cluster.configuration_revision
        self.apply(commands.ChangeRequest(request, expected, change))

    def join(self, *names: ids.NodeId) -> None:
        here = Endpoint("10.8.0.1", 6081)
        nodes = [Node(name, RECIFE, here, here, ids.Incarnation("1")) for name in names]
        self.apply(commands.ReportBatch(tuple(commands.NodeUp(n) for n in nodes)))

    def handle(self, event: Any) -> Any:
        """Handle an event and return the reply to the announcement, if any."""
        reply = None
        for decision in home.handle(event, self.state):
            if isinstance(decision, home.ReplyToAnnouncement):
                reply = decision.outcome
            elif not self.dropped:
                self.apply(commands.ReportBatch(decision.reports))
        return reply

    def announce(self, boot: str = "x", **changes: Any) -> Any:
        message = announcement(boot, **changes)
        return self.handle(home.AnnouncementReceived(message, ids.Seconds(self.now)))

    def run(self, seconds: int, boot: str | None = "x", **changes: Any) -> None:
        """Advance the time, with one announcement each second if ``boot`` is given."""
        for _ in range(seconds):
            self.now += 1.0
            if boot is not None:
                self.announce(boot, **changes)
            self.handle(home.HomeTick(ids.Seconds(self.now)))

    def admit(self) -> AdmissionVerdict:
        return home.admit(self.state, B1, ids.Seconds(self.now))

    def admitted(self, tries: int = 20) -> int:
        return [self.admit() for _ in range(tries)].count(AdmissionVerdict.ADMITTED)

    def step(self) -> int:
        return self.state.servers[B1].admission.ramp.step


class Limits(unittest.TestCase):
    """Guards against more flows than a backend server can hold."""

    def test_flows_dropped_with_a_failure_domain_are_counted_on_its_return(
        self,
    ) -> None:
        """No closing packets were sent for them, so the backend server holds them."""
        fixture = HomeFixture()
        fixture.run(60)
        fixture.change(commands.TakeFailureDomainOut(RECIFE))
        fixture.run(5, load=LoadReport(busy_slots=3))
        fixture.change(commands.BringFailureDomainBack(RECIFE))
        fixture.run(2, load=LoadReport(busy_slots=3))
        self.assertEqual(fixture.admitted(), 0)
        fixture.run(60, load=LoadReport(busy_slots=3))
        self.assertEqual(fixture.admitted(), 1)
        fixture.run(5, load=LoadReport(busy_slots=2))
        self.assertEqual(fixture.admitted(), 2)

    def test_a_load_report_that_rises_later_takes_no_slots(self) -> None:
        fixture = HomeFixture()
        fixture.run(60)
        fixture.run(5, load=LoadReport(busy_slots=3))
        self.assertEqual(fixture.admitted(), 4)

    def test_open_flows_never_exceed_the_limit_of_the_step(self) -> None:
        full = 0
        for seed in range(60):
            random, fixture = Random(seed), HomeFixture()
            boots, flows = 0, [0]
            for _ in range(80):
                action = random.random()
                if action < 0.5:
                    flows[-1] += fixture.admitted(1)
                elif action < 0.65 and any(flows):
                    ended = random.choice([i for i, n in enumerate(flows) if n])
                    flows[ended] -= 1
                    home.release(fixture.state, B1, ids.Seconds(fixture.now))
                elif action < 0.98:
                    fixture.run(2, str(boots))
                else:
                    boots += 1
                    flows.append(0)
                    fixture.run(1, str(boots))
                if B1 in fixture.state.servers:
                    limits = fixture.state.servers[B1].admission
                    self.assertLessEqual(flows[-1], allowed_flows(limits), seed)
                full += flows[-1] == 4
        self.assertGreater(full, 100, "the limit was reached too rarely to be tested")

    def test_new_flows_are_limited_in_rate(self) -> None:
        fixture = HomeFixture()
        fixture.run(3, connections=80, slots=1000)
        verdicts = [fixture.admit() for _ in range(10)]
        self.assertEqual(verdicts.count(AdmissionVerdict.ADMITTED), 1)
        self.assertIn(AdmissionVerdict.RATE_LIMITED, verdicts)

    def test_overload_is_reported_and_ends_only_after_the_clear_delay(self) -> None:
        fixture = HomeFixture()
        fixture.run(40)
        self.assertEqual(fixture.admitted(), 4)
        fixture.run(1)
        self.assertTrue(fixture.cluster.backend_servers[B1].overloaded)
        for _ in range(3):
            home.release(fixture.state, B1, ids.Seconds(fixture.now))
        fixture.run(5)
        self.assertTrue(fixture.cluster.backend_servers[B1].overloaded)
        fixture.run(10)
        self.assertFalse(fixture.cluster.backend_servers[B1].overloaded)


class Ramp(unittest.TestCase):
    """Guards against full load on a cold backend server."""

    def test_cold_backend_server_gets_no_more_flows_than_its_step_allows(self) -> None:
        fixture = HomeFixture()
        seen: list[tuple[int, int]] = []
        for _ in range(20):
            fixture.run(1)
            fixture.admitted()
            pair = (fixture.step(), fixture.state.servers[B1].admission.open_flows)
            if not seen or seen[-1] != pair:
                seen.append(pair)
        self.assertEqual(seen, [(1, 0), (1, 1), (2, 1), (4, 2), (8, 4)])
        self.assertEqual(fixture.cluster.backend_servers[B1].step, 8)

    def test_new_boot_id_and_return_of_the_failure_domain_restart_the_ramp(
        self,
    ) -> None:
        fixture = HomeFixture()
        fixture.run(20)
        fixture.run(1, "y")
        self.assertIs(fixture.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        fixture.run(2, "y")
        self.assertEqual(
            (fixture.step(), fixture.cluster.backend_servers[B1].step), (1, 1)
        )
        fixture.run(20, "y")
        self.assertEqual(fixture.step(), 8)
        fixture.change(commands.TakeFailureDomainOut(RECIFE))
        self.assertIs(fixture.admit(), AdmissionVerdict.NOT_ANNOUNCED)
        fixture.change(commands.BringFailureDomainBack(RECIFE))
        self.assertEqual(fixture.step(), 1)
        fixture.run(2, "y")
        self.assertEqual(fixture.cluster.backend_servers[B1].step, 1)

    def test_two_signals_restart_the_ramp_but_one_bad_endpoint_does_not(self) -> None:
        fixture = HomeFixture()
        fixture.run(20)
        unhealthy = LoadReport(healthy=False)
        fixture.run(10, load=unhealthy)
        self.assertEqual(fixture.step(), 8)
        refused = OpeningSignal(OpeningResult.REFUSED)
        for _ in range(6):
            home.observe(fixture.state, B1, refused, ids.Seconds(fixture.now))
        self.assertEqual(fixture.step(), 1)

    def test_one_misleading_endpoint_does_not_stop_the_ramp_permanently(self) -> None:
        fixture = HomeFixture()
        fixture.run(70, load=LoadReport(healthy=False))
        self.assertEqual(fixture.step(), 8)


class ColdSignals(unittest.TestCase):
    """Guards against cold verdicts from a single source, and against flapping ones."""

    def test_two_signals_of_the_announcement_alone_are_no_cold_verdict(self) -> None:
        # Load and readiness arrive in one message: one endpoint can get both wrong.
        detector = cold_start.ColdStartDetector()
        cold_start.report_load(detector, bad=True)
        cold_start.report_readiness(detector, low=True)
        doubtful, cold = cold_start.ColdVerdict.DOUBTFUL, cold_start.ColdVerdict.COLD
        self.assertIs(cold_start.verdict(detector, ids.Seconds(0.0)), doubtful)
        for _ in range(cold_start.MIN_RECENT_SHEDS):
            cold_start.add_shed(detector, ids.Seconds(0.0))
        self.assertIs(cold_start.verdict(detector, ids.Seconds(0.0)), cold)

    def detector(self, results: list[OpeningSignal]) -> cold_start.ColdStartDetector:
        detector = cold_start.ColdStartDetector()
        for signal in results:
            cold_start.add_opening(detector, signal, ids.Seconds(0.0))
        return detector

    def test_the_slow_signal_clears_only_well_below_its_threshold(self) -> None:
        usual = OpeningSignal(OpeningResult.ANSWERED, ids.Seconds(0.01))
        slow = OpeningSignal(OpeningResult.ANSWERED, ids.Seconds(0.05))
        better = OpeningSignal(OpeningResult.ANSWERED, ids.Seconds(0.03))
        detector = self.detector([usual] * 200 + [slow] * 20)
        doubtful, warm = cold_start.ColdVerdict.DOUBTFUL, cold_start.ColdVerdict.WARM
        self.assertIs(cold_start.verdict(detector, ids.Seconds(0.0)), doubtful)
        for signal, expected in ((better, doubtful), (usual, warm)):
            for _ in range(20):
                cold_start.add_opening(detector, signal, ids.Seconds(1.0))
            self.assertIs(cold_start.verdict(detector, ids.Seconds(1.0)), expected)

    def test_old_and_few_openings_give_no_signal(self) -> None:
        refused = OpeningSignal(OpeningResult.REFUSED)
        for count, age in ((4, 0.0), (20, 31.0)):
            detector = self.detector([refused] * count)
            verdict = cold_start.verdict(detector, ids.Seconds(age))
            self.assertIs(verdict, cold_start.ColdVerdict.WARM)


class Homes(unittest.TestCase):
    """Guards against two homes that admit flows at once, and against false removals."""

    def test_other_balancers_redirect_to_the_home(self) -> None:
        replies = [HomeFixture(node, 2).announce() for node in NODES]
        kinds = {type(reply) for reply in replies}
        self.assertEqual(kinds, {AnnouncementAccepted, AnnouncementRedirected})

    def test_new_home_waits_a_view_lease_and_reports_no_lease_end_at_first(
        self,
    ) -> None:
        fixture = HomeFixture()
        fixture.run(20)
        other = HomeFixture(NODES[1])
        other.cluster, other.now = fixture.cluster, fixture.now
        down = commands.NodeDown(NODES[0], ids.Incarnation("1"))
        other.join(NODES[1])
        other.apply(commands.ReportBatch((down,)))
        other.run(2, None)
        self.assertIn(B1, fixture.cluster.backend_servers)
        self.assertIs(other.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        other.run(1, load=LoadReport(busy_slots=3))
        self.assertIs(other.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        other.run(2)
        self.assertEqual(other.admitted(), 1)
        other.run(3, None)
        self.assertNotIn(B1, fixture.cluster.backend_servers)

    def test_former_home_admits_no_flows_but_may_still_send_during_the_lease(
        self,
    ) -> None:
        fixture = HomeFixture()
        fixture.run(10)
        fixture.join(NODES[1])
        fixture.change(commands.DrainBalancer(NODES[0]))
        self.assertIs(fixture.admit(), AdmissionVerdict.NOT_ANNOUNCED)
        now = ids.Seconds(fixture.now)
        self.assertTrue(home.may_send(fixture.state, B1, SEATS, now))
        self.assertFalse(home.may_send(fixture.state, B1, DOCUMENTS, now))
        late = ids.Seconds(fixture.now + 3.0)
        self.assertFalse(home.may_send(fixture.state, B1, SEATS, late))

    def test_stale_view_admits_only_shortly_after_a_renewal(self) -> None:
        fixture = HomeFixture()
        fixture.run(10)
        home.confirm_view(fixture.state, ids.Seconds(0.0))
        self.assertIs(fixture.admit(), AdmissionVerdict.ADMITTED)
        fixture.now += 1.6
        self.assertIs(fixture.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        fixture.run(5, None)
        self.assertIn(B1, fixture.cluster.backend_servers)

    def test_reports_are_repeated_until_the_state_shows_them(self) -> None:
        fixture = HomeFixture()
        fixture.dropped = True
        fixture.run(5)
        self.assertEqual(fixture.cluster.backend_servers, {})
        fixture.dropped = False
        fixture.run(2)
        self.assertIn(B1, fixture.cluster.backend_servers)
        before = fixture.cluster.revision
        fixture.run(1)
        self.assertEqual(fixture.cluster.revision, before)

    def test_a_renewed_lease_replaces_the_report_that_it_ended(self) -> None:
        fixture = HomeFixture()
        fixture.run(20)
        fixture.dropped = True
        fixture.run(4, None)
        decisions = home.handle(
            home.AnnouncementReceived(announcement(), ids.Seconds(fixture.now)),
            fixture.state,
        )
        sent = decisions[1]
        assert isinstance(sent, home.SendReports)
        [report] = sent.reports
        self.assertIsInstance(report, commands.BackendServerUp)

    def test_counts_are_exact_once_the_home_is_complete(self) -> None:
        fixture = HomeFixture()
        fixture.run(30)
        counted = home.FlowsCounted(B1, 4, 0)
        fixture.handle(counted)
        fixture.handle(home.FlowsCounted(B1, 2, 0))
        self.assertEqual(fixture.admitted(), 0)
        fixture.run(300)
        fixture.handle(home.FlowsCounted(B1, 2, 0))
        self.assertEqual(fixture.admitted(), 2)


class BadAnnouncements(unittest.TestCase):
    """Guards against invalid announcements that enter the replicated state."""

    def test_each_is_refused_with_a_reason_and_not_registered(self) -> None:
        cases: list[dict[str, Any]] = [
            {"service": ids.ServiceId("unknown")},
            {"failure_domain": ids.FailureDomainId("unknown")},
            {"endpoint": Endpoint("10.9.0.1", 80)},
            {"endpoint": Endpoint("::1", 80)},
            {"slots": 0},
            {"id": ids.BackendServerId("x" * 100)},
        ]
        for changes in cases:
            with self.subTest(changes):
                fixture = HomeFixture()
                reply = fixture.announce(**changes)
                self.assertIsInstance(reply, AnnouncementRefused)
                self.assertTrue(reply.message)
                self.assertEqual(fixture.cluster.backend_servers, {})

    def test_announcing_another_service_stops_packets_to_the_first(self) -> None:
        fixture = HomeFixture()
        fixture.run(5)
        reply = fixture.announce("y", service=DOCUMENTS)
        self.assertIsInstance(reply, AnnouncementRefused)
        now = ids.Seconds(fixture.now)
        self.assertFalse(home.may_send(fixture.state, B1, SEATS, now))
        self.assertEqual(fixture.cluster.backend_servers, {})
        self.assertIn("10.0.0.1:80", fixture.cluster.quarantine)
