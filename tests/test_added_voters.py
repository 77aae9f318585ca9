"""Control VMs that are added take the place of a voter of their failure domain."""

import unittest
from dataclasses import replace

from tests.test_replaced_voters import (
    AT_ONCE,
    CATCH_UP,
    DOMAINS,
    ELECTION,
    A,
    B,
    C,
    D,
    E,
    followers,
    leader,
)
from tests.voter_network import NODES, Disk, Network, empty_disk
from wasabigw.core.ids import NodeId

INTERVALS = (0.0, 0.5, 1.0, 1.5, 2.5)
"""Seconds between the end of a voter and the loss of a disk."""


def added_disk(name: str) -> Disk:
    """Disk of a control VM that was added to a running cluster."""
    disk = empty_disk(name)
    disk.vote = replace(disk.vote, is_successor=True)
    return disk


def add(run: Network, node: NodeId) -> None:
    """Start a control VM that was not there before."""
    run.replace_disk(node, added_disk(f"{node}-added"))


def running(seed: int = 0, domains: dict[NodeId, str] | None = None) -> Network:
    """Three voters with a leader; no other control VM runs."""
    run = Network(seed, target_voters=3, domains=domains or DOMAINS)
    for node in (D, E):
        del run.members[node]
    leader(run)
    return run


class EndWithoutNotice(unittest.TestCase):
    """Guards against a successor without a vote when its predecessor is gone."""

    def test_the_next_lost_disk_leaves_a_majority(self) -> None:
        # review/12: the predecessor was killed, and another disk was lost 1 s later.
        for seed in range(4):
            for interval in INTERVALS:
                for lost in (A, B):
                    with self.subTest(seed=seed, interval=interval, lost=lost):
                        run = running(seed)
                        add(run, D)
                        run.run(CATCH_UP)
                        run.propose(leader(run))
                        run.run(AT_ONCE)
                        del run.members[C]
                        run.run(interval)
                        run.replace_disk(lost, empty_disk(f"{lost}-new"))
                        run.run(ELECTION)
                        self.assertTrue(any(map(run.is_current, run.members)))


class Succession(unittest.TestCase):
    """Guards against changes of the voters that are not needed, or cost a leader."""

    def test_it_takes_the_place_of_the_voter_of_its_domain(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                run = running(seed)
                add(run, D)
                run.run(CATCH_UP)
                self.assertEqual(run.voters(), {A, B, D})

    def led_by_predecessor(self, seed: int) -> tuple[Network, NodeId]:
        """Voters whose leader is in the failure domain of the added one."""
        led_by = leader(running(seed))
        run = running(seed, {**DOMAINS, D: DOMAINS[led_by]})
        self.assertEqual(leader(run), led_by)
        add(run, D)
        return run, led_by

    def test_a_leader_goes_on_without_a_vote(self) -> None:
        # Guards against a change of the leader without a disturbance (review/6).
        for seed in range(8):
            with self.subTest(seed=seed):
                run, led_by = self.led_by_predecessor(seed)
                for _ in range(round(2 * CATCH_UP / 0.05)):
                    run.run(0.05)
                    self.assertTrue(run.is_current(led_by))
                self.assertEqual(run.voters(), {*NODES, D} - {led_by})
                run.propose(led_by)
                run.run(AT_ONCE)
                state = run.members[D].state
                self.assertEqual(state.committed, state.log.last_revision)
                self.assertIsNotNone(state.place_of(led_by))

    def test_voters_forget_the_place_of_a_removed_follower(self) -> None:
        # Guards against requests to control VMs that were taken away long ago.
        run = running()
        removed = followers(run)[0]
        run = running(domains={**DOMAINS, D: DOMAINS[removed]})
        add(run, D)
        run.run(CATCH_UP)
        self.assertNotIn(removed, run.voters())
        for name in run.voters() - {D}:
            self.assertNotIn(removed, run.members[name].state.discovered_places)

    def test_a_leader_without_a_vote_takes_the_place_of_a_lost_voter(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                run, led_by = self.led_by_predecessor(seed)
                run.run(CATCH_UP)
                lost = next(n for n in NODES if n != led_by)
                del run.members[lost]
                run.run(CATCH_UP)
                self.assertEqual(run.voters(), {*NODES, D} - {lost})
                self.assertTrue(run.is_current(led_by))

    def test_the_end_of_a_leader_without_a_vote(self) -> None:
        for seed in range(8):
            with self.subTest(seed=seed):
                run, led_by = self.led_by_predecessor(seed)
                run.run(CATCH_UP)
                del run.members[led_by]
                lost = next(n for n in NODES if n != led_by)
                run.run(1.0)
                run.replace_disk(lost, empty_disk(f"{lost}-new"))
                run.run(ELECTION)
                self.assertTrue(any(map(run.is_current, run.members)))

    def test_two_in_series_end_with_the_last_one(self) -> None:
        run = running(domains={**DOMAINS, E: DOMAINS[D]})
        add(run, D)
        run.run(CATCH_UP)
        add(run, E)
        run.run(CATCH_UP)
        self.assertEqual(run.voters(), {A, B, E})
        for _ in range(5):
            run.run(1.0)
            self.assertEqual(run.voters(), {A, B, E})

    def test_a_voter_that_lost_its_disk_before_takes_no_place(self) -> None:
        # Guards against the removal of a voter in another failure domain: with five
        # voters, two share the one of the voter that was admitted again.
        domains = {A: "recife", B: "fortaleza", C: "fortaleza", D: "recife"}
        run = running(domains={**domains, E: "salvador"})
        lost = next(name for name in (B, C) if name != leader(run))
        add(run, lost)
        run.run(CATCH_UP)
        add(run, D)
        run.run(CATCH_UP)
        self.assertEqual(run.voters(), {B, C, D})

    def test_a_standby_from_the_first_start_waits(self) -> None:
        run = running()
        run.restart([D])
        run.run(CATCH_UP)
        self.assertEqual(run.voters(), {A, B, C})

    def test_without_a_voter_in_its_domain_it_waits(self) -> None:
        run = running(domains={**DOMAINS, D: "natal"})
        add(run, D)
        run.run(CATCH_UP)
        self.assertEqual(run.voters(), {A, B, C})

    def test_while_a_voter_is_silent_it_replaces_that_one(self) -> None:
        run = running()
        silent = next(name for name in followers(run) if name != C)
        del run.members[silent]
        add(run, D)
        run.run(CATCH_UP)
        self.assertEqual(run.voters(), {*NODES, D} - {silent})

    def test_a_leader_that_ends_between_the_two_changes(self) -> None:
        # Guards against an added voter that the next leader removes for good.
        for seed in range(20):
            with self.subTest(seed=seed):
                run = running(seed)
                add(run, D)
                for _ in range(200):
                    run.step()
                    if len(run.voters()) == 4:
                        break
                stopped = leader(run)
                run.restart([stopped])
                run.run(2 * CATCH_UP)
                self.assertEqual(run.voters(), {A, B, D})


if __name__ == "__main__":
    unittest.main()
