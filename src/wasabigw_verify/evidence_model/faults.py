"""Planted faults: each removes a condition of ``core/tags`` that protects flows."""

from wasabigw_verify.planted_faults import PlantedFault

_STEERING = "wasabigw.core.tags.steering"
_OPENING_STEERING = "wasabigw.core.tags.opening_steering"
_OPENING_COPIES = "wasabigw.core.tags.opening_copies"
_FLOW_TABLE = "wasabigw.core.tags.flow_table"
_EVIDENCE = "wasabigw.core.tags.liveness.evidence"
_HEALTH = "wasabigw.core.tags.liveness.health"
_CHECKS = "wasabigw.core.tags.liveness.host_checks"
_HOSTS = "wasabigw.core.tags.liveness.unreachable_hosts"

_NEVER_CONGESTED = PlantedFault(
    "link never counts as congested",
    _EVIDENCE,
    "congested = is_congested(state.egress, now)",
    "congested = False",
)
"""Removes the guard of a congested link, which hides faults of single packets."""
_COPY_OF_WAITING_FLOW_COUNTS = PlantedFault(
    "copy of data counts while packets of its flow wait",
    _STEERING,
    "    if has_waiting(state.egress, flow_id):\n",
    "    if False:\n",
)

OPENINGS = (
    PlantedFault(
        "copy of an opening is steered as new",
        _OPENING_STEERING,
        "        if is_copy_of_opening(packet, known, now):",
        "        if False:",
    ),
    PlantedFault(
        "copy of an opening counts for 2 s only",
        _OPENING_COPIES,
        "if known.state is FlowState.OPEN and packet.sequence == known.first_sequence:",
        "if False:",
    ),
    PlantedFault(
        "copy of an opening after other packets is steered as new",
        _OPENING_COPIES,
        "return 0 <= ahead <= MAX_BYTES_BEFORE_COPY",
        "return False",
    ),
    PlantedFault(
        "second copy of an unanswered opening is steered as new",
        _OPENING_COPIES,
        "        if _has_failed(packet, known, now):\n",
        "        if True:\n",
    ),
    PlantedFault(
        "tag of a late answer moves an open flow",
        _FLOW_TABLE,
        "    if not _is_of_flow(packet, known) or",
        "    if True or",
    ),
    PlantedFault(
        "later copy of an opening is refused",
        _OPENING_STEERING,
        "if packet.repeat > 0 or waited >= MAX_WAIT_TO_REFUSE:",
        "if waited >= MAX_WAIT_TO_REFUSE:",
    ),
    PlantedFault(
        "opening that waited to be read is refused",
        _OPENING_STEERING,
        "if packet.repeat > 0 or waited >= MAX_WAIT_TO_REFUSE:",
        "if packet.repeat > 0:",
    ),
    PlantedFault(
        "opening is refused by an old view",
        _OPENING_STEERING,
        "if not state.is_fresh(now):",
        "if False:",
    ),
    PlantedFault(
        "opening that waits for the link counts as unanswered",
        _OPENING_COPIES,
        "if not is_recent and not is_waiting(state.egress, packet):",
        "if not is_recent:",
        others=(_NEVER_CONGESTED,),
    ),
    PlantedFault(
        "packets are decided on without a view",
        _STEERING,
        "if not state.has_view:",
        "if False:",
    ),
    PlantedFault(
        "packet with an unknown tag is refused",
        _STEERING,
        "return Drop(DropReason.UNKNOWN_TAG)",
        "return Refuse(packet, RefusalReason.NO_SERVER)",
    ),
)
DOUBTS = (
    PlantedFault(
        "retransmission at the same moment counts",
        _STEERING,
        "if now - flow.pending_since < SUSPECT_AFTER:",
        "if False:",
    ),
    PlantedFault(
        "data that waits for the link counts as unanswered",
        _STEERING,
        "    if is_waiting(state.egress, packet):\n",
        "    if False:\n",
        others=(_COPY_OF_WAITING_FLOW_COUNTS, _NEVER_CONGESTED),
    ),
    PlantedFault(
        "wait for the link counts as silence",
        _STEERING,
        "        if flow.pending_sequence is not None:\n"
        "            flow.pending_since = now",
        "        if False:\n            flow.pending_since = now",
        others=(_NEVER_CONGESTED,),
    ),
    PlantedFault(
        "packet that was not sent counts as unanswered",
        _STEERING,
        "    elif packet.length:\n        flow.pending_sequence = None",
        "    elif False:\n        flow.pending_sequence = None",
    ),
    PlantedFault(
        "opening that was not sent counts as unanswered",
        _STEERING,
        "        if flow.state is FlowState.OPENING:\n"
        "            discard_lost_opening(flow.server)\n",
        "        if False:\n            discard_lost_opening(flow.server)\n",
    ),
    PlantedFault(
        "progress of an upload does not count as a response",
        _STEERING,
        "        record_server_response(flow.server, state, now)\n"
        "        _expect_answer(",
        "        _expect_answer(",
    ),
    PlantedFault(
        "check without a failure",
        _STEERING,
        "if flow.server.breaker.failures > 0:",
        "if True:",
    ),
    PlantedFault(
        "flow is known at another server",
        _STEERING,
        "if known is not None and known.server is not server:",
        "if False:",
    ),
    PlantedFault(
        "acknowledgement of a flow opened elsewhere counts as a response",
        _STEERING,
        "            known.acknowledged = packet.acknowledged\n        return known",
        "            known.acknowledged = packet.acknowledged\n"
        "            record_server_response(server, state, now)\n        return known",
    ),
    PlantedFault(
        "response since the data was sent does not count",
        _HEALTH,
        "if breaker.last_response_at > sent_at:",
        "if False:",
    ),
    PlantedFault(
        "packets from before the failure are new evidence",
        _HEALTH,
        "if breaker.failures > 0 and sent_at < breaker.opened_at:",
        "if False:",
    ),
    PlantedFault(
        "host stays unreachable",
        _HEALTH,
        "return now - breaker.unreachable_at < UNREACHABLE_TTL",
        "return breaker.unreachable_at > NEVER",
    ),
)
CHECKS = (
    PlantedFault(
        "accepted connection does not count",
        _CHECKS,
        "if Attempt.ACCEPTED in made.host:\n        return HostStatus.REACHABLE",
        "if False:\n        return HostStatus.REACHABLE",
    ),
    PlantedFault(
        "late evaluation counts",
        _CHECKS,
        "if lateness > MAX_LATENESS or _is_any_not_made(made):",
        "if _is_any_not_made(made):",
    ),
    PlantedFault(
        "attempt that was not made counts",
        _CHECKS,
        "if lateness > MAX_LATENESS or _is_any_not_made(made):",
        "if lateness > MAX_LATENESS:",
    ),
    PlantedFault(
        "response at an unused port does not count",
        _CHECKS,
        "return HostStatus.UNKNOWN if is_up else _status_compared(made, _RESPONSES)",
        "return _status_compared(made, _RESPONSES)",
    ),
    PlantedFault(
        "any refusal counts",
        _CHECKS,
        "return _status_compared(made, _ACCEPTED) if counts else HostStatus.UNKNOWN",
        "return _status_compared(made, _ACCEPTED)",
    ),
    PlantedFault(
        "references that refuse confirm a refusal",
        _CHECKS,
        "return _status_compared(made, _ACCEPTED) if counts else HostStatus.UNKNOWN",
        "return _status_compared(made, _RESPONSES) if counts else HostStatus.UNKNOWN",
    ),
    PlantedFault(
        "refusals of a whole failure domain count as those of a host",
        _CHECKS,
        "check.domain_refusal_counts if is_domain_rejected else check.refusal_counts",
        "check.refusal_counts",
    ),
    PlantedFault(
        "references elsewhere need not respond",
        _CHECKS,
        "if not all(elsewhere):",
        "if False:",
    ),
    PlantedFault(
        "one response elsewhere is enough",
        _CHECKS,
        "if not all(elsewhere):",
        "if elsewhere and not any(elsewhere):",
    ),
    PlantedFault(
        "references on the path need not respond",
        _CHECKS,
        "is_path_sound = bool(on_path) and all(on_path)",
        "is_path_sound = bool(on_path)",
    ),
    PlantedFault(
        "one response on the path is enough",
        _CHECKS,
        "is_path_sound = bool(on_path) and all(on_path)",
        "is_path_sound = any(on_path)",
    ),
    PlantedFault(
        "failure domain is gone if one attempt has no response",
        _CHECKS,
        "is_domain_gone = bool(elsewhere) and not any(on_path)",
        "is_domain_gone = bool(elsewhere) and not all(on_path)",
    ),
    PlantedFault(
        "failure domain is gone though no other one responds",
        _CHECKS,
        "is_domain_gone = bool(elsewhere) and not any(on_path)",
        "is_domain_gone = not any(on_path)",
    ),
)
RESULTS = (
    PlantedFault(
        "checks follow each other at once",
        _HOSTS,
        "if now - server.breaker.checked_at < CHECK_INTERVAL:",
        "if False:",
    ),
    PlantedFault(
        "two checks of a host at a time",
        _HOSTS,
        "if boot.tag in state.running_checks:",
        "if False:",
    ),
    PlantedFault(
        "any number of checks at a time",
        _HOSTS,
        "if len(state.running_checks) >= MAX_RUNNING_CHECKS:",
        "if False:",
    ),
    PlantedFault(
        "references that have not answered since",
        _HOSTS,
        "    if not answered:\n        return None\n",
        "",
    ),
    PlantedFault(
        "references that are doubted",
        _HOSTS,
        "        and server.breaker.failures == 0\n",
        "",
    ),
    PlantedFault(
        "reference on the checked host",
        _HOSTS,
        "        and server.registration.endpoint.address != address\n",
        "",
    ),
    PlantedFault(
        "refusal counts against references of another service",
        _HOSTS,
        "same_elsewhere if elsewhere else _serve_same(on_path, doubted)",
        "True",
    ),
    PlantedFault(
        "refusal counts though the failure domain answers callers",
        _HOSTS,
        "domain_refusal_counts=same_elsewhere and not is_draining and not path_answers",
        "domain_refusal_counts=same_elsewhere and not is_draining",
    ),
    PlantedFault(
        "refusals of a failure domain count against another service",
        _HOSTS,
        "domain_refusal_counts=same_elsewhere and not is_draining and not path_answers",
        "domain_refusal_counts=not is_draining and not path_answers",
    ),
    PlantedFault(
        "refusal of a draining server counts",
        _HOSTS,
        "refusal_counts=same_service and not is_draining,",
        "refusal_counts=same_service,",
    ),
    PlantedFault(
        "refusal counts though the server drains by now",
        _HOSTS,
        "if result.is_refused and is_draining:",
        "if False:",
    ),
    PlantedFault(
        "unknown result counts as unreachable",
        _HOSTS,
        "result.status is not HostStatus.UNREACHABLE",
        "result.status is HostStatus.REACHABLE",
    ),
    PlantedFault(
        "reachable host counts as unreachable",
        _HOSTS,
        "result.status is not HostStatus.UNREACHABLE",
        "result.status is HostStatus.UNKNOWN",
    ),
    PlantedFault(
        "breaker that has closed does not count",
        _HOSTS,
        "if breaker.failures == 0 or breaker.last_response_at >= result.started_at:",
        "if breaker.last_response_at >= result.started_at:",
    ),
    PlantedFault(
        "response during the check does not count",
        _HOSTS,
        "if breaker.failures == 0 or breaker.last_response_at >= result.started_at:",
        "if breaker.failures == 0:",
    ),
    PlantedFault(
        "late result counts",
        _HOSTS,
        "if now - result.ended_at > MAX_LATENESS:",
        "if False:",
    ),
    PlantedFault(
        "flows of all servers are reset",
        _HOSTS,
        "if known.server is server and known.state is FlowState.OPEN",
        "if known.state is FlowState.OPEN",
    ),
    PlantedFault(
        "flows that are not open are reset",
        _HOSTS,
        "if known.server is server and known.state is FlowState.OPEN",
        "if known.server is server",
    ),
)
FAULTS = (*OPENINGS, *DOUBTS, *CHECKS, *RESULTS)
