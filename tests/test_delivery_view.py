"""Views, their updates and encoding, and the choice of their sources."""

import unittest

from returns.result import Success

from wasabigw.codec.views import decode_update, encode_update
from wasabigw.core.cluster import ClusterState, FailureDomain
from wasabigw.core.cluster_view import view_of
from wasabigw.core.delivery_view import DeliveryView, Source, apply_update, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    CompressedText,
    FailureDomainId,
    RegionId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument, Registration
from wasabigw.core.sources import (
    FAILURE_BACKOFF,
    SourceState,
    next_source,
    record_current,
    record_failure,
    set_known_sources,
)
from wasabigw.core.states import FailureDomainState, RegistrationState

RECIFE, SALVADOR = FailureDomainId("recife"), FailureDomainId("salvador")
FRESH = Seconds(1.0)


def boot(tag: int, changed_at: int) -> Registration:
    """A boot that last changed at a revision."""
    return Registration(
        Tag(tag),
        BackendServerId(f"b-{tag}"),
        ServiceId("seats"),
        RECIFE,
        Endpoint("10.0.0.1", 8000 + tag),
        1000,
        4,
        changed_at=Revision(changed_at),
    )


def view(revision: int, *boots: Registration, forgotten_at: int = 0) -> DeliveryView:
    """A view of some boots."""
    return DeliveryView(
        Revision(revision),
        {b.tag: b for b in boots},
        DeclaredDocument(3, CompressedText("text")),
        Revision(4),
        Revision(forgotten_at),
        (SALVADOR,),
    )


class Updates(unittest.TestCase):
    """Guards against balancers that miss a change or keep removed boots."""

    def test_an_empty_view_gets_a_complete_update(self) -> None:
        origin = view(9, boot(1, 2), boot(2, 8))
        copy = DeliveryView()
        self.assertTrue(apply_update(copy, update_since(origin, Revision(0), FRESH)))
        self.assertEqual(copy, origin)

    def test_an_update_contains_only_changes(self) -> None:
        origin = view(9, boot(1, 2), boot(2, 8))
        update = update_since(origin, Revision(5), FRESH)
        self.assertEqual([b.tag for b in update.boots], [2])
        self.assertIsNone(update.document)
        copy = view(5, boot(1, 2), boot(2, 3))
        apply_update(copy, update)
        self.assertEqual(copy, origin)

    def test_an_update_removes_forgotten_boots(self) -> None:
        origin = view(9, boot(2, 3), forgotten_at=9)
        copy = view(8, boot(1, 2), boot(2, 3))
        apply_update(copy, update_since(origin, Revision(8), FRESH))
        self.assertEqual(copy, origin)

    def test_an_older_update_changes_nothing(self) -> None:
        copy = view(9, boot(1, 2))
        self.assertFalse(apply_update(copy, update_since(view(8), Revision(9), FRESH)))
        self.assertEqual(copy, view(9, boot(1, 2)))

    def test_the_encoding_keeps_everything(self) -> None:
        origin = view(9, boot(1, 2), boot(2, 8))
        origin.sources = (Source(Endpoint("10.0.0.9", 7000), RECIFE),)
        update = update_since(origin, Revision(0), FRESH)
        self.assertEqual(decode_update(encode_update(update)), Success(update))

    def test_malformed_text_is_a_problem(self) -> None:
        for data in (b"", b"{}", b"[]", b"\xff", b'{"revision": "x"}'):
            with self.subTest(data=data):
                self.assertTrue(decode_update(data).failure())

    def test_a_view_of_the_replicated_state(self) -> None:
        cluster = ClusterState(revision=Revision(7))
        out = FailureDomainState.OUT_OF_SERVICE
        cluster.failure_domains = {
            RECIFE: FailureDomain(RECIFE, RegionId("r")),
            SALVADOR: FailureDomain(SALVADOR, RegionId("r"), out),
        }
        ended = boot(1, 2)
        cluster.registry.ended = [ended]
        cluster.registry.current = {BackendServerId("b-2"): boot(2, 3)}
        found = view_of(cluster)
        self.assertEqual(set(found.boots), {1, 2})
        self.assertEqual(found.out_of_service, (SALVADOR,))
        self.assertIs(found.boots[Tag(1)].state, RegistrationState.SERVING)


class Sources(unittest.TestCase):
    """Guards against balancers that keep polling a source that does not answer."""

    def setUp(self) -> None:
        self.first, self.second = Endpoint("10.1.0.1", 7000), Endpoint("10.2.0.1", 7000)
        self.state = SourceState(SALVADOR, (self.first, self.second))

    def test_sources_of_the_own_failure_domain_come_first(self) -> None:
        known = (Source(self.first, RECIFE), Source(self.second, SALVADOR))
        set_known_sources(self.state, known)
        self.assertEqual(next_source(self.state, Seconds(0.0)), (self.second, False))

    def test_the_own_control_vm_comes_before_all_others(self) -> None:
        self.state.own = Endpoint("10.3.0.1", 7000)
        found, _ = next_source(self.state, Seconds(0.0))
        self.assertEqual(found, self.state.own)

    def test_a_source_that_failed_is_not_polled_during_its_backoff(self) -> None:
        record_failure(self.state, self.first, Seconds(0.0))
        self.assertEqual(next_source(self.state, Seconds(0.1)), (self.second, False))
        record_current(self.state, self.second)
        later = Seconds(FAILURE_BACKOFF)
        self.assertEqual(next_source(self.state, later), (self.first, False))

    def test_if_all_failed_the_one_that_failed_first_is_polled(self) -> None:
        record_failure(self.state, self.second, Seconds(0.0))
        record_failure(self.state, self.first, Seconds(0.1))
        self.assertEqual(next_source(self.state, Seconds(0.2)), (self.second, True))


if __name__ == "__main__":
    unittest.main()
