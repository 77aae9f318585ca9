"""The home admits within limits, and reports until the state shows it."""

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


class Site:
    """A log whose reports are applied at once, and one home that follows it."""

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
        """Handle an event; the reply to an announcement, if there is one."""
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
        """Pass time with one announcement (if ``boot`` is given) each second."""
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

    def test_flows_given_up_with_a_failure_domain_are_counted_on_its_return(
        self,
    ) -> None:
        """Their closing packets were not sent, so the backend server holds them."""
        site = Site()
        site.run(60)
        site.change(commands.TakeFailureDomainOut(RECIFE))
        site.run(5, load=LoadReport(busy_slots=3))
        site.change(commands.BringFailureDomainBack(RECIFE))
        site.run(2, load=LoadReport(busy_slots=3))
        self.assertEqual(site.admitted(), 0)
        site.run(60, load=LoadReport(busy_slots=3))
        self.assertEqual(site.admitted(), 1)
        site.run(5, load=LoadReport(busy_slots=2))
        self.assertEqual(site.admitted(), 2)

    def test_a_load_report_that_rises_later_takes_no_slots(self) -> None:
        site = Site()
        site.run(60)
        site.run(5, load=LoadReport(busy_slots=3))
        self.assertEqual(site.admitted(), 4)

    def test_open_flows_never_exceed_the_limit_of_the_step(self) -> None:
        full = 0
        for seed in range(60):
            random, site = Random(seed), Site()
            boots, flows = 0, [0]
            for _ in range(80):
                action = random.random()
                if action < 0.5:
                    flows[-1] += site.admitted(1)
                elif action < 0.65 and any(flows):
                    ended = random.choice([i for i, n in enumerate(flows) if n])
                    flows[ended] -= 1
                    home.release(site.state, B1, ids.Seconds(site.now))
                elif action < 0.98:
                    site.run(2, str(boots))
                else:
                    boots += 1
                    flows.append(0)
                    site.run(1, str(boots))
                if B1 in site.state.servers:
                    limits = site.state.servers[B1].admission
                    self.assertLessEqual(flows[-1], allowed_flows(limits), seed)
                full += flows[-1] == 4
        self.assertGreater(full, 100, "the sequences are too tame")

    def test_new_flows_are_limited_in_rate(self) -> None:
        site = Site()
        site.run(3, connections=80, slots=1000)
        verdicts = [site.admit() for _ in range(10)]
        self.assertEqual(verdicts.count(AdmissionVerdict.ADMITTED), 1)
        self.assertIn(AdmissionVerdict.RATE_LIMITED, verdicts)

    def test_overload_is_reported_and_ends_only_after_a_quiet_time(self) -> None:
        site = Site()
        site.run(40)
        self.assertEqual(site.admitted(), 4)
        site.run(1)
        self.assertTrue(site.cluster.backend_servers[B1].overloaded)
        for _ in range(3):
            home.release(site.state, B1, ids.Seconds(site.now))
        site.run(5)
        self.assertTrue(site.cluster.backend_servers[B1].overloaded)
        site.run(10)
        self.assertFalse(site.cluster.backend_servers[B1].overloaded)


class Ramp(unittest.TestCase):
    """Guards against full load on a cold backend server."""

    def test_cold_backend_server_gets_its_step_and_no_more(self) -> None:
        site = Site()
        seen: list[tuple[int, int]] = []
        for _ in range(20):
            site.run(1)
            site.admitted()
            pair = (site.step(), site.state.servers[B1].admission.open_flows)
            if not seen or seen[-1] != pair:
                seen.append(pair)
        self.assertEqual(seen, [(1, 0), (1, 1), (2, 1), (4, 2), (8, 4)])
        self.assertEqual(site.cluster.backend_servers[B1].step, 8)

    def test_new_boot_id_and_return_of_the_failure_domain_restart_the_ramp(
        self,
    ) -> None:
        site = Site()
        site.run(20)
        site.run(1, "y")
        self.assertEqual((site.step(), site.cluster.backend_servers[B1].step), (1, 1))
        site.run(20, "y")
        self.assertEqual(site.step(), 8)
        site.change(commands.TakeFailureDomainOut(RECIFE))
        self.assertIs(site.admit(), AdmissionVerdict.NOT_ANNOUNCED)
        site.change(commands.BringFailureDomainBack(RECIFE))
        self.assertEqual(site.step(), 1)
        site.run(2, "y")
        self.assertEqual(site.cluster.backend_servers[B1].step, 1)

    def test_one_bad_endpoint_alone_is_not_decisive_but_two_signals_are(self) -> None:
        site = Site()
        site.run(20)
        unhealthy = LoadReport(healthy=False)
        site.run(10, load=unhealthy)
        self.assertEqual(site.step(), 8)
        refused = OpeningSignal(OpeningResult.REFUSED)
        for _ in range(6):
            home.observe(site.state, B1, refused, ids.Seconds(site.now))
        self.assertEqual(site.step(), 1)

    def test_a_misleading_endpoint_does_not_stop_the_ramp_for_ever(self) -> None:
        site = Site()
        site.run(70, load=LoadReport(healthy=False))
        self.assertEqual(site.step(), 8)


