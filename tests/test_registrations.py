"""Registrations of boots that are reached by tags, and their announcement leases."""

import unittest
from dataclasses import replace

from wasabigw.core import registrar
from wasabigw.core.apply import apply
from wasabigw.core.cluster import ClusterState, Endpoint, Registration
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    Report,
    ReportBatch,
)
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrar import RegistrarState, is_reflected
from wasabigw.core.states import RegistrationState

SEATS = ServiceId("seats")
DOCUMENTS = ServiceId("documents")
RECIFE = FailureDomainId("recife")
ENDPOINT = Endpoint("10.0.0.1", 80)
LEASE = Seconds(3.0)


def announcement(
    name: str = "b-1",
    started_at: int = 1000,
    sequence: int = 1,
    service: ServiceId = SEATS,
    endpoint: Endpoint = ENDPOINT,
    draining: bool = False,
    cold_for: float = 0.0,
) -> BootAnnouncement:
    """Announcement of a backend server in Recife."""
    return BootAnnouncement(
        BackendServerId(name),
        service,
        RECIFE,
        endpoint,
        started_at,
        4,
        draining,
        Seconds(cold_for),
        sequence,
    )


class RegistrarCase(unittest.TestCase):
    """A leader whose reports are applied at once."""

    def setUp(self) -> None:
        self.cluster = ClusterState()
        self.state = RegistrarState(LEASE)

    def commit(self, reports: list[Report]) -> None:
        if reports:
            revision = Revision(self.cluster.revision + 1)
            apply(ReportBatch(tuple(reports)), revision, self.cluster)

    def announce(self, call: BootAnnouncement, now: float = 0.0) -> list[Report]:
        event = registrar.BootAnnouncementReceived(call, Seconds(now), self.cluster)
        reports = registrar.handle(event, self.state)
        self.commit(reports)
        return reports

    def tick(self, now: float) -> list[Report]:
        event = registrar.RegistrarTick(Seconds(now), self.cluster)
        reports = registrar.handle(event, self.state)
        self.commit(reports)
        return reports

    def current(self, name: str = "b-1") -> Registration:
        return self.cluster.registry.current[BackendServerId(name)]


class Tags(RegistrarCase):
    """Guards against a tag that resolves to another boot than it was assigned to."""

    def test_each_boot_has_a_tag_of_its_own(self) -> None:
        self.announce(announcement())
        self.announce(announcement(started_at=2000))
        self.assertEqual(self.current().tag, Tag(2))
        self.assertEqual([b.tag for b in self.cluster.registry.ended], [Tag(1)])

    def test_a_later_boot_at_the_endpoint_ends_the_former_one(self) -> None:
        self.announce(announcement("b-1"))
        self.announce(announcement("b-2", started_at=2000, service=DOCUMENTS))
        self.assertNotIn(BackendServerId("b-1"), self.cluster.registry.current)
        self.assertEqual(self.current("b-2").tag, Tag(2))

    def test_a_late_announcement_of_a_former_boot_changes_nothing(self) -> None:
        self.announce(announcement("b-2", started_at=2000, service=DOCUMENTS))
        self.announce(announcement("b-1"))
        self.assertEqual(list(self.cluster.registry.current), ["b-2"])
        self.announce(announcement("b-2", started_at=1500, service=DOCUMENTS))
        self.assertEqual(self.current("b-2").started_at, 2000)

    def test_a_boot_that_was_silent_keeps_its_tag(self) -> None:
        self.announce(announcement())
        self.tick(LEASE)
        self.assertTrue(self.current().silent)
        self.announce(announcement(sequence=2), LEASE + 1)
        self.assertEqual((self.current().tag, self.current().silent), (1, False))

    def test_repeated_reports_change_nothing(self) -> None:
        self.announce(announcement())
        report = BootAnnounced(
            BackendServerId("b-1"), SEATS, RECIFE, ENDPOINT, 1000, 4, False, Seconds(0)
        )
        before = replace(self.current())
        self.commit([report])
        self.assertEqual(self.current(), before)
        self.assertEqual(self.cluster.registry.next_tag, 2)


