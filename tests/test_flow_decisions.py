"""Single decisions about flows: ambiguity, stale views, limits and ended flows."""

import unittest

from tests.flow_simulation import (
    COURSES,
    DOMAINS,
    SEATS,
    Balancer,
    Flow,
    Simulation,
    add_backend,
    add_candidate,
    drain_backend,
    make_simulation,
    remove_backend,
    remove_node,
    restart_backend,
    set_domain,
)
from wasabigw.core.buckets import bucket_of
from wasabigw.core.flows import decisions as d
from wasabigw.core.flows import events as e
from wasabigw.core.flows.decisions import DropReason, RefusalReason
from wasabigw.core.flows.homes import backup, home
from wasabigw.core.flows.routes import set_reachability
from wasabigw.core.flows.routing import handle
from wasabigw.core.ids import BackendServerId, BootId, FlowKey, NodeId, Seconds
from wasabigw.core.states import CandidateReason, FailureDomainState, Protocol
from wasabigw.core.timing import VIEW_LEASE


def open_flow(sim: Simulation, at: str | None = None) -> Flow:
    """Open a flow, at the given backend server if one is given."""
    for _ in range(1000):
        flow = sim.make_flow(SEATS)
        current = sim.any_balancer().cluster.buckets[SEATS].current
        if at is not None and current[bucket_of(flow.key)] != at:
            continue
        if sim.open(flow):
            return flow
    raise AssertionError(f"no flow opened: {sim.drops}, {sim.refusals}")


def home_of(sim: Simulation, name: str) -> Balancer:
    """Home balancer of a backend server."""
    state = sim.any_balancer().state
    owner = home(state.homes, BackendServerId(name))
    assert owner is not None
    return sim.balancers[owner]


def not_home_of(sim: Simulation, name: str) -> Balancer:
    """Balancer that is neither home nor backup of a backend server."""
    backend = BackendServerId(name)
    for node, balancer in sim.balancers.items():
        homes = balancer.state.homes
        if node not in (home(homes, backend), backup(homes, backend)):
            return balancer
    raise AssertionError("no such balancer")


class StaleViews(unittest.TestCase):
    """Guards against packets that a stale view sends to the wrong backend server."""

    def test_a_balancer_with_a_stale_view_forwards_to_the_home(self) -> None:
        sim = make_simulation(1)
        flow = open_flow(sim, "b1")
        cut = not_home_of(sim, "b1")
        cut.cut_off = True
        for _ in range(3):
            sim.step(1.0)
        event = e.FlowData(flow.key, SEATS, sim.time())
        [decision] = handle(event, cut.state)
        assert isinstance(decision, d.ForwardToNode)
        self.assertEqual(decision.node, home_of(sim, "b1").state.node)
        answer = e.AnswerData(flow.key, BackendServerId("b1"), sim.time())
        self.assertIsInstance(handle(answer, cut.state)[0], d.ForwardToNode)

    def test_a_stale_home_sends_only_under_an_announcement_lease(self) -> None:
        sim = make_simulation(2)
        flow = open_flow(sim, "b1")
        owner = home_of(sim, "b1")
        owner.cut_off = True
        for _ in range(3):
            sim.step(1.0)
        event = e.FlowData(flow.key, SEATS, sim.time())
        self.assertIsInstance(handle(event, owner.state)[0], d.SendToBackend)
        opening = e.FlowOpened(unused_key(sim, "b1"), SEATS, sim.time())
        self.assertIsInstance(handle(opening, owner.state)[0], d.SendToBackend)
        sim.now += VIEW_LEASE
        opening = e.FlowOpened(unused_key(sim, "b1"), SEATS, sim.time())
        dropped_opening = handle(opening, owner.state)
        self.assertEqual(dropped_opening, [d.Drop(DropReason.STALE_VIEW)])
        sim.now += 3.0
        late = e.FlowData(flow.key, SEATS, sim.time())
        dropped = handle(late, owner.state)
        self.assertEqual(dropped, [d.Drop(DropReason.STALE_VIEW)])

    def test_a_partitioned_failure_domain_serves_its_own_flows(self) -> None:
        sim = make_simulation(3)
        flow = open_flow(sim, "b3")
        domain = home_of(sim, "b3").state.failure_domain
        for balancer in list(sim.balancers.values()):
            if balancer.state.failure_domain == domain:
                balancer.cut_off = True
            else:
                del sim.balancers[balancer.state.node]
        for _ in range(10):
            sim.step(1.0)
        self.assertIsInstance(sim.send(flow), d.SendToBackend)
        self.assertEqual(open_flow(sim, "b3").at, "b3")

    def test_openings_are_dropped_before_the_first_view(self) -> None:
        sim = make_simulation(4)
        sim.max_lag = 0.0
        balancer = sim.any_balancer()
        balancer.state.view.confirmed = False
        event = e.FlowOpened(sim.make_flow(SEATS).key, SEATS, sim.time())
        dropped = handle(event, balancer.state)
        self.assertEqual(dropped, [d.Drop(DropReason.NO_VIEW)])


