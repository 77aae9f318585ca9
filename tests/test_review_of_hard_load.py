"""Faults that a review of the parts for load and overload has found."""

from tests.test_admission_control import URGENT, WITH_ROOM, AdmissionCase
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.admission_control import update_services


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