class UndeclaredServices(RegistrarCase):
    """Guards against an odd entry that ends a live boot or keeps its leases out.

    The control VM that received it may know another configuration than the leader.
    """

    def announce_declared(self, call: BootAnnouncement, *declared: ServiceId) -> None:
        event = registrar.BootAnnouncementReceived(
            call, Seconds(0.0), self.cluster, frozenset(declared)
        )
        self.commit(registrar.handle(event, self.state))

    def check_is_live(self) -> None:
        self.assertEqual(self.current().tag, Tag(1))
        self.assertEqual(self.cluster.registry.ended, [])

    def test_it_ends_no_boot_at_its_endpoint_or_under_its_id(self) -> None:
        self.announce(announcement())
        for name in ("b-1", "b-2"):
            odd = announcement(name, started_at=2000, service=DOCUMENTS)
            self.announce_declared(odd, SEATS)
            self.check_is_live()

    def test_its_sequence_number_hides_no_later_announcement(self) -> None:
        self.announce(announcement())
        odd = announcement(started_at=2000, sequence=9, service=DOCUMENTS)
        self.announce_declared(odd, SEATS)
        self.announce(announcement(sequence=2), LEASE - 0.1)
        self.assertEqual(self.tick(LEASE + 1), [])

    def test_nothing_is_registered_before_there_is_a_configuration(self) -> None:
        self.announce_declared(announcement())
        self.assertEqual(self.cluster.registry.current, {})
        self.announce_declared(announcement(), SEATS)
        self.check_is_live()

    def test_a_registered_boot_is_kept_without_its_service(self) -> None:
        self.announce(announcement())
        self.announce_declared(announcement(sequence=2, draining=True), DOCUMENTS)
        self.assertIs(self.current().state, RegistrationState.DRAINING)
        self.check_is_live()


class Drains(RegistrarCase):
    """Guards against new flows for a backend server that is shutting down."""

    def test_a_drain_is_not_undone_by_a_late_announcement(self) -> None:
        self.announce(announcement(sequence=5, draining=True))
        self.announce(announcement(sequence=4))
        self.assertIs(self.current().state, RegistrationState.DRAINING)
        # Another control VM may forward it to a new leader.
        gained = registrar.LeadershipGained(Seconds(1.0), self.cluster)
        registrar.handle(gained, self.state)
        self.announce(announcement(sequence=4), 1.0)
        self.assertIs(self.current().state, RegistrationState.DRAINING)

    def test_a_departure_is_reflected_once_the_boot_is_silent(self) -> None:
        self.announce(announcement())
        departure = BootDeparture(BackendServerId("b-1"))
        self.assertFalse(is_reflected(departure, self.cluster))
        event = registrar.BootDepartureReceived(departure, Seconds(0.0), self.cluster)
        self.commit(registrar.handle(event, self.state))
        self.assertTrue(is_reflected(departure, self.cluster))


class Acknowledgements(RegistrarCase):
    """Guards against an acknowledgement that precedes the replicated state."""

    def test_a_change_is_not_reflected_before_it_is_applied(self) -> None:
        first = announcement()
        self.assertFalse(is_reflected(first, self.cluster))
        self.announce(first)
        self.assertTrue(is_reflected(announcement(sequence=2), self.cluster))
        self.assertFalse(is_reflected(announcement(draining=True), self.cluster))
        self.assertFalse(is_reflected(announcement(cold_for=1.0), self.cluster))
        self.assertFalse(is_reflected(announcement(started_at=2000), self.cluster))

    def test_a_late_call_of_a_replaced_boot_counts_as_reflected(self) -> None:
        self.announce(announcement("b-2", started_at=2000, service=DOCUMENTS))
        self.assertTrue(is_reflected(announcement("b-1"), self.cluster))


class Leases(RegistrarCase):
    """Guards against flows for a crashed backend server, and against false expiry."""

    def test_silence_is_reported_after_the_lease_and_once(self) -> None:
        self.announce(announcement())
        self.assertEqual(self.tick(LEASE - 0.1), [])
        self.assertEqual(self.tick(LEASE), [BootSilent(BackendServerId("b-1"), Tag(1))])
        self.assertEqual(self.tick(LEASE + 1), [])

    def test_a_new_leader_waits_for_a_whole_lease(self) -> None:
        self.announce(announcement())
        gained = registrar.LeadershipGained(Seconds(10.0), self.cluster)
        registrar.handle(gained, self.state)
        self.assertEqual(self.tick(10.0 + LEASE - 0.1), [])
        self.assertEqual(len(self.tick(10.0 + LEASE)), 1)

    def test_a_silent_boot_is_removed_when_no_flow_can_carry_its_tag(self) -> None:
        self.announce(announcement())
        self.tick(LEASE)
        self.tick(LEASE + 1)
        reports = self.tick(LEASE + 1 + registrar.BOOT_RETENTION_TIME)
        self.assertEqual(reports, [BootsForgotten((Tag(1),))])
        self.assertEqual(self.cluster.registry.current, {})
        self.assertEqual(self.cluster.registry.ended, [])


if __name__ == "__main__":
    unittest.main()
