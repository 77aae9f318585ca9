"""Elections after all control VMs have lost power and some of them their disks."""

import unittest

from tests.voter_network import NODES, Network, empty_disk
from wasabigw.core.ids import NodeId

A, B, C = NODES
D, E = NodeId("d"), NodeId("e")
DOMAINS = {A: "recife", B: "fortaleza", C: "salvador", D: "recife", E: "fortaleza"}
TOLERATED_LOSSES = 2
ELECTION_TIME = 8.0
"""Four election timeouts, within which a connected majority elects a leader."""


def five_voters(seed: int = 0) -> Network:
    """Five voters, of which the settings name A, B and C, before any snapshot."""
    run = Network(seed, target_voters=2 * TOLERATED_LOSSES + 1, domains=DOMAINS)
    run.run(6.0)
    assert run.voters() == set(DOMAINS)
    return run


def lose_power(run: Network, lost_disks: tuple[NodeId, ...]) -> None:
    """Stop all control VMs at the same moment, and start them again."""
    run.members.clear()
    run.messages.clear()
    for node in lost_disks:
        run.disks[node] = empty_disk(f"{node}-new")
    run.restart(DOMAINS)


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
                run = five_voters(seed)
                accepted = max(run.committed)
                lose_power(run, lost_disks=(A, B))
                self.assert_leader(run)
                self.assertGreater(run.members[run.settle()].state.committed, accepted)

    def test_every_pair_of_lost_disks_leaves_a_leader(self) -> None:
        nodes = tuple(DOMAINS)
        pairs = [(x, y) for x in nodes for y in nodes if x < y]
        for pair in pairs:
            with self.subTest(pair=pair):
                run = five_voters()
                lose_power(run, pair)
                self.assert_leader(run)


if __name__ == "__main__":
    unittest.main()
