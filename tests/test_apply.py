"""Tests of how log entries change the replicated state."""

import copy
import unittest
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any

from returns.result import Failure, Success

from wasabigw.codec import messages
from wasabigw.core import commands, ids
from wasabigw.core.apply import Outcome, apply
from wasabigw.core.cluster import (
    Applied,
    ClusterState,
    Endpoint,
    FailureDomain,
    Node,
    Service,
    endpoint_key,
)
from wasabigw.core.endpoint_checks import report_problem
from wasabigw.core.states import (
    BackendServerState,
    CandidateReason,
    FailureDomainState,
    NodeState,
    Protocol,
    RefusalCode,
)
from wasabigw.core.timing import MAX_STORED_REQUESTS

DOMAINS = [ids.FailureDomainId(name) for name in ("recife", "fortaleza")]
SERVICES = [ids.ServiceId("seats"), ids.ServiceId("documents")]
ADDRESSES = [f"10.0.0.{number}" for number in range(1, 5)]
SEEDS = range(60)
SERVERS = [ids.BackendServerId(f"b{number}") for number in range(4)]


def service(
    name: ids.ServiceId, address: str, *domains: ids.FailureDomainId
) -> Service:
    """TCP service at port 80 of an address."""
    return Service(name, Endpoint(address, 80), Protocol.TCP, tuple(domains or DOMAINS))


def up(
    name: str,
    address: str,
    service_id: ids.ServiceId = SERVICES[0],
    boot: str = "x",
    domain: ids.FailureDomainId = DOMAINS[0],
    step: int = 8,
) -> commands.BackendServerUp:
    """Report that registers a ready backend server."""
    return commands.BackendServerUp(
        ids.BackendServerId(name),
        service_id,
        domain,
        Endpoint(address, 80),
        ids.BootId(boot),
        4,
        2000,
        BackendServerState.READY,
        step,
    )


