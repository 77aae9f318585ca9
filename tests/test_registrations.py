"""Registrations of boots that are reached by tags, and their announcement leases."""

import math
import unittest
from dataclasses import fields as fields_of
from dataclasses import replace
from unittest import mock

from wasabigw.codec.messages import decode, encode
from wasabigw.core import registrar
from wasabigw.core.apply import apply
from wasabigw.core.boot_preferences import Preference
from wasabigw.core.cluster import ClusterState, Endpoint, Registration, endpoint_key
from wasabigw.core.cluster_view import view_of
from wasabigw.core.commands import (
    BootAnnounced,
    BootsForgotten,
    BootSilent,
    Report,
    ReportBatch,
)
from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.log_messages import BootAnnouncement, BootDeparture
from wasabigw.core.registrar import RegistrarState, is_reflected
from wasabigw.core.registrations import is_same_boot
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.updates import rebuild_pools

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


def report_of(call: BootAnnouncement) -> BootAnnounced:
    """Report that the leader proposes for an announcement."""
    fields = {name.name: getattr(call, name.name) for name in fields_of(BootAnnounced)}
    return BootAnnounced(**fields)


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

    def view(self) -> DeliveryView:
        return view_of(self.cluster)

    def in_use(self) -> dict[BackendServerId, Tag]:
        """Tags of the boots that balancers choose for new flows, by their ids."""
        state = TagState(NodeId("balancer"), RECIFE, view=self.view())
        rebuild_pools(state, Seconds(0.0))
        servers = [server for pool in state.pools.values() for server in pool]
        return {s.registration.id: s.registration.tag for s in servers}

    def depart(self, now: float, name: str = "b-1") -> None:
        departure = BootDeparture(BackendServerId(name))
        event = registrar.BootDepartureReceived(departure, Seconds(now), self.cluster)
        self.commit(registrar.handle(event, self.state))

    def keep_announcing(
        self, call: BootAnnouncement, since: float, until: float
    ) -> float:
        """Announce a boot every second; when it is in use, or infinity."""
        now, sequence = since, 100
        while now <= until:
            self.tick(now)
            sequence += 1
            self.announce(replace(call, sequence=sequence), now)
            if call.id in self.in_use() and is_same_boot(
                self.current(call.id), report_of(call)
            ):
                return now
            now += 1.0
        return math.inf


class Tags(RegistrarCase):
    """Guards against a tag that resolves to another boot than it was assigned to."""

    def test_each_boot_has_a_tag_of_its_own(self) -> None:
        self.announce(announcement())
        self.announce(announcement(started_at=2000))
        self.assertEqual(self.current().tag, Tag(2))
        self.assertEqual(self.in_use(), {BackendServerId("b-1"): Tag(2)})
        self.assertEqual([b.tag for b in self.cluster.registry.ended], [Tag(1)])

    def test_a_later_boot_at_the_endpoint_gets_the_new_flows(self) -> None:
        self.announce(announcement("b-1"))
        self.announce(announcement("b-2", started_at=2000, service=DOCUMENTS))
        self.assertEqual(self.in_use(), {BackendServerId("b-2"): Tag(2)})
        self.assertEqual(set(self.view().boots), {Tag(1), Tag(2)})

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