def unused_key(sim: Simulation, at: str) -> FlowKey:
    """Key of a flow that is not open, in a bucket of the given backend server."""
    while True:
        flow = sim.make_flow(SEATS)
        current = sim.any_balancer().cluster.buckets[SEATS].current
        if current[bucket_of(flow.key)] == at:
            return flow.key


class AmbiguousFlows(unittest.TestCase):
    """Guards against sending the packets of one flow to two backend servers."""

    def test_a_flow_that_two_incomplete_homes_may_hold_is_dropped(self) -> None:
        sim = make_simulation(5)
        flow = open_flow(sim, "b1")
        sim.commit(drain_backend("b1"))
        for _ in range(4):
            sim.step(1.0)
        for balancer in sim.balancers.values():
            balancer.state.records.records.clear()
            balancer.state.cache.entries.clear()
            for name in balancer.state.homes.incomplete_until:
                until = Seconds(sim.now + 100)
                balancer.state.homes.incomplete_until[name] = until
        sim.send(flow)
        self.assertEqual(sim.drops, {DropReason.AMBIGUOUS: 1})
        self.assertEqual(sim.faults, [])

    def test_one_incomplete_home_gets_the_flow_and_records_it(self) -> None:
        sim = make_simulation(6)
        flow = open_flow(sim, "b1")
        sim.commit(drain_backend("b1"))
        for _ in range(4):
            sim.step(1.0)
        for balancer in sim.balancers.values():
            balancer.state.records.records.clear()
            balancer.state.cache.entries.clear()
            until = Seconds(sim.now + 100)
            if BackendServerId("b1") in balancer.state.homes.incomplete_until:
                balancer.state.homes.incomplete_until[BackendServerId("b1")] = until
        for _ in range(5):
            self.assertIsInstance(sim.send(flow), d.SendToBackend)
        self.assertEqual(sim.faults, [])
        self.assertIn(flow.key, home_of(sim, "b1").state.records.records)

    def test_new_flows_follow_a_move_only_after_the_settle_time(self) -> None:
        sim = make_simulation(7)
        sim.max_lag = 0.0
        key = unused_key(sim, "b1")
        sim.commit(drain_backend("b1"))
        sim.step(0.5)
        before = sim.carry(e.FlowOpened(key, SEATS, sim.time()))
        assert isinstance(before, d.SendToBackend)
        self.assertEqual(before.target.id, "b1")
        for _ in range(3):
            sim.step(1.0)
        flow = sim.make_flow(SEATS)
        while bucket_of(flow.key) != bucket_of(key) or flow.key == key:
            flow = sim.make_flow(SEATS)
        self.assertTrue(sim.open(flow))
        self.assertNotEqual(flow.at, "b1")

    def test_openings_wait_after_a_snapshot_with_several_former_owners(self) -> None:
        sim = make_simulation(8)
        sim.max_lag = 0.0
        key = unused_key(sim, "b1")
        sim.commit(drain_backend("b1"))
        sim.step(0.1)
        after = sim.any_balancer().cluster.buckets[SEATS].current[bucket_of(key)]
        assert after is not None
        sim.commit(drain_backend(after))
        sim.step(0.1)
        source = sim.any_balancer()
        last = source.cluster.buckets[SEATS].current[bucket_of(key)]
        assert last is not None
        owner = home_of(sim, last)
        other = next(b for b in sim.balancers.values() if b is not owner)
        sim.load_snapshot(owner, other)
        event = e.FlowOpened(key, SEATS, sim.time())
        dropped = handle(event, owner.state)
        self.assertEqual(dropped, [d.Drop(DropReason.SETTLING)])

    def test_second_reset_for_an_unrecorded_flow_is_returned(self) -> None:
        sim = make_simulation(9)
        key = unused_key(sim, "b1")
        reset = e.AnswerClosing(key, BackendServerId("b1"), sim.time(), reset=True)
        self.assertEqual(sim.carry(reset), d.Drop(DropReason.RESET_IN_DOUBT))
        sim.step(2.5)
        reset = e.AnswerClosing(key, BackendServerId("b1"), sim.time(), reset=True)
        self.assertIsInstance(sim.carry(reset), d.ReturnToCaller)


