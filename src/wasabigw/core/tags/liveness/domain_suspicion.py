"""Avoidance of failure domains whose backend servers have all stopped answering.

If all processes of a failure domain crash at once, their hosts reset openings, which
the balancer does not see, and callers use up their tries within milliseconds. Circuit
breakers learn of one backend server at a time. Here unanswered openings count against
the failure domain (:mod:`wasabigw.core.tags.liveness.suspicion`), and a caller that
returns avoids the failure domain that it was sent to. Only new flows are affected.
"""

from collections.abc import Sequence

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.load.known import ServiceKey
from wasabigw.core.tags.link.egress import is_congested, is_opening_waiting
from wasabigw.core.tags.liveness.health import DOUBT_TIME
from wasabigw.core.tags.liveness.suspicion import (
    Suspicion,
    UnansweredOpening,
    add_evidence,
    begin,
    has_ended,
    is_probe_due,
    is_sufficient,
    remove_outdated,
)
from wasabigw.core.tags.openings import OPENING_TIMEOUT, tried_openings
from wasabigw.core.tags.state import Server, SuspicionChange, TagState
from wasabigw.core.view_lease import NEVER

LOCAL_OPENING_TIMEOUT = Seconds(0.05)
"""Time without an answer from the same region after which an opening is evidence.

Longer than a round trip in a region. The evidence may be weaker than for a circuit
breaker, because a single answer from the failure domain refutes it.
"""
COINCIDENCE_TIME = Seconds(0.1)
"""Time within which several failure domains seem to fail together.

The cause is nearer to the balancer then, and other failure domains are no better.
"""


def collect_evidence(state: TagState, now: Seconds) -> None:
    """Count pending openings that should have been answered by now as evidence."""
    for flow, opening in state.pending_openings.items():
        age = now - opening.at
        if age < LOCAL_OPENING_TIMEOUT:
            break
        if age < _opening_timeout(opening.server, state):
            continue
        if is_opening_waiting(state.egress, flow):
            continue
        boot = opening.server.registration
        key = boot.service, boot.failure_domain
        suspicion = state.suspicions.setdefault(key, Suspicion())
        unanswered = UnansweredOpening(flow.caller, opening.at)
        add_evidence(suspicion, boot.tag, unanswered, now)


def update_suspicions(state: TagState, now: Seconds) -> None:
    """Begin and end suspicions by the evidence and the answers since."""
    for key, suspicion in list(state.suspicions.items()):
        last_answer_at = _last_answer_at(_servers_of(key, state))
        remove_outdated(suspicion, last_answer_at, now)
        if suspicion.suspected and has_ended(suspicion, last_answer_at, now):
            _end(key, suspicion, state, now)
        if not suspicion.evidence and not suspicion.suspected:
            del state.suspicions[key]
    _begin_suspicions(state, now)


def _begin_suspicions(state: TagState, now: Seconds) -> None:
    """Begin the suspicions with enough evidence, unless domains fail together."""
    congested = is_congested(state.egress, now)
    due = [
        (key, suspicion)
        for key, suspicion in state.suspicions.items()
        if not suspicion.suspected and _is_due(suspicion, congested, now)
    ]
    if not due:
        return
    recent = [
        (key, suspicion)
        for key, suspicion in state.suspicions.items()
        if suspicion.suspected and now - suspicion.since < COINCIDENCE_TIME
    ]
    if len({domain for (_, domain), _ in due + recent}) > 1:
        for key, suspicion in recent:
            _end(key, suspicion, state, now)
        return
    for key, suspicion in due:
        begin(suspicion, (s.registration.tag for s in _servers_of(key, state)), now)
        state.suspicion_changes.append(SuspicionChange(*key, now))


def _is_due(suspicion: Suspicion, congested: bool, now: Seconds) -> bool:
    """Whether the evidence is enough; it takes longer while the link is congested."""
    if congested and now - suspicion.unanswered_since < DOUBT_TIME:
        return False
    return is_sufficient(suspicion)


def _end(key: ServiceKey, suspicion: Suspicion, state: TagState, now: Seconds) -> None:
    lasted = Seconds(now - suspicion.since)
    suspicion.suspected = frozenset()
    state.suspicion_changes.append(SuspicionChange(*key, now, lasted))


def avoided_servers(
    service: ServiceId, caller: int, state: TagState, now: Seconds
) -> set[Server]:
    """Backend servers of failed failure domains that an opening should not go to.

    Empty if no other backend server is known to answer.
    """
    pool = state.pools.get(service, ())
    domains = _unanswering_domains(service, caller, pool, state, now)
    if not domains and not state.suspicions:
        return set()
    avoided = {
        server
        for server in pool
        if server.registration.failure_domain in domains
        or _is_avoided(server, state, now)
    }
    if any(s.is_usable(now) for s in pool if s not in avoided):
        return avoided
    return set()


def record_choice(server: Server, state: TagState, now: Seconds) -> None:
    """Record an opening to a backend server; if it is suspected, as a probe."""
    suspicion = suspicion_against(server, state)
    if suspicion is not None:
        suspicion.probed_at = now


def suspicion_against(server: Server, state: TagState) -> Suspicion | None:
    """Suspicion that a backend server is under; ``None`` if there is none."""
    boot = server.registration
    suspicion = state.suspicions.get((boot.service, boot.failure_domain))
    if suspicion is None or boot.tag not in suspicion.suspected:
        return None
    return suspicion


def _unanswering_domains(
    service: ServiceId,
    caller: int,
    pool: Sequence[Server],
    state: TagState,
    now: Seconds,
) -> set[FailureDomainId]:
    """Failure domains that the caller was sent to and that are silent since."""
    domains = set()
    for opening in tried_openings(caller, state, now):
        boot = opening.server.registration
        if boot.service != service:
            continue
        peers = [s for s in pool if _domain_of(s) == boot.failure_domain]
        last_answer_at = _last_answer_at(peers)
        # An answer just before shows that this caller opens several flows at once.
        if last_answer_at <= min(opening.at, now - LOCAL_OPENING_TIMEOUT):
            domains.add(boot.failure_domain)
    return domains


def _is_avoided(server: Server, state: TagState, now: Seconds) -> bool:
    """Whether a backend server is suspected and its failure domain needs no probe."""
    suspicion = suspicion_against(server, state)
    return suspicion is not None and not is_probe_due(suspicion, now)


def _opening_timeout(server: Server, state: TagState) -> Seconds:
    region = state.regions.get(server.registration.failure_domain)
    is_local = region == state.regions.get(state.failure_domain)
    return LOCAL_OPENING_TIMEOUT if is_local else OPENING_TIMEOUT


def _servers_of(key: ServiceKey, state: TagState) -> list[Server]:
    service, domain = key
    pool = state.pools.get(service, ())
    return [server for server in pool if _domain_of(server) == domain]


def _domain_of(server: Server) -> FailureDomainId:
    return server.registration.failure_domain


def _last_answer_at(servers: Sequence[Server]) -> Seconds:
    """When any of the backend servers last answered a caller."""
    answers = (server.breaker.last_response_at for server in servers)
    return max(answers, default=NEVER)
