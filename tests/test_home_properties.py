"""A home under announcements that are late, pauses, and cuts."""

import sys
import unittest
from collections.abc import Callable
from itertools import chain
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from wasabigw_verify.home_model import (
    Cut,
    HomeModel,
    Isolate,
    Late,
    Pass,
    Pause,
    Restart,
    play,
    play_with,
)

disturbances = st.sampled_from([1, 3, 6, 10, 12, 14, 20])
pauses = st.sampled_from([1, 2, 4, 4, 14, 20, 40])
lates = st.builds(Late, st.integers(0, 30), st.integers(1, 3))
events = st.one_of(
    st.builds(Restart, st.integers(0, 1)),
    st.builds(Restart, st.integers(0, 1)),
    lates,
    lates,
    lates,
    st.builds(Late, st.integers(0, 30), st.integers(1, 3), st.just(False)),
    st.builds(Cut, disturbances),
    st.builds(Pause, disturbances, st.booleans()),
    st.builds(Isolate, disturbances),
)
passes = st.builds(Pass, pauses)
late_during_cut = st.tuples(
    st.just(Cut(20)), st.just(Pass(14)), lates, st.just(Pass(3)), lates, passes
)
"""Late announcements once the home has not heard the backend server for a lease."""
rounds = st.lists(
    st.one_of(
        st.tuples(events, passes),
        st.tuples(events, passes),
        st.tuples(events, passes),
        late_during_cut,
    ),
    min_size=5,
    max_size=20,
)


def play_rounds(taken: list[tuple[object, ...]]) -> None:
    """Play the steps of all rounds."""
    play([Pass(20), *chain.from_iterable(taken)])


SHORT = settings(max_examples=200, phases=(Phase.generate,))
UNTIL_FOUND = settings(
    max_examples=1000,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)


class LiveServers(unittest.TestCase):
    """Guards against live boots that an announcement or a silence at the home ends."""

    @SHORT
    @given(rounds)
    def test_they_stay_registered_and_a_restart_is_registered(
        self, taken: list[tuple[object, ...]]
    ) -> None:
        play_rounds(taken)


class OpenCases(unittest.TestCase):
    """Guards against the end of flows whose home hears neither server nor answers."""

    def test_an_idle_server_that_is_cut_off_from_its_home_stays(self) -> None:
        play_with(HomeModel(is_idle=True), [Pass(40), Cut(40)])

    def test_a_server_that_is_cut_off_outlasts_late_announcements(self) -> None:
        late = Late(0, 1)
        before = [Pass(40), Restart(0), Pass(40)]
        during = [Cut(40), Pass(14), late, Pass(4), late]
        play_with(HomeModel(late_often=True), [*before, *during])


class PlantedFaults(unittest.TestCase):
    """Guards against a model that can't find the faults that it was written for."""

    def check_is_found(self, name: str, replacement: Callable[..., Any]) -> None:
        with (
            mock.patch(name, replacement),
            self.assertRaisesRegex(AssertionError, "flows of"),
        ):
            UNTIL_FOUND(given(rounds)(play_rounds))()

    def test_another_boot_takes_over_at_once(self) -> None:
        self.check_is_found(
            "wasabigw.core.home_announcements._takes_over", lambda *_: True
        )

    def test_a_boot_takes_over_from_one_that_is_heard(self) -> None:
        self.check_is_found(
            "wasabigw.core.home_announcements.is_silent", lambda *_: True
        )

    def test_copies_that_arrive_together_show_that_a_boot_runs(self) -> None:
        self.check_is_found("wasabigw.core.contenders.is_running", lambda *_: True)

    def test_a_boot_elsewhere_takes_over_from_one_that_answers(self) -> None:
        self.check_is_found(
            "wasabigw.core.home_announcements.answers_callers", lambda *_: False
        )

    def test_the_pause_of_a_home_counts_as_silence(self) -> None:
        self.check_is_found(
            "wasabigw.core.backend_home.update_listening", lambda *_: None
        )

    def test_answers_to_callers_do_not_count(self) -> None:
        self.check_is_found(
            "wasabigw.core.home_records.answers_callers", lambda *_: False
        )


def search(examples: int, start: int) -> None:
    """Play examples at random without shrinking."""
    settings(
        max_examples=examples,
        phases=(Phase.generate,),
        database=None,
        derandomize=False,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )(seed(start)(given(rounds)(play_rounds)))()


if __name__ == "__main__":
    search(int(sys.argv[1]), int(sys.argv[2]))
    sys.stdout.write(f"{sys.argv[1]} examples, seed {sys.argv[2]}: no violation\n")
