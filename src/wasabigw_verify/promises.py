"""Checks of a record against the ten promises of docs/design.md, section 1.3.

Time bounds come from the promises, never from measurements of runs.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from functools import singledispatch
from typing import TypeVar

from wasabigw.core.commands import BringFailureDomainBack, TakeFailureDomainOut
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    FlowKey,
    NodeId,
    RequestId,
    Revision,
    Seconds,
)
from wasabigw.core.timing import IN_FORCE_BOUND
from wasabigw_verify.record import (
    AnswerDelivered,
    BackendServerCrashed,
    BackendServerLeaving,
    BackendServerReturned,
    ChangeAccepted,
    Entry,
    FlowEstablished,
    FlowLost,
    LoadObserved,
    NodeDisconnected,
    NodeReconnected,
    NodeStarted,
    NodeStopped,
    PacketDelivered,
    RequestAbandoned,
    RequestRefused,
    RequestRun,
    RequestSent,
    RevisionApplied,
)

Kind = TypeVar("Kind", bound=Entry)
Record = Sequence[Entry]


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a promise.

    :param at: time at which the violation shows.
    """

    promise: str
    at: Seconds
    message: str


class Promise:
    """Base of the promises; :func:`violations` dispatches on the class."""


class EstablishedFlowsSurvive(Promise):
    """P1: flows survive planned changes unless their failure domain is out."""


class ServicesNeverCross(Promise):
    """P2: a packet reaches only the service that it was sent to."""


class StartsAreBearable(Promise):
    """P3: a backend server gets no more load than it can bear."""


class OutOfServiceIsQuiet(Promise):
    """P4: a failure domain that is out of service gets no more packets."""


class AnswersAreExact(Promise):
    """P5: each caller gets the complete response to their own request."""


class RefusalsAreTrue(Promise):
    """P6: a request that was refused as not run was not run."""


class NonIdempotentRunsOnce(Promise):
    """P7: a non-idempotent request runs at most once."""


class LeavingGetsNoWork(Promise):
    """P8: a backend server that is leaving gets no new flows."""


class PlannedStopsAreClean(Promise):
    """P9: a planned stop interrupts no request in flight."""


class ChangesHoldEverywhere(Promise):
    """P10: an accepted configuration is in force everywhere and never reverts."""


PROMISES: dict[str, Promise] = {
    "P1": EstablishedFlowsSurvive(),
    "P2": ServicesNeverCross(),
    "P3": StartsAreBearable(),
    "P4": OutOfServiceIsQuiet(),
    "P5": AnswersAreExact(),
    "P6": RefusalsAreTrue(),
    "P7": NonIdempotentRunsOnce(),
    "P8": LeavingGetsNoWork(),
    "P9": PlannedStopsAreClean(),
    "P10": ChangesHoldEverywhere(),
}


def check(record: Record) -> list[Violation]:
    """All violations of all promises in a record."""
    return [
        Violation(name, at, message)
        for name, promise in PROMISES.items()
        for at, message in violations(promise, record)
    ]


Findings = Iterator[tuple[Seconds, str]]


@singledispatch
def violations(promise: Promise, record: Record) -> Findings:
    """Times and descriptions of the violations of one promise."""
    raise TypeError(f"no check for {type(promise).__name__}")


@violations.register
def _(promise: EstablishedFlowsSurvive, record: Record) -> Findings:
    for entry in _unexpected_losses(record):
        yield entry.at, f"flow {entry.flow.hex()} was lost"


@violations.register
def _(promise: ServicesNeverCross, record: Record) -> Findings:
    for entry in _entries(record, PacketDelivered):
        if entry.service != entry.serves:
            yield (
                entry.at,
                f"packet for {entry.service} reached {entry.backend_server} of "
                f"{entry.serves} via {entry.via}",
            )


@violations.register
def _(promise: StartsAreBearable, record: Record) -> Findings:
    for entry in _entries(record, LoadObserved):
        if entry.open_flows > entry.current_capacity:
            yield (
                entry.at,
                f"{entry.backend_server} has {entry.open_flows} open flows and can "
                f"bear {entry.current_capacity}",
            )


