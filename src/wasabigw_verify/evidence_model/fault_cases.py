"""Which scenario finds each planted fault, and why some are not found."""

from wasabigw_verify.evidence_model import check_cases as checks
from wasabigw_verify.evidence_model import doubt_cases as doubts
from wasabigw_verify.evidence_model import opening_cases as openings
from wasabigw_verify.evidence_model import reference_cases as references
from wasabigw_verify.evidence_model.scenario import Scenario

SCENARIOS: dict[str, Scenario] = {
    "copy of an opening is steered as new": openings.LATE_COPY,
    "copy of an opening counts for 2 s only": openings.LATE_COPY_AFTER_PAUSE,
    "copy of an opening after other packets is steered as new": (
        openings.LATE_COPY_AT_OTHER_BALANCER
    ),
    "second copy of an unanswered opening is steered as new": openings.ANSWERS_LOST,
    "tag of a late answer moves an open flow": openings.SERVER_ANSWERS_LATE,
    "later copy of an opening is refused": openings.COPY_WHILE_POOL_IS_EMPTY,
    "opening that waited to be read is refused": openings.READ_LATE_WITHOUT_LISTENER,
    "opening is refused by an old view": openings.OLD_VIEW,
    "opening that waits for the link counts as unanswered": (
        openings.OPENING_WAITS_FOR_LINK
    ),
    "packet with an unknown tag is refused": openings.OLD_VIEW,
    "opening that was not sent counts as unanswered": openings.OPENING_NOT_SENT,
    "retransmission at the same moment counts": doubts.PAUSED_WITH_COPIES,
    "data that waits for the link counts as unanswered": doubts.DATA_WAITS_FOR_LINK,
    "wait for the link counts as silence": doubts.RELEASED_BEFORE_COPY,
    "packet that was not sent counts as unanswered": doubts.SENDING_FAILED,
    "progress of an upload does not count as a response": doubts.UPLOAD_PROGRESSES,
    "check without a failure": doubts.OPENING_IGNORED_DURING_CHECK,
    "flow is known at another server": doubts.SERVER_CHANGED,
    "response since the data was sent does not count": doubts.RESPONSE_SINCE,
    "host stays unreachable": doubts.HOST_IS_BACK,
    "accepted connection does not count": checks.SERVER_IS_SLOW,
    "late evaluation counts": checks.PAUSED_BEFORE_EVALUATION,
    "attempt that was not made counts": checks.NO_LOCAL_PORT,
    "any refusal counts": checks.OTHER_SERVICE_ACCEPTS,
    "references that refuse confirm a refusal": references.REFUSED_ELSEWHERE,
    "response at an unused port does not count": references.QUEUE_IS_FULL,
    "refusals of a whole failure domain count as those of a host": (
        references.DOMAIN_REJECTS
    ),
    "references elsewhere need not respond": references.ONE_SILENT_ELSEWHERE,
    "one response elsewhere is enough": references.ONE_SILENT_ELSEWHERE,
    "references on the path need not respond": checks.CUT_OFF,
    "one response on the path is enough": checks.REFERENCE_IS_SILENT,
    "failure domain is gone if one attempt has no response": (references.NEAR_IS_LOSSY),
    "failure domain is gone though no other one responds": checks.CUT_OFF,
    "checks follow each other at once": checks.DROPPED_LATER,
    "two checks of a host at a time": checks.TWO_CHECKS,
    "any number of checks at a time": checks.MANY_CHECKS,
    "references that have not answered since": checks.OLD_REFERENCES,
    "references that are doubted": checks.DOUBTED_REFERENCE,
    "refusal counts against references of another service": (
        checks.OTHER_SERVICE_ACCEPTS
    ),
    "refusal counts though the failure domain answers callers": (
        references.DOMAIN_REJECTS
    ),
    "refusals of a failure domain count against another service": (
        references.DOMAIN_OF_OTHER_SERVICE_REJECTS
    ),
    "refusal counts though the server drains by now": references.DRAINS_DURING_CHECK,
    "unknown result counts as unreachable": checks.CUT_OFF,
    "reachable host counts as unreachable": checks.SERVER_IS_SLOW,
    "breaker that has closed does not count": checks.RESPONSE_BEFORE_CHECK,
    "response during the check does not count": checks.RESPONSE_DURING_CHECK,
    "late result counts": checks.PAUSED_BEFORE_RESULT,
    "flows of all servers are reset": checks.HOST_IS_LOST,
}
"""Scenarios that break with the fault and hold without it, by the name of the fault."""

NOT_FOUND = {
    "packets are decided on without a view": (
        "protected twice: the packet task reads no packet before it has a view, and a "
        "balancer without one is not fresh and knows no tag"
    ),
    "acknowledgement of a flow opened elsewhere counts as a response": (
        "keeps flows: a dead server counts as alive for longer"
    ),
    "packets from before the failure are new evidence": (
        "only lengthens the backoff of new flows; a check needs one failure, not two"
    ),
    "reference on the checked host": (
        "keeps flows: the reference does what the checked host does, so that nothing "
        "is shown"
    ),
    "refusal of a draining server counts": (
        "protected twice: the state of the server is read again after the check"
    ),
    "flows that are not open are reset": (
        "protected twice: such a reset acknowledges nothing that the caller has open, "
        "so that its sequence number is out of the window, unless the port is used "
        "again for a flow with numbers that are close"
    ),
}
"""Why no scenario finds the other faults, by reading; a search did not find them."""