class EndedFlows(unittest.TestCase):
    """Guards against ended flows that hang or continue at another backend server."""

    def test_the_caller_gets_a_reset_when_its_backend_server_is_gone(self) -> None:
        sim = make_simulation(10)
        flow = open_flow(sim, "b1")
        sim.commit(remove_backend("b1"))
        for _ in range(3):
            sim.step(1.0)
        self.assertEqual(sim.send(flow), d.Refuse(RefusalReason.FLOW_GONE))

    def test_no_former_owner_gets_packets_of_a_backend_server_that_is_gone(
        self,
    ) -> None:
        """The bucket had moved to the removed backend server within the idle timeout.

        The owner one idle timeout ago is the former one, which must not get packets.
        """
        sim = make_simulation(16)
        sim.commit(add_backend("late", 9, SEATS))
        for _ in range(6):
            sim.step(1.0)
        flows = [open_flow(sim, "late") for _ in range(5)]
        sim.commit(remove_backend("late"))
        for _ in range(3):
            sim.step(1.0)
        for flow in flows:
            self.assertEqual(sim.send(flow), d.Refuse(RefusalReason.FLOW_GONE))

    def test_no_former_owner_gets_packets_of_an_earlier_boot(self) -> None:
        """A restart within the announcement lease leaves no departed candidate.

        Without one, the former owner of the bucket could be taken for the owner.
        """
        sim = make_simulation(17)
        sim.commit(add_backend("late", 9, SEATS))
        for _ in range(6):
            sim.step(1.0)
        flows = [open_flow(sim, "late") for _ in range(20)]
        sim.commit(restart_backend("late"))
        for _ in range(3):
            sim.step(1.0)
        for flow in flows:
            server = sim.send(flow)
            if isinstance(server, d.SendToBackend):
                self.assertEqual(server.target.id, "late")
            else:
                self.assertEqual(server, d.Refuse(RefusalReason.FLOW_GONE))

    def test_a_failure_domain_out_of_service_gets_no_packets(self) -> None:
        sim = make_simulation(11)
        domain = home_of(sim, "b1").state.failure_domain
        flows = [open_flow(sim, "b1") for _ in range(5)]
        sim.commit(set_domain(domain, FailureDomainState.OUT_OF_SERVICE))
        for _ in range(4):
            sim.step(1.0)
        for flow in flows:
            self.assertEqual(sim.send(flow), d.Refuse(RefusalReason.FLOW_GONE))
        for balancer in sim.balancers.values():
            for record in balancer.state.records.records.values():
                self.assertNotEqual(record.target.failure_domain, domain)
        answer = e.AnswerData(flows[0].key, BackendServerId("b1"), sim.time())
        self.assertEqual(sim.carry(answer), d.Drop(DropReason.OUT_OF_SERVICE))
        for _ in range(20):
            at = open_flow(sim).at
            assert at is not None
            server = sim.any_balancer().cluster.backend_servers[at]
            self.assertNotEqual(server.failure_domain, domain)

    def test_a_local_removal_works_without_the_log(self) -> None:
        sim = make_simulation(12)
        flow = open_flow(sim, "b1")
        balancer = home_of(sim, "b1")
        domain = balancer.state.failure_domain
        handle(e.TakenOutLocally(domain, sim.time()), balancer.state)
        event = e.FlowData(flow.key, SEATS, sim.time())
        self.assertNotIsInstance(handle(event, balancer.state)[0], d.SendToBackend)

    def test_a_new_boot_clears_records_and_frees_their_slots(self) -> None:
        sim = make_simulation(13)
        open_flow(sim, "b1")
        owner = home_of(sim, "b1")
        backend = BackendServerId("b1")
        self.assertEqual(owner.admission.open[backend], 1)
        event = e.BackendServerRenewed(backend, BootId("later"), sim.time())
        handle(event, owner.state)
        self.assertEqual(owner.admission.open[backend], 0)
        self.assertNotIn(backend, owner.state.records.by_backend)
        opening = e.FlowOpened(unused_key(sim, "b1"), SEATS, sim.time())
        dropped = handle(opening, owner.state)
        self.assertEqual(dropped, [d.Drop(DropReason.NOT_ANNOUNCED)])

    def test_closing_from_both_sides_frees_the_slot(self) -> None:
        sim = make_simulation(14)
        flow = open_flow(sim, "b1")
        backend = BackendServerId("b1")
        owner = home_of(sim, "b1")
        sim.carry(e.FlowClosing(flow.key, SEATS, sim.time()))
        self.assertEqual(owner.admission.open[backend], 1)
        sim.carry(e.AnswerClosing(flow.key, backend, sim.time()))
        self.assertEqual(owner.admission.open[backend], 0)
        sim.now += 40
        handle(e.TimerTick(sim.time()), owner.state)
        sim.now += 2
        handle(e.TimerTick(sim.time()), owner.state)
        self.assertNotIn(flow.key, owner.state.records.records)


