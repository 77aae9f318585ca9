"""Relays that restart with the view of an earlier process, and what balancers get."""

import tempfile
import time
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any

from returns.result import Success

from tests.test_control_api import free_endpoint
from tests.test_relay import LONG, RECIFE, PollRecorder, update
from wasabigw.codec.views import encode_update
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.ids import Seconds
from wasabigw.core.sources import SourceState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.relay import RelaySettings, make_relay
from wasabigw.tasks.view_follower import ViewReceived, make_view_follower
from wasabigw.tasks.view_names import VIEW_FILE_NAME

STALE = 0.0
CURRENT = 10.0
OBSERVED = Seconds(2.5)
"""Time for which a balancer is observed; stale sources are polled twice in it."""


class RestartedRelays(unittest.TestCase):
    """Guards against a stored view that is followed although there is a newer one.

    It must never be given as current, nor be replaced by an older one, nor keep the
    relay from following a control VM.
    """

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.received: Mailbox[Any] = Mailbox("received", capacity=4096)

    def start(self, stored: bytes | None, voter: ViewUpdate) -> None:
        """Start a relay with a stored view, and a balancer that follows only it."""
        if stored is not None:
            Path(self.folder, VIEW_FILE_NAME).write_bytes(stored)
        self.recorder = self.enterContext(PollRecorder(voter))
        sources = SourceState(RECIFE, (), self.recorder.endpoint)
        bind = free_endpoint()
        self.enterContext(make_relay(RelaySettings(bind, sources, self.folder)))
        self.enterContext(
            make_view_follower(
                SourceState(RECIFE, (bind,)), self.received, lambda api: api
            )
        )

    def wait_for(self, is_expected: Callable[[ViewUpdate], bool]) -> list[ViewUpdate]:
        """Updates that the balancer gets up to an expected one."""
        found: list[ViewUpdate] = []
        until = monotonic() + LONG
        while monotonic() < until:
            outcome = self.received.get(Seconds(0.1))
            if not isinstance(outcome, Success):
                continue
            message: ViewReceived = outcome.unwrap()
            found.append(message.update)
            if is_expected(message.update):
                return found
        return self.fail(f"got only {[(u.revision, u.fresh_for) for u in found]}")

    def observe(self) -> list[ViewUpdate]:
        """Updates that the balancer gets within some seconds."""
        time.sleep(OBSERVED)
        return [message.update for message in self.received.drain()]

    def test_an_older_stored_view_is_replaced_by_a_current_one(self) -> None:
        self.start(encode_update(update(5, STALE)), update(6, CURRENT))
        found = self.wait_for(lambda u: u.revision == 6 and u.fresh_for > 0)
        self.assertTrue(all(u.fresh_for <= 0 for u in found if u.revision < 6))

    def test_without_a_leader_the_stored_view_is_kept_but_never_current(self) -> None:
        # Voters that restart have the state of their last snapshot, here revision 2.
        self.start(encode_update(update(5, STALE)), update(2, STALE))
        found = self.observe()
        self.assertEqual({(u.revision, u.fresh_for) for u in found}, {(5, 0.0)})

    def test_without_a_file_or_with_a_damaged_one_a_voter_is_followed(self) -> None:
        whole = encode_update(update(5, STALE))
        for stored in (None, b"", whole[:-5], b"\x00" * 40, b'{"revision": 9}'):
            with self.subTest(stored=stored):
                self.doCleanups()
                self.setUp()
                self.start(stored, update(6, CURRENT))
                found = self.wait_for(lambda u: u.fresh_for > 0)
                self.assertEqual({u.revision for u in found}, {6})

    def test_a_stored_view_that_claims_to_be_current_is_not(self) -> None:
        self.start(encode_update(update(5, CURRENT)), update(2, STALE))
        self.assertEqual({u.fresh_for for u in self.observe()}, {0.0})

    def test_a_view_of_another_log_is_kept_but_never_current(self) -> None:
        # A log that was founded again has lower revisions.
        self.start(encode_update(update(900, STALE)), update(6, CURRENT))
        found = self.observe()
        self.assertEqual({(u.revision, u.fresh_for) for u in found}, {(900, 0.0)})


if __name__ == "__main__":
    unittest.main()