class LateAnnouncements(RegistrarCase):
    """Guards against a live boot that is ended by an announcement of another one.

    The other one has crashed, and started while its clock was ahead. Balancers reset
    the flows of the live boot, which stayed out of use while it was acknowledged.
    """

    def check_live_boot(self, live: BootAnnouncement, late: BootAnnouncement) -> None:
        self.announce(live)
        tag = self.current(live.id).tag
        self.announce(late)
        kept = self.view().boots[tag]
        self.assertIs(kept.state, RegistrationState.SERVING)
        self.announce(replace(live, sequence=2), 1.0)
        self.assertTrue(is_reflected(live, self.cluster))
        self.assertLessEqual(self.keep_announcing(live, 2.0, 20.0), LEASE + 1.0)
        self.assertEqual(self.in_use(), {live.id: tag})
        self.assertEqual(self.view().boots[tag], self.current(live.id))

    # The crashed boot had another id, at the same endpoint.
    def test_a_late_announcement_at_its_endpoint_does_not_end_a_boot(self) -> None:
        late = announcement("b-2", started_at=4000)
        self.check_live_boot(announcement(started_at=2000), late)

    # A backend server starts again under its id, after its clock stepped back.
    def test_a_late_announcement_under_its_id_does_not_end_a_boot(self) -> None:
        late = announcement(started_at=4000)
        self.check_live_boot(announcement(started_at=2000), late)

    # The crashed boot had the id at another endpoint, where another one runs now.
    def test_a_late_announcement_for_both_does_not_end_two_boots(self) -> None:
        elsewhere = Endpoint("10.0.0.2", 80)
        neighbour = announcement("b-2", started_at=2000, endpoint=elsewhere)
        self.announce(neighbour)
        late = announcement(started_at=4000, endpoint=elsewhere)
        self.check_live_boot(announcement(started_at=2000), late)
        self.assertEqual(self.keep_announcing(neighbour, 5.0, 20.0), 5.0)
        self.assertEqual(len(self.in_use()), 2)

    # A crashed boot that is announced late may not keep its successor out either.
    def test_a_boot_is_in_use_within_the_lease_although_its_clock_is_behind(
        self,
    ) -> None:
        for name in ("b-1", "b-2"):
            with self.subTest(name):
                self.setUp()
                self.announce(announcement(started_at=4000))
                new = announcement(name, started_at=2000)
                self.assertLessEqual(self.keep_announcing(new, 0.5, 20.0), LEASE + 1.0)

    # The lease of the id was renewed by the other boot, so that it never expired.
    def test_announcements_of_a_boot_do_not_renew_the_lease_of_another(self) -> None:
        self.announce(announcement(started_at=4000))
        self.announce(announcement(started_at=2000), LEASE + 0.1)
        self.tick(LEASE + 0.2)
        self.assertTrue(self.current().silent)

    # A superseded boot that announces itself is acknowledged by each control VM.
    def test_a_new_leader_puts_the_live_boot_in_use_within_the_lease(self) -> None:
        live, late = announcement(started_at=2000), announcement("b-2", 4000)
        self.announce(live)
        self.announce(late)
        gained = registrar.LeadershipGained(Seconds(1.0), self.cluster)
        registrar.handle(gained, self.state)
        self.assertLessEqual(self.keep_announcing(live, 1.5, 20.0), LEASE + 2.0)

    # A boot that had ended got new flows from a copy of an earlier announcement.
    def test_an_announcement_from_before_a_shutdown_is_ignored(self) -> None:
        self.announce(announcement(sequence=5))
        self.depart(0.5)
        for sequence in (4, 5):
            self.tick(1.0)
            self.announce(announcement(sequence=sequence), 1.0)
            self.assertEqual(self.in_use(), {})
        # The departure was of a former boot under the id.
        self.tick(1.0)
        self.announce(announcement(sequence=6), 1.0)
        self.assertEqual(self.in_use(), {BackendServerId("b-1"): Tag(1)})


class SupersededBoots(RegistrarCase):
    """Guards against registrations that grow, or whose indexes disagree."""

    def supersede(self, count: int, distinct: bool) -> None:
        for number in range(count):
            name = f"b-{number}" if distinct else "b-1"
            self.announce(announcement(name, started_at=1000 + number))

    def test_they_are_removed_when_no_flow_can_carry_their_tags(self) -> None:
        for distinct in (False, True):
            with self.subTest(distinct=distinct):
                self.setUp()
                self.supersede(3, distinct)
                self.tick(0.0)
                for second in range(1, 130):
                    last = announcement("b-2" if distinct else "b-1", 1002)
                    self.announce(replace(last, sequence=1 + second), float(second))
                    self.tick(float(second))
                self.assertEqual(set(self.view().boots), {Tag(3)})

    def test_the_oldest_are_removed_beyond_the_limit(self) -> None:
        for distinct in (False, True):
            limit = mock.patch("wasabigw.core.registrations.MAX_ENDED_BOOTS", 3)
            with self.subTest(distinct=distinct), limit:
                self.setUp()
                self.supersede(9, distinct)
                self.assertEqual(set(self.view().boots), {6, 7, 8, 9})
                registry = self.cluster.registry
                self.assertEqual(registry.forgotten_at, self.cluster.revision)

    def test_the_owner_of_an_endpoint_is_the_boot_in_use(self) -> None:
        owners = self.cluster.registry.owners
        live, late = announcement(started_at=2000), announcement("b-2", 4000)
        for call, owner in ((live, "b-1"), (late, "b-2"), (live, "b-2")):
            self.announce(call)
            self.assertEqual(owners, {endpoint_key(ENDPOINT): owner})
        self.keep_announcing(live, 1.0, 20.0)
        self.assertEqual(owners, {endpoint_key(ENDPOINT): "b-1"})

    def test_a_boot_keeps_draining_after_it_was_superseded(self) -> None:
        live = announcement(started_at=2000, draining=True)
        for other in ("b-1", "b-2"):
            with self.subTest(other):
                self.setUp()
                self.announce(live)
                self.announce(announcement(other, 4000))
                self.tick(LEASE)
                self.announce(replace(live, draining=False), LEASE)
                self.assertIs(self.current().state, RegistrationState.DRAINING)


