"""Elections of control VMs after losses of power and of disks within the tolerance."""

import unittest
from collections.abc import Iterable, Iterator

from tests.voter_network import NODES, Network, empty_disk
from wasabigw.core.ids import NodeId
from wasabigw.core.states import VoterRole

A, B, C = NODES
D, E, F = (NodeId(name) for name in "def")
FIVE = {A: "recife", B: "fortaleza", C: "salvador", D: "recife", E: "fortaleza"}
SIX = {**FIVE, F: "salvador"}
TOLERATED_LOSSES = 2
VOTERS = 2 * TOLERATED_LOSSES + 1
ELECTION_TIME = 8.0
"""Four election timeouts, within which a connected majority elects a leader."""
CATCH_UP = 4.0
"""Seconds after its return in which a VM with a replaced disk counts as lost."""
RECOVERY = 12.0
"""Seconds after the return of all VMs within which a leader must be elected."""
SEEDS = range(40)
MAX_STEPS = 400
"""Steps of the simulated clock, 20 s, within which an awaited state is reached."""


def five_voters(seed: int = 0, domains: dict[NodeId, str] = SIX) -> Network:
    """Five voters, of which the settings name A, B and C, before any snapshot.

    The sixth control VM, if any, is a standby.
    """
    run = Network(seed, target_voters=VOTERS, domains=domains)
    run.run(6.0)
    assert len(run.voters()) == VOTERS
    return run


def standby_of(run: Network) -> NodeId:
    """The control VM that is no voter."""
    return next(node for node in SIX if node not in run.voters())


def steps(run: Network) -> Iterator[None]:
    """Let time pass step by step, until the loop that awaits a state is left."""
    for _ in range(MAX_STEPS):
        yield
        run.step()
    raise AssertionError("the awaited state was not reached")


def stop(run: Network, nodes: Iterable[NodeId]) -> None:
    """Stop control VMs, with their disks kept."""
    for node in nodes:
        run.members.pop(node, None)


def lose_power(run: Network, lost_disks: Iterable[NodeId]) -> None:
    """Stop all control VMs at the same moment, and start them again."""
    run.members.clear()
    run.messages.clear()
    run.isolated.clear()
    for node in lost_disks:
        run.disks[node] = empty_disk(f"{node}-final")
    run.restart(run.disks)


class PowerLoss(unittest.TestCase):
    """Guards against a control plane without a leader although a majority is up."""

    def assert_leader(self, run: Network) -> None:
        run.run(ELECTION_TIME)
        leaders = [node for node in run.members if run.is_current(node)]
        self.assertTrue(leaders, run.failed_elections[-3:])

    def test_voters_admitted_since_the_snapshot_reach_each_other(self) -> None:
        # D and E are not seeds, so only the log has their addresses.
        for seed in range(10):
            with self.subTest(seed=seed):
                run = five_voters(seed, FIVE)
                accepted = max(run.committed)
                lose_power(run, lost_disks=(A, B))
                self.assert_leader(run)
                self.assertGreater(run.members[run.settle()].state.committed, accepted)

    def test_every_pair_of_lost_disks_leaves_a_leader(self) -> None:
        nodes = tuple(FIVE)
        pairs = [(x, y) for x in nodes for y in nodes if x < y]
        for pair in pairs:
            with self.subTest(pair=pair):
                run = five_voters(domains=FIVE)
                lose_power(run, pair)
                self.assert_leader(run)


class AfterPowerLoss(unittest.TestCase):
    """Guards against a control plane without a leader within the tolerated losses."""

    def assert_leader_with(self, run: Network, accepted: int) -> None:
        run.run(RECOVERY)
        leaders = [node for node in run.members if run.is_current(node)]
        self.assertTrue(leaders, run.failed_elections[-2:])
        self.assertGreaterEqual(run.members[leaders[0]].state.committed, accepted)

    def test_replaced_disks_count_after_the_catch_up_time(self) -> None:
        # The leader and a follower return with empty disks. Both must count again
        # before the next two disks are lost, even if the election, the admission of
        # the standby and the first admission come before the second admission.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = five_voters(seed)
                leader = run.settle()
                replaced = [leader, min(run.voters() - {leader})]
                stop(run, replaced)
                run.run(0.3)
                for node in replaced:
                    run.replace_disk(node, empty_disk(f"{node}-new"))
                run.run(CATCH_UP)
                accepted = max(run.committed)
                others = sorted(run.voters() - set(replaced))
                lose_power(run, others[:TOLERATED_LOSSES])
                self.assert_leader_with(run, accepted)

    def test_an_added_voter_counts_although_a_removal_follows_its_admission(
        self,
    ) -> None:
        # The standby replaces a stopped voter, and does not learn that its admission
        # is committed before the removal of that voter follows in the log.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = five_voters(seed)
                leader, standby = run.settle(), standby_of(run)
                stopped, lost, *_ = sorted(run.voters() - {leader})
                stop(run, [stopped])
                state = run.members[leader].state
                for _ in steps(run):
                    if standby in state.latest_voters().members:
                        break
                run.isolated = {standby}
                for _ in steps(run):
                    if stopped not in state.members:
                        break
                run.propose(leader)
                run.run(0.3)
                accepted = max(run.committed)
                lose_power(run, [leader, lost])
                self.assert_leader_with(run, accepted)

    def test_the_last_added_voter_may_be_needed_as_leader(self) -> None:
        # The fifth voter is one of three that hold its committed admission, and does
        # not know yet that it is committed when the other two lose their disks.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = Network(seed, target_voters=5, domains=SIX)
                leader = run.settle()
                state = run.members[leader].state
                for _ in steps(run):
                    if len(state.latest_voters().members) == VOTERS:
                        break
                accepted = state.log.last_revision
                for _ in steps(run):
                    if state.committed >= accepted:
                        break
                holders = [
                    node
                    for node in sorted(NODES)
                    if node != leader
                    and run.members[node].state.log.last_revision >= accepted
                ]
                lose_power(run, [leader, *holders[:1]])
                self.assert_leader_with(run, accepted)


class Admission(unittest.TestCase):
    """Guards against an admission that takes the leader's majority."""

    def test_the_leader_stays_when_the_newest_answer_of_a_standby_is_old(self) -> None:
        # Two voters are lost. The majority of six needs the standby, whose newest
        # answer must be within the time after which the leader steps down.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run = five_voters(seed)
                leader, standby = run.settle(), standby_of(run)
                stop(run, sorted(run.voters() - {leader})[:TOLERATED_LOSSES])
                state = run.members[leader].state
                run.run(0.4)
                run.isolated = {standby}
                for _ in range(40):
                    run.step()
                    if standby in state.latest_voters().members:
                        break
                # If it is admitted, it answers again from that moment on.
                run.isolated.clear()
                for _ in range(40):
                    run.step()
                    self.assertIs(state.role, VoterRole.LEADER, run.now)
                self.assertIn(standby, state.latest_voters().members)


if __name__ == "__main__":
    unittest.main()
