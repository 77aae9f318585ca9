"""The claims of the check of the replicated log, which follow from lost control VMs."""

import unittest
from collections.abc import Callable, Iterator, Sequence
from dataclasses import replace
from itertools import permutations
from unittest import mock

from wasabigw.core.consensus import reconfiguration, voter
from wasabigw.core.consensus.state import PlannedStop, VoterState
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.states import StopOutcome
from wasabigw_verify.log_check import progress, vm_losses
from wasabigw_verify.log_check.progress import LEADER_WITHIN_TICKS
from wasabigw_verify.log_check.scenario import A, B, C, D, initial_world
from wasabigw_verify.log_check.scenarios import REPLACED_DISK, STOPPED_LEADER
from wasabigw_verify.log_check.steps import (
    Continue,
    Cut,
    ReplaceDisk,
    Start,
    Step,
    Stop,
    Terminate,
)
from wasabigw_verify.log_check.transitions import take
from wasabigw_verify.log_check.vm_losses import CATCH_UP_TICKS
from wasabigw_verify.log_check.world import World

CAUGHT_UP_TICKS = 40
"""Ticks after its start when a standby is certain to hold the log."""
Cell = tuple[NodeId, NodeId, int]
"""Voter that stops, voter that loses its disk, and the ticks between them."""


class ReplacedThenLostDisk(unittest.TestCase):
    """Guards against a replaced voter whose successor has no vote at the next loss."""

    def play(self, world: World, ticks: int) -> World:
        """Let time pass without faults."""
        until = world.now + ticks
        while world.now < until:
            take(Continue(), world, ())
        return world

    def play_pairs(
        self, stop: Callable[[NodeId], Step], intervals: Sequence[int]
    ) -> Iterator[tuple[World, Cell]]:
        """States after the stop of one voter, and then the loss of another's disk."""
        for stopped, emptied in permutations((A, B, C), 2):
            scenario = replace(STOPPED_LEADER, script=())
            ended = initial_world(scenario, scenario.orders[0])
            take(Start(D), self.play(ended, 8), ())
            take(stop(stopped), self.play(ended, CAUGHT_UP_TICKS), ())
            while stopped in ended.running():
                take(Continue(), ended, ())
            for interval in intervals:
                world = self.play(ended.copy(), interval)
                take(ReplaceDisk(emptied), world, ())
                self.play(world, LEADER_WITHIN_TICKS)
                yield world, (stopped, emptied, interval)

    def test_a_planned_stop_at_any_interval(self) -> None:
        intervals = (1, 2, 4, 6, 7, 8, 10, 12, 14, 16, 20, 24, 28)
        for world, cell in self.play_pairs(Terminate, intervals):
            with self.subTest(cell):
                self.assertTrue(progress.is_claimed(world))
                self.assertTrue(progress.has_leader(world))

    def test_an_end_without_a_notice_from_the_catch_up_time_on(self) -> None:
        for world, cell in self.play_pairs(Stop, (CATCH_UP_TICKS, 20, 24, 28)):
            with self.subTest(cell):
                self.assertTrue(progress.is_claimed(world))
                self.assertTrue(progress.has_leader(world))

    def play_ends(self) -> Iterator[tuple[World, Cell]]:
        """States after the end of the voter whose failure domain has a successor."""
        for world, cell in self.play_pairs(Stop, (1, 2, 4, 6, 7, 8, 10, 12, 14)):
            if cell[0] == A:
                yield world, cell

    def test_an_end_without_a_notice_in_the_domain_of_the_successor(self) -> None:
        # Guards against a successor that waits for its vote until its predecessor,
        # which ends without a notice, is silent for long enough (review/12).
        for world, cell in self.play_ends():
            with self.subTest(cell):
                self.assertTrue(progress.is_claimed(world))
                self.assertTrue(progress.has_leader(world))

    def test_an_end_without_a_successor_that_votes_is_found(self) -> None:
        with mock.patch.object(reconfiguration, "_may_succeed", return_value=False):
            for world, cell in self.play_ends():
                if cell[2] <= 6:
                    with self.subTest(cell):
                        self.assertTrue(progress.is_claimed(world))
                        self.assertFalse(progress.has_leader(world))

    def test_a_stop_without_a_replacement_is_found(self) -> None:
        def finish(state: VoterState, now: Seconds) -> list[object]:
            outcome = StopOutcome.NO_STANDBY
            state.stop = PlannedStop(now, True, now, now, outcome=outcome)
            return []

        with (
            mock.patch.object(voter, "request_stop", finish),
            mock.patch.object(reconfiguration, "_may_succeed", return_value=False),
        ):
            for world, cell in self.play_pairs(Terminate, (1, 2, 4)):
                with self.subTest(cell):
                    self.assertTrue(progress.is_claimed(world))
                    self.assertFalse(progress.has_leader(world))


class VmLosses(unittest.TestCase):
    """Guards against claims that follow from what the voters believe."""

    def test_a_lost_disk_counts_until_it_had_the_time_to_be_filled(self) -> None:
        scenario = replace(REPLACED_DISK, script=())
        world = initial_world(scenario, scenario.orders[0])
        take(ReplaceDisk(C), world, ())
        self.assertEqual(vm_losses.count_losses(world), vm_losses.Losses(1, 1))
        self.assertEqual(vm_losses.tolerated_disks(world), 0)
        while world.now <= CATCH_UP_TICKS:
            take(Continue(), world, ())
        self.assertEqual(vm_losses.count_losses(world), vm_losses.Losses(0, 0))

    def test_two_disks_lost_at_once_are_more_than_promised(self) -> None:
        scenario = replace(REPLACED_DISK, script=())
        world = initial_world(scenario, scenario.orders[0])
        take(ReplaceDisk(B), world, ())
        self.assertTrue(vm_losses.is_within_tolerance(world))
        take(ReplaceDisk(C), world, ())
        while world.now <= 3 * CATCH_UP_TICKS:
            take(Continue(), world, ())
        self.assertFalse(vm_losses.is_within_tolerance(world))

    def test_a_disk_is_not_filled_while_too_many_are_away(self) -> None:
        scenario = replace(REPLACED_DISK, script=())
        world = initial_world(scenario, scenario.orders[0])
        take(ReplaceDisk(C), world, ())
        take(Cut(A, 20), world, ())
        while world.now < 20:
            take(Continue(), world, ())
        self.assertEqual(vm_losses.count_losses(world).disks, 1)


if __name__ == "__main__":
    unittest.main()
