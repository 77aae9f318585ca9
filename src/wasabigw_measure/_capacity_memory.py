"""Memory of the replicated state, of the tables derived from it, and of flows."""

import resource
import subprocess
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace

from wasabigw.core import backend_home
from wasabigw.core.buckets import add_candidate
from wasabigw.core.cluster import Applied, Candidate, ClusterState
from wasabigw.core.flows import cache, records
from wasabigw.core.flows.admission_port import HomeAdmission
from wasabigw.core.flows.cache import FlowCache
from wasabigw.core.flows.events import LogApplied
from wasabigw.core.flows.keys import flow_key
from wasabigw.core.flows.records import FlowRecord, FlowTable
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState, make_state
from wasabigw.core.flows.targets import Target as Backend
from wasabigw.core.flows.targets import make_target
from wasabigw.core.home_events import HomesChanged
from wasabigw.core.ids import BucketNumber, RequestId, Revision, Seconds
from wasabigw.core.states import CandidateReason
from wasabigw.tasks.packet_events import prepare_rewrites
from wasabigw_measure._capacity_cluster import (
    boot_id,
    make_cluster,
    node_id,
    server_id,
    service_id,
)
from wasabigw_measure._capacity_model import Target

_ADDRESS, _PORT, _SERVICE_PORT, _TCP = 0x0A000000, 443, 443, 6


@dataclass(frozen=True, slots=True)
class StateBytes:
    """Bytes of memory per item of the replicated state.

    :param derived_service: per service in the derived tables of a balancer.
    :param derived_server: per backend server in these tables.
    :param derived_node: per balancer in these tables.
    """

    service: float
    server: float
    node: float
    candidate: float
    request: float
    derived_service: float
    derived_server: float
    derived_node: float


@dataclass(frozen=True, slots=True)
class FlowBytes:
    """Bytes of memory of a flow record and of a cached binding.

    :param flows: number of flows at which they were measured.
    """

    flows: int
    record: float
    cached: float


def measure_state(unit: int) -> StateBytes:
    """Memory per item, from pairs of clusters that differ by ``unit`` items of a type.

    Each service has a backend server, so that all its buckets are assigned.
    """
    small = Target(nodes=9, backend_servers=unit, services=unit)
    servers = replace(small, backend_servers=2 * unit)
    few = Target(nodes=9, backend_servers=9, services=2)
    nodes = replace(few, nodes=9 + unit)
    both = replace(servers, services=2 * unit)
    server = _bytes_per_unit(small, servers, unit)
    derived_server = _derived_bytes_per_unit(small, servers, unit)
    return StateBytes(
        service=_bytes_per_unit(small, both, unit) - server,
        server=server,
        node=_bytes_per_unit(few, nodes, unit),
        candidate=_candidate_bytes(unit),
        request=_request_bytes(unit),
        derived_service=_derived_bytes_per_unit(small, both, unit) - derived_server,
        derived_server=derived_server,
        derived_node=_derived_bytes_per_unit(few, nodes, unit),
    )


def measure_flows(flows: int) -> FlowBytes:
    """Measure the memory of flow records and of cached bindings."""
    small = Target(nodes=9, backend_servers=9, services=2)
    state = make_cluster(small)
    backend = state.backend_servers[server_id(0)]
    owner = state.services[service_id(0)]
    target = make_target(backend, owner, True, prepare_rewrites)
    record = _traced_bytes(lambda: _fill_flow_table(flows, target)) / flows
    cached = _traced_bytes(lambda: _fill_flow_cache(flows, target)) / flows
    return FlowBytes(flows, record, cached)


def process_bytes(module: str) -> int:
    """Resident memory of a new process after the import of a module."""
    code = f"import {module}; print(open('/proc/self/statm').read().split()[1])"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, capture_output=True, text=True, check=True)
    return int(done.stdout) * resource.getpagesize()


def _traced_bytes(make: Callable[[], object]) -> float:
    """Bytes that stay allocated while the created object exists."""
    tracemalloc.start()
    try:
        result = make()
        used, _ = tracemalloc.get_traced_memory()
        del result
    finally:
        tracemalloc.stop()
    return float(used)


def _bytes_per_unit(small: Target, large: Target, unit: int) -> float:
    first = _traced_bytes(lambda: make_cluster(small))
    return (_traced_bytes(lambda: make_cluster(large)) - first) / unit


def _derived_bytes_per_unit(small: Target, large: Target, unit: int) -> float:
    before, after = make_cluster(small), make_cluster(large)
    first = _traced_bytes(lambda: _make_balancer_state(before))
    return (_traced_bytes(lambda: _make_balancer_state(after)) - first) / unit


def _make_balancer_state(cluster: ClusterState) -> tuple[BalancerState, object]:
    """State that a balancer keeps in addition to its copy of the replicated state."""
    home = backend_home.make_home_state(node_id(0))
    balancer = cluster.nodes[node_id(0)]
    admission = HomeAdmission(home)
    state = make_state(
        balancer.id, balancer.failure_domain, admission, prepare_rewrites
    )
    now = Seconds(1.0)
    handle(LogApplied(cluster, now, snapshot=True), state)
    backend_home.handle(HomesChanged(cluster, now), home)
    return state, home


def _candidate_bytes(unit: int) -> float:
    services = max(1, unit // 256)
    target = Target(nodes=9, backend_servers=9, services=services)
    state = make_cluster(target)

    def fill() -> None:
        for table in state.buckets.values():
            for bucket in range(256):
                candidate = Candidate(
                    server_id(0), CandidateReason.FORMER, Revision(100_000 + bucket)
                )
                add_candidate(table, BucketNumber(bucket), candidate)

    return _traced_bytes(fill) / (256 * services)


def _request_bytes(unit: int) -> float:
    state = ClusterState()

    def fill() -> None:
        for number in range(unit):
            revision = Revision(100_000 + number)
            request = RequestId(boot_id() * 2)
            state.requests[request] = Applied(revision, revision)

    return _traced_bytes(fill) / unit


def _fill_flow_table(flows: int, target: Backend) -> FlowTable:
    table = FlowTable()
    for number in range(flows):
        now = Seconds(number / 1_000)
        record = FlowRecord(target, BucketNumber(number % 256), now, now, True)
        flow = flow_key(_TCP, _ADDRESS + number, _PORT, _ADDRESS, _SERVICE_PORT)
        records.insert(table, flow, record)
    return table


def _fill_flow_cache(flows: int, target: Backend) -> FlowCache:
    table = FlowCache()
    for number in range(flows):
        flow = flow_key(_TCP, _ADDRESS + number, _PORT, _ADDRESS, _SERVICE_PORT)
        cache.store_binding(table, flow, target, Seconds(number / 1_000))
    return table