class Limits(unittest.TestCase):
    """Guards against overload, and against refusals while slots are free."""

    def assert_refused_after_waiting(self, sim: Simulation) -> None:
        """Check that the second retransmission of an opening packet is refused."""
        key = unused_key(sim, "b1")
        decided = []
        for seconds in (1, 2, 4):
            decided.append(sim.carry(e.FlowOpened(key, SEATS, sim.time())))
            for _ in range(seconds):
                sim.step(1.0)
        waits = d.Drop(DropReason.WAITING)
        self.assertEqual(decided, [waits, waits, d.Refuse(RefusalReason.AT_LIMIT)])

    def test_a_waiting_flow_is_admitted_when_there_is_room(self) -> None:
        sim = make_simulation(15)
        sim.max_lag = 0.0
        for balancer in sim.balancers.values():
            balancer.admission.limit = 1
        first = open_flow(sim, "b1")
        key = unused_key(sim, "b1")
        event = e.FlowOpened(key, SEATS, sim.time())
        self.assertEqual(sim.carry(event), d.Drop(DropReason.WAITING))
        backend = BackendServerId("b1")
        sim.carry(e.FlowClosing(first.key, SEATS, sim.time()))
        sim.carry(e.AnswerClosing(first.key, backend, sim.time()))
        sim.step(1.0)
        repeated = sim.carry(e.FlowOpened(key, SEATS, sim.time()))
        self.assertIsInstance(repeated, d.SendToBackend)

    def test_a_full_backend_server_refuses_and_then_overflows(self) -> None:
        sim = make_simulation(15)
        sim.max_lag = 0.0
        for balancer in sim.balancers.values():
            balancer.admission.limit = 3
        for _ in range(3):
            open_flow(sim, "b1")
        self.assert_refused_after_waiting(sim)
        sim.commit(add_candidate(SEATS, "b2", CandidateReason.OVERFLOW))
        sim.step(1.0)
        event = e.FlowOpened(unused_key(sim, "b1"), SEATS, sim.time())
        self.assertEqual(sim.carry(event), d.Drop(DropReason.WAITING))
        for _ in range(2):
            sim.step(1.0)
        flow = open_flow(sim, "b1")
        self.assertEqual(flow.at, "b2")
        for _ in range(10):
            self.assertIsInstance(sim.send(flow), d.SendToBackend)
        self.assertEqual(sim.faults, [])

    def test_a_draining_backend_server_takes_no_overflow(self) -> None:
        sim = make_simulation(15)
        sim.max_lag = 0.0
        for balancer in sim.balancers.values():
            balancer.admission.limit = 3
        for _ in range(3):
            open_flow(sim, "b1")
        sim.commit(add_candidate(SEATS, "b2", CandidateReason.OVERFLOW))
        sim.commit(drain_backend("b2"))
        for _ in range(4):
            sim.step(1.0)
        self.assert_refused_after_waiting(sim)

    def test_tables_refuse_at_their_limits(self) -> None:
        sim = make_simulation(16)
        for balancer in sim.balancers.values():
            balancer.state.records.limit = 1
        open_flow(sim, "b1")
        event = e.FlowOpened(unused_key(sim, "b1"), SEATS, sim.time())
        self.assertEqual(sim.carry(event), d.Refuse(RefusalReason.TABLE_FULL))

    def test_unknown_destinations_are_refused_at_a_limited_rate(self) -> None:
        sim = make_simulation(17)
        state = sim.any_balancer().state
        decisions = [
            handle(e.UnknownDestination(sim.time()), state)[0] for _ in range(101)
        ]
        self.assertEqual(decisions[0], d.Refuse(RefusalReason.UNKNOWN_DESTINATION))
        self.assertEqual(decisions[-1], d.Drop(DropReason.REPLY_RATE_LIMITED))