class ColdSignals(unittest.TestCase):
    """Guards against verdicts from one cause, and against verdicts that flap."""

    def test_two_signals_of_the_announcement_alone_are_not_decisive(self) -> None:
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

    def test_slow_openings_turn_good_only_well_below_the_threshold(self) -> None:
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

    def test_old_and_few_openings_say_nothing(self) -> None:
        refused = OpeningSignal(OpeningResult.REFUSED)
        for count, age in ((4, 0.0), (20, 31.0)):
            detector = self.detector([refused] * count)
            verdict = cold_start.verdict(detector, ids.Seconds(age))
            self.assertIs(verdict, cold_start.ColdVerdict.WARM)


class Homes(unittest.TestCase):
    """Guards against two homes that admit at once, and against false removals."""

    def test_other_balancers_redirect_to_the_home(self) -> None:
        replies = [Site(node, 2).announce() for node in NODES]
        kinds = {type(reply) for reply in replies}
        self.assertEqual(kinds, {AnnouncementAccepted, AnnouncementRedirected})

    def test_new_home_waits_a_view_lease_and_reports_no_lease_end_at_first(
        self,
    ) -> None:
        site = Site()
        site.run(20)
        other = Site(NODES[1])
        other.cluster, other.now = site.cluster, site.now
        down = commands.NodeDown(NODES[0], ids.Incarnation("1"))
        other.join(NODES[1])
        other.apply(commands.ReportBatch((down,)))
        other.run(2, None)
        self.assertIn(B1, site.cluster.backend_servers)
        self.assertIs(other.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        other.run(1, load=LoadReport(busy_slots=3))
        self.assertIs(other.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        other.run(2)
        self.assertEqual(other.admitted(), 1)
        other.run(3, None)
        self.assertNotIn(B1, site.cluster.backend_servers)

    def test_lost_home_stops_to_admit_but_may_still_send_during_the_lease(
        self,
    ) -> None:
        site = Site()
        site.run(10)
        site.join(NODES[1])
        site.change(commands.DrainBalancer(NODES[0]))
        self.assertIs(site.admit(), AdmissionVerdict.NOT_ANNOUNCED)
        now = ids.Seconds(site.now)
        self.assertTrue(home.may_send(site.state, B1, SEATS, now))
        self.assertFalse(home.may_send(site.state, B1, DOCUMENTS, now))
        late = ids.Seconds(site.now + 3.0)
        self.assertFalse(home.may_send(site.state, B1, SEATS, late))

    def test_stale_view_admits_only_shortly_after_a_renewal(self) -> None:
        site = Site()
        site.run(10)
        home.confirm_view(site.state, ids.Seconds(0.0))
        self.assertIs(site.admit(), AdmissionVerdict.ADMITTED)
        site.now += 1.6
        self.assertIs(site.admit(), AdmissionVerdict.TAKEOVER_WAIT)
        site.run(5, None)
        self.assertIn(B1, site.cluster.backend_servers)

    def test_reports_are_repeated_until_the_state_shows_them(self) -> None:
        site = Site()
        site.dropped = True
        site.run(5)
        self.assertEqual(site.cluster.backend_servers, {})
        site.dropped = False
        site.run(2)
        self.assertIn(B1, site.cluster.backend_servers)
        before = site.cluster.revision
        site.run(1)
        self.assertEqual(site.cluster.revision, before)

    def test_a_backend_server_that_is_back_revokes_the_end_of_its_lease(self) -> None:
        site = Site()
        site.run(20)
        site.dropped = True
        site.run(4, None)
        decisions = home.handle(
            home.AnnouncementReceived(announcement(), ids.Seconds(site.now)), site.state
        )
        sent = decisions[1]
        assert isinstance(sent, home.SendReports)
        [report] = sent.reports
        self.assertIsInstance(report, commands.BackendServerUp)

    def test_counts_are_exact_once_the_home_is_complete(self) -> None:
        site = Site()
        site.run(30)
        counted = home.FlowsCounted(B1, 4, 0)
        site.handle(counted)
        site.handle(home.FlowsCounted(B1, 2, 0))
        self.assertEqual(site.admitted(), 0)
        site.run(300)
        site.handle(home.FlowsCounted(B1, 2, 0))
        self.assertEqual(site.admitted(), 2)


class BadAnnouncements(unittest.TestCase):
    """Guards against announcements that cross services or enter the state."""

    def test_each_gets_a_reason_and_is_not_registered(self) -> None:
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
                site = Site()
                reply = site.announce(**changes)
                self.assertIsInstance(reply, AnnouncementRefused)
                self.assertTrue(reply.message)
                self.assertEqual(site.cluster.backend_servers, {})

    def test_announcing_another_service_stops_sending_for_the_first(self) -> None:
        site = Site()
        site.run(5)
        reply = site.announce("y", service=DOCUMENTS)
        self.assertIsInstance(reply, AnnouncementRefused)
        now = ids.Seconds(site.now)
        self.assertFalse(home.may_send(site.state, B1, SEATS, now))
        self.assertEqual(site.cluster.backend_servers, {})
        self.assertIn("10.0.0.1:80", site.cluster.quarantine)
