"""Reconfiguration: standbys are admitted, and lost or surplus voters removed."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.voter_network import NODES, Network, empty_disk
from wasabigw.core.commands import LeaderElected, ReportBatch, VoterRemoved
from wasabigw.core.consensus.events import SeedsChanged
from wasabigw.core.consensus.voter import handle
from wasabigw.core.consensus.voters import implied_commit, voter_reports
from wasabigw.core.ids import Incarnation, NodeId, Revision, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw.core.states import VoterRole

A, B, C = NODES
D, E = NodeId("d"), NodeId("e")
CATCH_UP = 4.0
"""Seconds after a replaced disk in which its control VM still counts as lost."""
DOMAINS = {A: "recife", B: "fortaleza", C: "salvador", D: "salvador", E: "recife"}


def network(
    seed: int = 0, target_voters: int = 3, started: tuple[NodeId, ...] = NODES
) -> Network:
    """Three voters in three failure domains, and two more control VMs."""
    made = Network(seed, target_voters=target_voters, domains=DOMAINS)
    for node in (*NODES, D, E):
        if node not in started:
            del made.members[node]
    return made


def removals(run: Network) -> list[NodeId]:
    """Voters that committed entries remove, in the order of the log."""
    commands = [entry.command for _, entry in sorted(run.committed.items())]
    reports = [report for command in commands for report in voter_reports(command)]
    return [r.voter for r in reports if isinstance(r, VoterRemoved)]


def may_lose_disk(run: Network, node: NodeId) -> bool:
    """Whether a disk may be replaced without losing committed entries.

    All other voters must be admitted and up to date, and the last replacement must be
    at least the catch-up time ago.
    """
    leaders = [name for name in run.members if run.is_current(name)]
    if not leaders or run.now - run.disk_replaced_at < CATCH_UP:
        return False
    state = run.members[leaders[0]].state
    if state.latest_voters().pending is not None:
        return False
    others = [name for name in state.members if name not in (node, state.node)]
    return all(
        name in run.members
        and run.disks[name].vote.admitted
        and run.members[name].state.committed == state.committed
        for name in others
    )


class Replacement(unittest.TestCase):
    """Guards against the loss of the majority when VMs fail one after the other."""

    def test_a_standby_is_not_admitted_while_all_voters_are_up(self) -> None:
        run = network(started=(A, B, C, D))
        run.run(8.0)
        self.assertEqual(run.voters(), {A, B, C})
        self.assertIs(run.members[D].state.role, VoterRole.AWAITING_ADMISSION)

    def test_a_standby_takes_the_place_of_a_lost_voter(self) -> None:
        run = network(started=(A, B, C, D))
        run.run(4.0)
        del run.members[C]
        run.run(4.0)
        self.assertEqual(run.voters(), {A, B, D})
        # The next failure leaves a majority.
        del run.members[A]
        run.propose(run.settle())

    def test_a_new_vm_that_starts_after_the_failure_is_admitted(self) -> None:
        run = network()
        run.run(3.0)
        del run.members[C]
        run.run(1.0)
        run.restart([D])
        run.run(4.0)
        self.assertEqual(run.voters(), {A, B, D})

    def test_the_leader_stays_while_it_admits_a_vm_that_starts_later(self) -> None:
        # The new voter counts at once, so the leader needs its answer to keep the
        # majority while another voter is lost.
        for seed in range(10):
            with self.subTest(seed=seed):
                run = network(seed)
                run.run(3.0)
                leader = run.settle()
                del run.members[next(node for node in NODES if node != leader)]
                run.run(2.0)
                term = run.members[leader].state.term
                run.restart([D])
                run.run(4.0)
                self.assertIn(D, run.voters())
                self.assertEqual(run.members[leader].state.term, term)

    def test_a_new_leader_does_not_remove_a_voter_that_is_up(self) -> None:
        # Four voters, one too many, of which one stops and takes the leadership with
        # it. Removing one that is up would leave only two of three.
        for seed in range(10):
            with self.subTest(seed=seed):
                run = network(seed, target_voters=4, started=(A, B, C, D))
                run.run(6.0)
                self.assertEqual(run.voters(), {A, B, C, D})
                leader = run.settle()
                del run.members[leader]
                for member in run.members.values():
                    member.state.target_voters = 3
                run.run(8.0)
                self.assertEqual(run.voters(), {A, B, C, D} - {leader})
                self.assertEqual(removals(run), [leader])

    def test_a_lost_leader_is_replaced(self) -> None:
        run = network(started=(A, B, C, D))
        leader = run.settle()
        run.run(2.0)
        del run.members[leader]
        run.run(8.0)
        self.assertEqual(run.voters(), {A, B, C, D} - {leader})

    def test_a_removed_voter_becomes_a_standby_and_follows_the_log(self) -> None:
        run = network(started=(A, B, C, D))
        run.run(3.0)
        del run.members[C]
        run.run(5.0)
        run.restart([C])
        run.propose(run.settle())
        run.run(15.0)
        leader = run.members[run.settle()]
        returned = run.members[C].state
        self.assertIs(returned.role, VoterRole.AWAITING_ADMISSION)
        self.assertEqual(returned.committed, leader.state.committed)

    def test_a_removed_voter_replaces_the_next_lost_one(self) -> None:
        run = network(started=(A, B, C, D))
        run.run(3.0)
        del run.members[C]
        run.run(5.0)
        run.restart([C])
        run.run(10.0)
        del run.members[D]
        run.run(5.0)
        self.assertEqual(run.voters(), {A, B, C})

    def test_a_voter_with_a_replaced_disk_is_admitted_again(self) -> None:
        run = network()
        run.run(3.0)
        run.replace_disk(C, empty_disk("c-new"))
        run.run(4.0)
        self.assertEqual(run.voters(), {A, B, C})

    def test_a_new_vm_with_lost_seeds_joins_after_its_settings_change(self) -> None:
        run = network(started=(A, B, C, D))
        run.members[D].state.seeds = (NodeId("gone"),)
        run.run(3.0)
        del run.members[C]
        run.run(4.0)
        self.assertNotIn(D, run.voters())
        handle(SeedsChanged((A, B)), run.members[D].state)
        run.run(4.0)
        self.assertEqual(run.voters(), {A, B, D})


class ImpliedCommit(unittest.TestCase):
    """Guards against entries that are taken as committed before they are."""

    def implied(self, *entries: tuple[int, bool]) -> int:
        """Implied commit of entries after revision 1 of term 1.

        :param entries: term of each entry, and whether it changes the voters.
        """
        change = ReportBatch((VoterRemoved(C, Incarnation("c1")),))
        other = LeaderElected(A)
        log = [
            LogEntry(Revision(revision), Term(term), change if is_change else other)
            for revision, (term, is_change) in enumerate(entries, start=2)
        ]
        return implied_commit(log, Term(1))

    def test_without_a_change_nothing_is_implied(self) -> None:
        self.assertEqual(self.implied((1, False), (2, False)), 0)

    def test_a_change_in_the_term_of_the_last_committed_entry(self) -> None:
        self.assertEqual(self.implied((1, False), (1, True)), 0)

    def test_a_change_implies_the_first_entry_of_its_term(self) -> None:
        self.assertEqual(self.implied((1, False), (2, False), (2, True)), 3)

    def test_a_change_implies_the_previous_change(self) -> None:
        self.assertEqual(self.implied((1, True), (1, False), (1, True)), 2)


class Spread(unittest.TestCase):
    """Guards against losing the majority of voters with one failure domain."""

    def test_voters_are_added_up_to_the_target_number(self) -> None:
        run = network(target_voters=5, started=(A, B, C, D, E))
        run.run(8.0)
        self.assertEqual(run.voters(), {A, B, C, D, E})

    def test_a_voter_is_replaced_if_its_failure_domain_has_too_many(self) -> None:
        run = network(started=(A, B, C, E))
        run.run(3.0)
        del run.members[C]
        run.run(5.0)
        self.assertEqual(run.voters(), {A, B, E})
        # Two of three voters are in Recife now; a standby in Salvador replaces one.
        run.restart([D])
        run.run(8.0)
        voters = run.voters()
        self.assertEqual(len(voters), 3)
        self.assertEqual(len({DOMAINS[name] for name in voters}), 3)


class RandomFaults(unittest.TestCase):
    """Guards against committed changes that are lost during reconfigurations."""

    @settings(max_examples=80)
    @given(st.integers(0, 2**32))
    def test_accepted_entries_never_change(self, seed: int) -> None:
        run = network(seed, started=(A, B, C, D, E))
        draw = run.random
        run.loss = draw.choice((0.0, 0.05, 0.2))
        replaced = 0
        for _ in range(600):
            node = draw.choice(tuple(DOMAINS))
            action = draw.random()
            running = len(run.members)
            if action < 0.02 and node in run.members and running > 3:
                del run.members[node]
            elif action < 0.15 and node not in run.members:
                run.restart([node])
            elif action < 0.03:
                run.isolated = {node}
            elif action < 0.06:
                run.isolated.clear()
            elif action < 0.07 and may_lose_disk(run, node):
                replaced += 1
                run.replace_disk(node, empty_disk(f"{node}-new-{replaced}"))
            elif action < 0.6 and node in run.members:
                run.propose(node)
            run.step()
        run.isolated.clear()
        run.loss = 0.0
        run.restart([node for node in DOMAINS if node not in run.members])
        run.propose(run.settle())
        run.run(25.0)
        ends = {m.state.committed for m in run.members.values()}
        self.assertEqual(len(ends), 1)
        self.assertEqual(len(run.voters()), 3)


if __name__ == "__main__":
    unittest.main()