class UdpFlows(unittest.TestCase):
    """Guards against datagrams of one flow that reach several backend servers."""

    def test_datagrams_stay_together_while_buckets_move(self) -> None:
        sim = make_simulation(18, protocol=Protocol.UDP)
        flows = [sim.make_flow(SEATS) for _ in range(60)]
        servers: dict[FlowKey, set[str]] = {flow.key: set() for flow in flows}
        for second in range(60):
            if second == 10:
                sim.commit(add_backend("b30", 30, SEATS))
            if second == 30:
                sim.commit(drain_backend("b2"))
            sim.step(1.0)
            for flow in flows:
                decided = sim.carry(e.FlowData(flow.key, SEATS, sim.time()))
                if isinstance(decided, d.SendToBackend):
                    servers[flow.key].add(decided.target.id)
        self.assertEqual({len(found) for found in servers.values()}, {1})


class RandomFaults(unittest.TestCase):
    """Guards against packets sent to another service or flow after random faults."""

    def test_packets_stay_with_their_service_and_flow(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                self.run_faults(seed)

    def run_faults(self, seed: int) -> None:
        sim = make_simulation(100 + seed)
        flows = [sim.make_flow(SEATS if n % 2 else COURSES) for n in range(120)]
        flows = [flow for flow in flows if sim.open(flow)]
        index = 40
        for second in range(150):
            action = sim.draws.randrange(14) if second % 4 == 0 else -1
            index += 1
            if action == 0:
                service = sim.draws.choice((SEATS, COURSES))
                sim.commit(add_backend(f"b{index}", index, service))
            elif action == 1:
                sim.commit(drain_backend(sim.draws.choice(("b1", "b2", "b8"))))
            elif action == 2:
                sim.start_balancer(f"n{index}", DOMAINS[index % 3])
            elif action == 3 and len(sim.balancers) > 4:
                gone = sim.draws.choice(list(sim.balancers))
                del sim.balancers[NodeId(gone)]
                sim.commit(remove_node(gone))
            elif action == 4:
                sim.any_balancer().cut_off = True
            elif action == 5:
                for balancer in sim.balancers.values():
                    balancer.cut_off = False
            sim.step(1.0)
            for flow in flows:
                sim.send(flow)
        self.assertEqual(sim.faults[:3], [])


class LostCopies(unittest.TestCase):
    """Guards against a backup that counts as complete but lacks a record."""

    def test_opening_answer_brings_the_record_that_the_opening_did_not(self) -> None:
        sim = make_simulation(21)
        name = BackendServerId("b1")
        owner = home_of(sim, "b1").state
        key = unused_key(sim, "b1")
        opening = e.FlowOpened(key, SEATS, sim.time())
        [copied] = handle(opening, owner)
        assert isinstance(copied, d.ForwardToNode)
        # The packet to the backup is lost, and the caller retransmits.
        self.assertIsInstance(handle(opening, owner)[0], d.SendToBackend)
        answer = e.AnswerOpened(key, name, sim.time())
        [forward] = handle(answer, owner)
        assert isinstance(forward, d.ForwardToNode)
        second = sim.balancers[forward.node].state
        forwarded = e.Forwarded(owner.node, forward.forwarding, answer)
        self.assertIsInstance(handle(forwarded, second)[0], d.ReturnToCaller)
        self.assertEqual(second.records.records[key].target.id, name)
        # The backup has a copy now, so that the next answer is sent to the caller.
        self.assertIsInstance(handle(answer, owner)[0], d.ReturnToCaller)


class UnadmittedFlows(unittest.TestCase):
    """Guards against more open flows than the limit of a backend server."""

    def test_a_flow_that_was_not_admitted_is_counted_when_it_is_recorded(self) -> None:
        sim = make_simulation(17)
        open_flow(sim, "b1")
        owner = home_of(sim, "b1")
        backend = BackendServerId("b1")
        sim.commit(add_candidate(SEATS, "b2", CandidateReason.OVERFLOW))
        sim.step(1.0)
        unknown = unused_key(sim, "b1")
        sim.carry(e.FlowData(unknown, SEATS, sim.time()))
        self.assertIn(unknown, owner.state.records.records)
        reset = e.AnswerClosing(unknown, backend, sim.time(), reset=True)
        sim.carry(reset)
        self.assertEqual(owner.admission.open[backend], 1)


class EndOfPartition(unittest.TestCase):
    """Guards against a second backend server for a flow that was diverted.

    After a partition, packets of a flow that the other side had diverted may arrive
    before the other side answers a ping.
    """

    def test_unknown_packets_are_dropped_while_a_failure_domain_is_unreachable(
        self,
    ) -> None:
        sim = make_simulation(22)
        flow = open_flow(sim, "b1")
        owner, other = home_of(sim, "b1"), not_home_of(sim, "b1")
        domain = sim.any_balancer().cluster.backend_servers[BackendServerId("b1")]
        silent = frozenset(d for d in DOMAINS if d != domain.failure_domain)
        unrecorded = e.FlowData(unused_key(sim, "b1"), SEATS, sim.time())
        known = e.FlowData(flow.key, SEATS, sim.time())
        for balancer in (owner, other):
            set_reachability(balancer.state.routes, silent, frozenset())
        [forward] = handle(unrecorded, other.state)
        assert isinstance(forward, d.ForwardToNode)
        self.assertEqual(forward.node, owner.state.node)
        forwarded = e.Forwarded(other.state.node, forward.forwarding, unrecorded)
        dropped = handle(forwarded, owner.state)
        self.assertEqual(dropped, [d.Drop(DropReason.HEALING)])
        self.assertIsInstance(handle(known, owner.state)[0], d.SendToBackend)

    def test_the_only_home_without_records_gets_no_unknown_packets_either(self) -> None:
        """The other side may have diverted the flow to a server not listed here."""
        sim = make_simulation(6)
        unrecorded = e.FlowData(unused_key(sim, "b1"), SEATS, sim.time())
        name = BackendServerId("b1")
        until = Seconds(sim.now + 100)
        for balancer in sim.balancers.values():
            if name in balancer.state.homes.incomplete_until:
                balancer.state.homes.incomplete_until[name] = until
        domain = sim.any_balancer().cluster.backend_servers[name].failure_domain
        silent = frozenset(d for d in DOMAINS if d != domain)
        for balancer in sim.balancers.values():
            set_reachability(balancer.state.routes, silent, frozenset())
        balancer = not_home_of(sim, "b1")
        [decided] = handle(unrecorded, balancer.state)
        while isinstance(decided, d.ForwardToNode):
            sender, balancer = balancer, sim.balancers[decided.node]
            event = e.Forwarded(sender.state.node, decided.forwarding, unrecorded)
            decided = handle(event, balancer.state)[0]
        self.assertEqual(decided, d.Drop(DropReason.HEALING))