class StoredByEarlierVersions(RegistrarCase):
    """Guards against a replicated state of an earlier version that can't be used."""

    def test_a_boot_that_was_stored_as_ended_comes_back(self) -> None:
        self.announce(announcement(started_at=2000))
        self.announce(announcement(started_at=4000))
        registry = self.cluster.registry
        (former,) = registry.ended
        registry.ended = [replace(former, state=RegistrationState.ENDED, silent=False)]
        snapshot: ClusterState = decode(encode(self.cluster), ClusterState).unwrap()
        self.assertEqual(snapshot, self.cluster)
        self.assertEqual(self.in_use(), {BackendServerId("b-1"): Tag(2)})
        self.tick(0.0)
        self.tick(LEASE)
        self.announce(announcement(started_at=2000), LEASE)
        self.assertEqual(self.in_use(), {BackendServerId("b-1"): Tag(1)})


class PreferenceLog(RegistrarCase):
    """Guards against logs that do not tell a late announcement from a restart."""

    def test_the_log_names_both_boots_and_their_last_announcements(self) -> None:
        live, late = announcement(started_at=2000), announcement("b-2", 4000)
        self.announce(live)
        self.announce(late, 1.0)
        self.announce(replace(live, sequence=2), 1.5)
        self.announce(replace(live, sequence=3), 2.5)
        self.tick(1.0 + LEASE)
        self.announce(replace(live, sequence=4), 1.25 + LEASE)
        found = [
            (c.preference, c.boot.id, c.announced_ago, c.other_announced_ago)
            for c in self.state.preference_changes
        ]
        self.assertEqual(
            found,
            [
                (Preference.TAKEN_OVER, "b-2", None, 1.0),
                (Preference.NOT_PREFERRED, "b-1", 1.5, 0.5),
                (Preference.BACK_IN_USE, "b-1", 1.75, 0.25 + LEASE),
            ],
        )


class UndeclaredServices(RegistrarCase):
    """Guards against an odd entry that supersedes a live boot or hides its leases.

    The control VM that received it may know another configuration than the leader.
    """

    def announce_declared(self, call: BootAnnouncement, *declared: ServiceId) -> None:
        event = registrar.BootAnnouncementReceived(
            call, Seconds(0.0), self.cluster, frozenset(declared)
        )
        self.commit(registrar.handle(event, self.state))

    def check_is_live(self) -> None:
        self.assertEqual((self.current().tag, self.current().silent), (Tag(1), False))
        self.assertEqual(list(self.cluster.registry.current), ["b-1"])
        self.assertEqual(self.cluster.registry.ended, [])

    def test_it_supersedes_no_boot_at_its_endpoint_or_under_its_id(self) -> None:
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

    # Acknowledged announcements after a long silence did not put the boot in use.
    def test_a_boot_that_was_silent_for_long_is_in_use_again(self) -> None:
        for silence in range(121, 130):
            with self.subTest(silence=silence):
                self.setUp()
                self.announce(announcement())
                for tick in range(10 * silence):
                    self.tick(tick / 10)
                self.announce(announcement(sequence=2), silence)
                self.assertEqual(list(self.in_use()), ["b-1"])

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