@violations.register
def _(promise: OutOfServiceIsQuiet, record: Record) -> Findings:
    periods = _out_of_service_periods(record)
    domain_of_node = {e.node: e.failure_domain for e in _entries(record, NodeStarted)}
    for entry in _entries(record, PacketDelivered):
        for domain, start, end in periods:
            if entry.failure_domain != domain or not start < entry.at < end:
                continue
            # A partitioned failure domain can't learn that it was taken out, and has
            # to keep serving its flows (docs/design.md, section 7.3).
            local = domain_of_node.get(entry.via) == domain
            if local and _disconnected_throughout(record, entry.via, start, entry.at):
                continue
            yield (
                entry.at,
                f"packet reached {entry.backend_server} via {entry.via}, "
                f"{entry.at - start + IN_FORCE_BOUND:.2f} s after {domain} was "
                "taken out",
            )


@violations.register
def _(promise: AnswersAreExact, record: Record) -> Findings:
    callers = {e.request: e.caller for e in _entries(record, RequestSent)}
    answered: Counter[RequestId] = Counter()
    for entry in _entries(record, AnswerDelivered):
        answered[entry.request] += 1
        if not entry.exact:
            yield entry.at, f"answer to {entry.request} differs from what was given"
        if callers.get(entry.request) != entry.caller:
            yield entry.at, f"answer to {entry.request} went to {entry.caller}"
        if answered[entry.request] > 1:
            yield entry.at, f"{entry.request} was answered twice"
    yield from _unanswered(record, set(answered))


@violations.register
def _(promise: RefusalsAreTrue, record: Record) -> Findings:
    run = {e.request: e.backend_server for e in _entries(record, RequestRun)}
    for entry in _entries(record, RequestRefused):
        if entry.not_run and entry.request in run:
            yield entry.at, f"{entry.request} ran on {run[entry.request]}"


@violations.register
def _(promise: NonIdempotentRunsOnce, record: Record) -> Findings:
    idempotent = {e.request: e.idempotent for e in _entries(record, RequestSent)}
    runs: Counter[RequestId] = Counter()
    for entry in _entries(record, RequestRun):
        runs[entry.request] += 1
        if runs[entry.request] > 1 and not idempotent.get(entry.request, False):
            yield entry.at, f"{entry.request} ran again on {entry.backend_server}"


@violations.register
def _(promise: LeavingGetsNoWork, record: Record) -> Findings:
    leaving: dict[BackendServerId, Seconds] = {}
    opened: set[tuple[FlowKey, BackendServerId]] = set()
    for entry in record:
        if isinstance(entry, BackendServerLeaving):
            leaving.setdefault(entry.backend_server, entry.at)
        elif isinstance(entry, BackendServerReturned):
            leaving.pop(entry.backend_server, None)
        elif isinstance(entry, PacketDelivered) and entry.opening:
            server = entry.backend_server
            first = (entry.flow, server) not in opened
            opened.add((entry.flow, server))
            late = entry.at > leaving.get(server, entry.at) + IN_FORCE_BOUND
            if first and late:
                yield entry.at, f"{server} got a new flow while leaving"


@violations.register
def _(promise: PlannedStopsAreClean, record: Record) -> Findings:
    stops = [e for e in _entries(record, NodeStopped) if e.planned]
    ended = _ends_of_requests(record)
    exempt = _exempt_requests(record)
    for stop in stops:
        for sent in _entries(record, RequestSent):
            in_flight = sent.at < stop.at < ended.get(sent.request, stop.at + 1)
            if in_flight and sent.request not in ended.keys() | exempt:
                yield stop.at, f"{sent.request} was cut by the stop of {stop.node}"


@violations.register
def _(promise: ChangesHoldEverywhere, record: Record) -> Findings:
    yield from _reverted_revisions(record)
    yield from _diverged_copies(record)
    for entry in _entries(record, ChangeAccepted):
        deadline = Seconds(entry.at + IN_FORCE_BOUND)
        if not record or record[-1].at < deadline:
            continue
        for node in _reachable_nodes(record, entry.at, deadline):
            applied = _latest_revision(record, node, deadline)
            if applied < entry.revision:
                yield (
                    deadline,
                    f"{node} is at revision {applied}, accepted is {entry.revision}",
                )


def _entries(record: Record, kind: type[Kind]) -> Iterator[Kind]:
    return (entry for entry in record if isinstance(entry, kind))


def _unexpected_losses(record: Record) -> Iterator[FlowLost]:
    """Losses of established flows that no crash or domain out of service explains."""
    served_by = _backend_servers_of_flows(record)
    domains = _failure_domains(record)
    crashed = {e.backend_server for e in _entries(record, BackendServerCrashed)}
    taken_out = {domain for domain, _, _ in _out_of_service_periods(record)}
    for entry in _entries(record, FlowLost):
        server = served_by.get(entry.flow)
        if server is None or server in crashed:
            continue
        if domains.get(server) not in taken_out:
            yield entry


