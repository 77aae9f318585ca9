"""Faults that a review of the parts for load and overload has found."""

import random
import unittest

from tests.test_admission_control import URGENT, WITH_ROOM, AdmissionCase
from wasabigw.core.ids import Seconds
from wasabigw.core.rates import add_recent
from wasabigw.core.tags.admission_control import update_services
from wasabigw.core.tags.admission_state import AnswerCounts
from wasabigw.core.tags.rejections import learn_usual_share, rejected_share
from wasabigw.core.tags.shortage import MIN_REJECTED_SHARE


class ShortAnswers(AdmissionCase):
    """Guards against limits at a service whose answers are all as short as rejections.

    The load: 50 requests a second, which backend servers answer at half of their
    capacity.
    """

    def test_no_rejection_is_seen_where_all_answers_are_short(self) -> None:
        self.rejected, self.room = None, WITH_ROOM
        for step in range(200):
            self.open(URGENT, step * 0.02, size=200)
        update_services(self.state, Seconds(4.0))
        self.assertEqual(self.state.admission.changes, [])


class MixedAnswers(unittest.TestCase):
    """Guards against chance in the sizes of answers that is taken for rejections.

    The load: 40 answers a second, of which half are as short as a rejection.
    """

    def setUp(self) -> None:
        self.answers = AnswerCounts()
        self.random = random.Random(1)
        self.now = Seconds(0.0)
        self.rejected(20.0, 0.5)

    def rejected(self, seconds: float, short_share: float) -> list[float]:
        """Rejected shares in the last part of a time with random sizes of answers."""
        found = []
        for step in range(round(seconds * 40)):
            self.now = Seconds(self.now + 1 / 40)
            add_recent(self.answers.all, self.now)
            if self.random.random() < short_share:
                add_recent(self.answers.short, self.now)
            if step % 4 == 0 and short_share == 0.5:
                learn_usual_share(self.answers, Seconds(0.1), self.now)
            found.append(rejected_share(self.answers, self.now))
        return found

    def test_chance_is_no_rejection(self) -> None:
        found = self.rejected(300.0, 0.5)
        false = sum(share >= MIN_REJECTED_SHARE for share in found)
        self.assertLess(false / len(found), 0.1)

    def test_a_surge_of_rejections_shows_within_two_seconds(self) -> None:
        found = self.rejected(2.0, 0.85)
        self.assertGreater(found[-1], MIN_REJECTED_SHARE)
