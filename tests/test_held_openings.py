"""Held openings in the packet task, with real sockets on loopback."""

import time
import unittest
from unittest import mock

from returns.result import Result, Success

from tests import test_tag_balancer
from tests.test_platform_packets import OPENING
from tests.test_tag_balancer import LONG, LOOPBACK, StartingBalancerCase
from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.delivery_view import DeliveryView, update_since
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    CompressedText,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.registration import DeclaredDocument
from wasabigw.core.requirements import Priority, Requirements
from wasabigw.core.tags.admission import admission_control, shortage
from wasabigw.core.tags.admission.admission_control import AdmissionOutcome
from wasabigw.core.tags.choice.plans import Room
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.tag_messages import (
    BeginTagDrain,
    TagBalancerStatus,
    TagStatusRequest,
)
from wasabigw.tasks.view_follower import ViewReceived

PHOTOS = ServiceId("photos")
FULL = Room(5.0, Seconds(9.0), 0.0, 10.0)


def declare(document: DeclaredDocument) -> Result[Declaration, str]:
    """Declaration of one listener with requirements."""
    needs = Requirements(Priority(0), Seconds(1.0))
    shares = (ServiceShare(PHOTOS, 1),)
    listener = Listener(Endpoint("198.18.0.1", 443), shares, Seconds(3.0), needs)
    return Success(
        Declaration(document.version, (listener,), (DeclaredService(PHOTOS),))
    )


class HeldOpenings(StartingBalancerCase):
    """Guards against held openings that the task loses, or sends after their time."""

    def setUp(self) -> None:
        document = mock.patch.object(test_tag_balancer, "_reject_document", declare)
        document.start()
        self.addCleanup(document.stop)
        for module, name, value in (
            (shortage, "room_of", FULL),
            (shortage, "rejected_share", 0.5),
            (shortage, "update_spare_servers", None),
            (admission_control, "_limit", AdmissionOutcome.HOLD),
            (admission_control, "take_token", False),
            (admission_control, "fits", False),
        ):
            patched = mock.patch.object(module, name, return_value=value)
            patched.start()
            self.addCleanup(patched.stop)
        super().setUp()
        view = DeliveryView(Revision(1), {Tag(7): self._registration()})
        view.document = DeclaredDocument(1, CompressedText(""))
        update = update_since(view, NO_REVISION, Seconds(60.0))
        self.balancer.mailbox.post(ViewReceived(update, LOOPBACK, monotonic()))
        self.server.settimeout(LONG)

    def open(self) -> None:
        """Send an opening, and wait until it is held."""
        self.caller.sendto(OPENING, (self.endpoint.address, self.endpoint.port))
        self.wait_for("held")

    def wait_for(self, outcome: str) -> None:
        """Wait until the task has counted an outcome once."""
        deadline = monotonic() + LONG
        while self.counts().get(outcome) != 1:
            self.assertLess(monotonic(), deadline, outcome)
            time.sleep(0.005)

    def counts(self) -> dict[str, int]:
        reply: Mailbox[TagBalancerStatus] = Mailbox("status")
        self.balancer.mailbox.post(TagStatusRequest(reply))
        return dict(reply.get(LONG).unwrap().counts)

    def test_it_is_sent_unchanged_but_for_its_tag_when_the_balancer_drains(
        self,
    ) -> None:
        with mock.patch.object(admission_control, "_hold_time", return_value=LONG):
            self.open()
            self.assertNotIn("delivered", self.counts())
            self.balancer.mailbox.post(BeginTagDrain())
            delivered = self.server.recv(2048)
        self.assertEqual(delivered[8:14], OPENING[:6])
        self.assertEqual(delivered[18:], OPENING[10:])
        self.assertEqual(self.counts()["delivered"], 1)

    def test_it_is_dropped_at_its_deadline(self) -> None:
        self.open()
        self.wait_for("dropped-held-too-long")
        self.assertNotIn("delivered", self.counts())


if __name__ == "__main__":
    unittest.main()