class Log:
    """Log entries and the state that results from them."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self.entries: list[commands.Command] = []
        domains = tuple(FailureDomain(name, ids.RegionId("ne")) for name in DOMAINS)
        services = (service(SERVICES[0], "10.0.0.200"),)
        self.change(commands.ReplaceConfiguration(services, domains))

    def append(self, command: commands.Command) -> Outcome:
        self.entries.append(command)
        return apply(command, ids.Revision(len(self.entries)), self.state)

    def change(self, change: commands.Change, expected: int | None = None) -> Outcome:
        revision = self.state.configuration_revision if expected is None else expected
        request = ids.RequestId(f"r{len(self.entries)}")
        return self.append(
            commands.ChangeRequest(request, ids.Revision(revision), change)
        )

    def report(self, *reports: commands.Report) -> None:
        self.append(commands.ReportBatch(reports))

    def owners(self, service_id: ids.ServiceId = SERVICES[0]) -> set[Any]:
        return set(self.state.buckets[service_id].current)


def random_step(random: Random) -> Any:
    """Change, report, or endpoint to release from quarantine."""
    server, domain = random.choice(SERVERS), random.choice(DOMAINS)
    service_id, address = random.choice(SERVICES), random.choice(ADDRESSES)
    boot = random.choice("xy")
    buckets = tuple(ids.BucketNumber(b) for b in range(0, 256, 3))
    reason = random.choice([CandidateReason.DIVERTED, CandidateReason.FORMER])
    steps: list[Any] = [
        commands.CreateService(service(service_id, address)),
        commands.CreateService(service(service_id, "10.0.0.201")),
        commands.RemoveService(service_id),
        commands.TakeFailureDomainOut(domain),
        commands.BringFailureDomainBack(domain),
        commands.DrainBackendServer(server),
        commands.BackendServerDown(server, ids.BootId(boot)),
        commands.BackendServerStep(
            server, ids.BootId(boot), random.choice([1, 2, 8, 3])
        ),
        commands.BackendServerOverloaded(server, random.random() < 0.5),
        commands.CandidatesReleased(service_id, server, buckets, ids.Revision(20)),
        commands.CandidatesAdded(service_id, server, buckets, reason),
        Endpoint(address, 80),
    ]
    if random.random() < 0.4:
        return up(server, address, service_id, boot, domain)
    return random.choice(steps)


def random_steps(seed: int) -> list[Any]:
    """Reproducible sequence of steps for a seed."""
    random = Random(seed)
    return [random_step(random) for _ in range(40)]


def run(steps: Sequence[Any]) -> Log:
    """Log with one entry for each step."""
    log = Log()
    for step in steps:
        run_step(log, step)
    return log


def run_step(log: Log, step: Any) -> None:
    """Append a step; an endpoint is released from its quarantine."""
    if isinstance(step, Endpoint):
        quarantined = log.state.quarantine.get(endpoint_key(step))
        since = quarantined.since if quarantined else ids.Revision(0)
        log.report(commands.EndpointReleased(step, since))
    elif isinstance(step, commands.Change):
        log.change(step)
    else:
        log.report(step)


class AnySequence(unittest.TestCase):
    """Guards against endpoints shared by services and replicas that diverge.

    Runs random sequences of changes and reports with fixed seeds.
    """

    def test_endpoints_and_buckets_belong_to_one_service(self) -> None:
        registered = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                state = run(random_steps(seed)).state
                registered += len(state.backend_servers)
                self.assert_endpoints_unique(state)
        self.assertGreater(registered, len(SEEDS), "too few registrations")

    def assert_endpoints_unique(self, state: ClusterState) -> None:
        used = [s.endpoint for s in state.services.values()]
        used += [b.endpoint for b in state.backend_servers.values()]
        self.assertEqual(len(used), len(set(used)))
        self.assertFalse({endpoint_key(e) for e in used} & set(state.quarantine))
        self.assertEqual(set(state.buckets), set(state.services))
        indexes = [b.index for b in state.backend_servers.values()]
        self.assertEqual(len(indexes), len(set(indexes)))
        for service_id, table in state.buckets.items():
            for current in set(table.current) - {None}:
                assert current is not None
                self.assertEqual(state.backend_servers[current].service, service_id)
            for bucket, others in table.others.items():
                names = [c.backend_server for c in others]
                self.assertEqual(len(names), len(set(names)))
                self.assertNotIn(table.current[bucket], names)

    def test_endpoint_changes_service_only_after_quarantine(self) -> None:
        for seed in SEEDS:
            log = Log()
            owners: dict[str, ids.ServiceId] = {}
            for step in random_steps(seed):
                released = isinstance(step, Endpoint)
                run_step(log, step)
                now = {
                    endpoint_key(b.endpoint): b.service
                    for b in log.state.backend_servers.values()
                }
                for key, owner in now.items():
                    self.assertEqual(owners.get(key, owner), owner, (seed, step))
                owners |= now
                if released and endpoint_key(step) not in now:
                    owners.pop(endpoint_key(step), None)

    def test_replay_from_a_snapshot_gives_identical_state(self) -> None:
        for seed in SEEDS:
            log, other = run(random_steps(seed)), ClusterState()
            for index, command in enumerate(log.entries):
                if index == seed % 40:
                    text = messages.encode(other)
                    other = messages.decode(text, ClusterState).unwrap()
                apply(command, ids.Revision(index + 1), other)
            same = messages.encode(other) == messages.encode(log.state)
            self.assertTrue(same, seed)

    def test_repeated_report_changes_nothing(self) -> None:
        for seed in SEEDS:
            log = Log()
            for step in random_steps(seed):
                run_step(log, step)
                if isinstance(step, commands.Change | Endpoint):
                    continue
                before = messages.to_json(log.state) | {"revision": 0}
                log.report(step)
                after = messages.to_json(log.state) | {"revision": 0}
                self.assertEqual(after, before, (seed, step))


class Requests(unittest.TestCase):
    """Guards against lost updates and changes that are applied twice."""

    def test_only_one_of_two_concurrent_changes_is_applied(self) -> None:
        log = Log()
        seen = log.state.configuration_revision
        outcomes = [
            log.change(commands.TakeFailureDomainOut(domain), seen)
            for domain in DOMAINS
        ]
        self.assertIsInstance(outcomes[0], Success)
        refusal = outcomes[1].failure()
        self.assertIs(refusal.code, RefusalCode.CONFLICT)
        self.assertEqual(refusal.configuration_revision, ids.Revision(2))
        out = log.state.failure_domains[DOMAINS[1]]
        self.assertIs(out.state, FailureDomainState.IN_SERVICE)

    def test_repeated_change_gets_its_first_outcome(self) -> None:
        log = Log()
        seen = log.state.configuration_revision
        request = commands.ChangeRequest(
            ids.RequestId("again"), seen, commands.TakeFailureDomainOut(DOMAINS[0])
        )
        first = log.append(request)
        log.change(commands.BringFailureDomainBack(DOMAINS[0]))
        self.assertEqual(log.append(request), first)
        self.assertEqual(first, Success(Applied(ids.Revision(2), ids.Revision(2))))
        returned = log.state.failure_domains[DOMAINS[0]]
        self.assertIs(returned.state, FailureDomainState.IN_SERVICE)
        self.assertEqual(log.state.revision, ids.Revision(4))

    def test_oldest_request_ids_are_evicted_at_the_limit(self) -> None:
        log = Log()
        for number in range(MAX_STORED_REQUESTS + 5):
            request = commands.ChangeRequest(
                ids.RequestId(f"n{number}"),
                ids.Revision(999_999),
                commands.TakeFailureDomainOut(DOMAINS[0]),
            )
            log.append(request)
        self.assertEqual(len(log.state.requests), MAX_STORED_REQUESTS)
        self.assertNotIn("n4", log.state.requests)
        self.assertIn("n5", log.state.requests)

    def test_refused_configuration_changes_nothing(self) -> None:
        log = Log()
        log.report(up("b1", "10.0.0.1"))
        domains = tuple(FailureDomain(name, ids.RegionId("ne")) for name in DOMAINS)
        seats = log.state.services[SERVICES[0]]
        moved = replace(seats, endpoint=Endpoint("10.0.0.9", 80))
        taken = service(SERVICES[1], "10.0.0.1")
        shared = service(SERVICES[1], "10.0.0.200")
        invalid: list[commands.Change] = [
            commands.ReplaceConfiguration((moved,), domains),
            commands.ReplaceConfiguration((seats, taken), domains),
            commands.ReplaceConfiguration((seats, shared), domains),
            commands.ReplaceConfiguration((seats,), domains[1:]),
            commands.ReplaceConfiguration((seats, seats), domains),
            commands.CreateService(service(SERVICES[1], "10.0.0.999")),
            commands.CreateService(
                service(SERVICES[1], "10.0.0.4", ids.FailureDomainId("?"))
            ),
        ]
        for change in invalid:
            before = copy.deepcopy(log.state)
            refusal = log.change(change).failure()
            self.assertTrue(refusal.message)
            before.requests = log.state.requests
            before.revision = log.state.revision
            self.assertEqual(log.state, before)

    def test_service_ids_follow_the_naming_rule(self) -> None:
        # The command line tool must be able to address every accepted service.
        log = Log()
        for name in ("Seats", "seats.v2", "-seats", "s" * 64, ""):
            invalid = replace(service(SERVICES[1], "10.0.0.4"), id=ids.ServiceId(name))
            refusal = log.change(commands.CreateService(invalid)).failure()
            self.assertIn("lowercase letters", refusal.message)

    def test_ids_that_backend_servers_announce_are_opaque(self) -> None:
        self.assertIsNone(report_problem(up("VM_7.recife.example", "10.0.0.1")))
        for name in ("", "a b", "a\n", "x" * 64):
            self.assertIsNotNone(report_problem(up(name, "10.0.0.1")))


class FailureDomains(unittest.TestCase):
    """Guards against full load on a failure domain that is out or ramping up."""

    def test_domain_out_of_service_loses_its_buckets_and_ramps_up_again(self) -> None:
        log = Log()
        log.report(up("b1", "10.0.0.1"), up("b2", "10.0.0.2", domain=DOMAINS[1]))
        self.assertEqual(log.owners(), {"b1", "b2"})
        log.change(commands.TakeFailureDomainOut(DOMAINS[0]))
        self.assertEqual(log.owners(), {"b2"})
        others = log.state.buckets[SERVICES[0]].others.values()
        reasons = {c.reason for candidates in others for c in candidates}
        self.assertEqual(reasons, {CandidateReason.DEPARTED})
        log.change(commands.BringFailureDomainBack(DOMAINS[0]))
        current = log.state.buckets[SERVICES[0]].current
        self.assertEqual(current.count(ids.BackendServerId("b1")), round(256 / 9))

    def test_replaced_configuration_keeps_a_domain_out_of_service(self) -> None:
        log = Log()
        log.change(commands.TakeFailureDomainOut(DOMAINS[0]))
        domains = tuple(FailureDomain(name, ids.RegionId("ne")) for name in DOMAINS)
        log.change(commands.ReplaceConfiguration((), domains))
        out = log.state.failure_domains[DOMAINS[0]]
        self.assertIs(out.state, FailureDomainState.OUT_OF_SERVICE)


class BackendServers(unittest.TestCase):
    """Guards against delayed reports, cold-start overload and shared endpoints."""

    def test_service_with_only_cold_backend_servers_gets_flows(self) -> None:
        log = Log()
        log.report(up("b1", "10.0.0.1", step=1), up("b2", "10.0.0.2", step=1))
        self.assertEqual(log.owners(), {"b1", "b2"})

    def test_new_boot_id_keeps_the_index_and_restarts_the_ramp(self) -> None:
        log = Log()
        log.report(up("b1", "10.0.0.1"), up("b2", "10.0.0.2"))
        log.report(up("b2", "10.0.0.2", boot="y"))
        restarted = log.state.backend_servers[ids.BackendServerId("b2")]
        self.assertEqual((restarted.index, restarted.step), (1, 1))
        name, old = restarted.id, ids.BootId("x")
        log.report(
            commands.BackendServerDown(name, old),
            commands.BackendServerStep(name, old, 8),
            commands.BackendServerDraining(name, old, BackendServerState.LEAVING),
        )
        self.assertEqual(log.state.backend_servers[name], restarted)

    def test_endpoint_moves_to_another_service_after_its_quarantine(self) -> None:
        log = Log()
        log.change(commands.CreateService(service(SERVICES[1], "10.0.0.201")))
        log.report(up("b1", "10.0.0.1"))
        move = up("b1", "10.0.0.1", SERVICES[1], boot="y")
        log.report(move)
        log.report(move)
        self.assertEqual(log.state.backend_servers, {})
        quarantined = log.state.quarantine["10.0.0.1:80"]
        late = commands.EndpointReleased(
            quarantined.endpoint, ids.Revision(quarantined.since - 1)
        )
        log.report(late, move)
        self.assertEqual(log.state.backend_servers, {})
        log.report(
            commands.EndpointReleased(quarantined.endpoint, quarantined.since), move
        )
        moved = log.state.backend_servers[ids.BackendServerId("b1")]
        self.assertEqual((moved.service, moved.index), (SERVICES[1], 1))

    def test_overflow_candidate_is_kept_until_the_overload_ends(self) -> None:
        log = Log()
        log.report(
            up("b1", "10.0.0.1"),
            up("b2", "10.0.0.2"),
            up("b3", "10.0.0.3", domain=DOMAINS[1]),
        )
        log.change(commands.TakeFailureDomainOut(DOMAINS[1]))
        log.report(commands.BackendServerOverloaded(ids.BackendServerId("b1"), True))
        table = log.state.buckets[SERVICES[0]]
        overloaded_buckets = [b for b in range(256) if table.current[b] == "b1"]
        overflow = [
            [c for c in table.others[ids.BucketNumber(b)] if c.backend_server == "b2"]
            for b in overloaded_buckets
        ]
        self.assertEqual({c.reason for [c] in overflow}, {CandidateReason.OVERFLOW})
        release = commands.CandidatesReleased(
            SERVICES[0],
            ids.BackendServerId("b2"),
            tuple(ids.BucketNumber(b) for b in overloaded_buckets),
            log.state.revision,
        )
        log.report(release)
        self.assertIn(
            overflow[0][0], table.others[ids.BucketNumber(overloaded_buckets[0])]
        )
        log.report(commands.BackendServerOverloaded(ids.BackendServerId("b1"), False))
        log.report(release)
        names = {c.backend_server for cs in table.others.values() for c in cs}
        self.assertEqual(names, {"b3"})


class Nodes(unittest.TestCase):
    """Guards against a drain or an eviction that affects a restarted balancer."""

    def test_drain_ends_at_a_restart_and_last_balancer_is_not_drained(self) -> None:
        log = Log()
        endpoint = Endpoint("10.9.0.1", 6081)
        nodes = [
            Node(ids.NodeId(name), DOMAINS[0], endpoint, endpoint, ids.Incarnation("1"))
            for name in ("n1", "n2")
        ]
        log.report(*(commands.NodeUp(node) for node in nodes))
        log.change(commands.DrainBalancer(ids.NodeId("n1")))
        log.report(commands.NodeUp(nodes[0]))
        self.assertIs(log.state.nodes[ids.NodeId("n1")].state, NodeState.DRAINING)
        refused = log.change(commands.DrainBalancer(ids.NodeId("n2")))
        self.assertIsInstance(refused, Failure)
        restarted = replace(nodes[0], incarnation=ids.Incarnation("2"))
        log.report(commands.NodeUp(restarted))
        log.report(commands.NodeDown(ids.NodeId("n1"), ids.Incarnation("1")))
        self.assertEqual(log.state.nodes[ids.NodeId("n1")], restarted)