def _backend_servers_of_flows(record: Record) -> dict[FlowKey, BackendServerId]:
    return {e.flow: e.backend_server for e in _entries(record, FlowEstablished)}


def _failure_domains(record: Record) -> dict[BackendServerId, FailureDomainId]:
    return {
        e.backend_server: e.failure_domain for e in _entries(record, PacketDelivered)
    }


def _out_of_service_periods(
    record: Record,
) -> list[tuple[FailureDomainId, Seconds, Seconds]]:
    """Failure domains with the start and end of periods in which they get no packets.

    A period starts once the change has to be in force.
    """
    periods: list[tuple[FailureDomainId, Seconds, Seconds]] = []
    since: dict[FailureDomainId, Seconds] = {}
    for entry in _entries(record, ChangeAccepted):
        match entry.change:
            case TakeFailureDomainOut(failure_domain):
                since.setdefault(failure_domain, Seconds(entry.at + IN_FORCE_BOUND))
            case BringFailureDomainBack(failure_domain) if failure_domain in since:
                periods.append((failure_domain, since.pop(failure_domain), entry.at))
    forever = Seconds(float("inf"))
    return periods + [(domain, start, forever) for domain, start in since.items()]


def _disconnected_throughout(
    record: Record, node: NodeId, start: Seconds, end: Seconds
) -> bool:
    """Whether a node was disconnected from the majority from start to end.

    :param start: when the change has to be in force.
    """
    disconnected_at: Seconds | None = None
    for entry in record:
        if entry.at > end:
            break
        if isinstance(entry, NodeDisconnected) and entry.node == node:
            disconnected_at = entry.at
        elif isinstance(entry, NodeReconnected) and entry.node == node:
            disconnected_at = None
    return disconnected_at is not None and disconnected_at <= start


def _ends_of_requests(record: Record) -> dict[RequestId, Seconds]:
    ends: dict[RequestId, Seconds] = {}
    for entry in record:
        if isinstance(entry, AnswerDelivered | RequestRefused | RequestAbandoned):
            ends.setdefault(entry.request, entry.at)
    return ends


def _exempt_requests(record: Record) -> set[RequestId]:
    """Requests on flows whose loss is allowed, see :func:`_unexpected_losses`."""
    lost = {e.flow for e in _entries(record, FlowLost)}
    lost -= {e.flow for e in _unexpected_losses(record)}
    return {e.request for e in _entries(record, RequestSent) if e.flow in lost}


def _unanswered(record: Record, answered: set[RequestId]) -> Findings:
    ended = _ends_of_requests(record)
    exempt = _exempt_requests(record)
    for entry in _entries(record, RequestSent):
        if entry.request not in answered | exempt and entry.request not in ended:
            yield entry.at, f"{entry.request} was never answered"


def _reverted_revisions(record: Record) -> Findings:
    highest: dict[NodeId, Revision] = {}
    for entry in _entries(record, RevisionApplied):
        before = highest.get(entry.node, Revision(0))
        if entry.revision < before:
            yield entry.at, f"{entry.node} went from {before} to {entry.revision}"
        highest[entry.node] = max(before, entry.revision)


def _diverged_copies(record: Record) -> Findings:
    digests: dict[Revision, int] = {}
    for entry in _entries(record, RevisionApplied):
        if digests.setdefault(entry.revision, entry.digest) != entry.digest:
            yield entry.at, f"{entry.node} differs at revision {entry.revision}"


def _reachable_nodes(record: Record, start: Seconds, end: Seconds) -> Iterable[NodeId]:
    """Nodes that ran and were connected to the majority from start to end."""
    usable: set[NodeId] = set()
    for entry in record:
        if entry.at > end:
            break
        if isinstance(entry, NodeStarted | NodeReconnected) and entry.at <= start:
            usable.add(entry.node)
        elif isinstance(entry, NodeStopped | NodeDisconnected):
            usable.discard(entry.node)
    return sorted(usable)


def _latest_revision(record: Record, node: NodeId, at: Seconds) -> Revision:
    applied = [
        entry.revision
        for entry in _entries(record, RevisionApplied)
        if entry.node == node and entry.at <= at
    ]
    return max(applied, default=Revision(0))
