"""Evidence that all backend servers of a service in a failure domain have failed.

A single unanswered opening says something about one backend server. Unanswered openings
of different callers to different backend servers, while no caller acknowledges anything
new from the failure domain, say that the failure domain has failed as a whole.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.view_lease import NEVER

MIN_SERVERS = 2
"""Backend servers that must have left openings unanswered.

A false suspicion costs some flows a longer path until the next answer, a late one costs
callers their requests, so that little evidence is enough.
"""
MIN_CALLERS = 2
"""Callers whose openings were not answered; one caller may have failed itself."""
EVIDENCE_TTL = Seconds(2.0)
SUSPICION_TTL = Seconds(3.0)
"""Time without further evidence after which a suspicion ends."""
PROBE_INTERVAL = Seconds(1.0)
"""Pause between two openings that probe a suspected failure domain.

A probe may cost its caller one of few tries.
"""
NO_OPENING = Seconds(math.inf)
"""Time of the first unanswered opening if there is none."""


class UnansweredOpening(NamedTuple):
    """An opening that no other packet of its flow has followed in time."""

    caller: int
    sent_at: Seconds


@dataclass(slots=True)
class Suspicion:
    """Evidence against the backend servers of a service in one failure domain.

    :param evidence: latest unanswered opening of each boot.
    :param unanswered_since: when the first opening was sent that was not answered, if
        nobody was answered since.
    :param suspected: boots that are avoided; empty while the evidence is too little.
        Boots that appear later are not under suspicion.
    :param since: when the suspicion began.
    :param until: when it ends unless further evidence follows.
    :param probed_at: when the latest opening was sent to one of them.
    """

    evidence: dict[Tag, UnansweredOpening] = field(default_factory=dict)
    unanswered_since: Seconds = NO_OPENING
    suspected: frozenset[Tag] = frozenset()
    since: Seconds = NEVER
    until: Seconds = NEVER
    probed_at: Seconds = NEVER


def add_evidence(
    suspicion: Suspicion, tag: Tag, opening: UnansweredOpening, now: Seconds
) -> None:
    """Record an unanswered opening, which extends a suspicion."""
    if suspicion.evidence.get(tag) == opening:
        return
    suspicion.evidence[tag] = opening
    suspicion.unanswered_since = min(suspicion.unanswered_since, opening.sent_at)
    if suspicion.suspected:
        suspicion.until = Seconds(now + SUSPICION_TTL)


def remove_outdated(
    suspicion: Suspicion, last_answer_at: Seconds, now: Seconds
) -> None:
    """Remove evidence that is old, or older than an answer.

    :param last_answer_at: latest answer of any boot in the failure domain.
    """
    oldest = max(last_answer_at, now - EVIDENCE_TTL)
    suspicion.evidence = {
        tag: opening
        for tag, opening in suspicion.evidence.items()
        if opening.sent_at > oldest
    }
    if suspicion.unanswered_since <= last_answer_at:
        sent = (opening.sent_at for opening in suspicion.evidence.values())
        suspicion.unanswered_since = min(sent, default=NO_OPENING)


def has_ended(suspicion: Suspicion, last_answer_at: Seconds, now: Seconds) -> bool:
    """Whether a suspicion has been disproved or has expired."""
    return last_answer_at > suspicion.since or now >= suspicion.until


def is_sufficient(suspicion: Suspicion) -> bool:
    """Whether the evidence is enough for a suspicion."""
    callers = {opening.caller for opening in suspicion.evidence.values()}
    return len(suspicion.evidence) >= MIN_SERVERS and len(callers) >= MIN_CALLERS


def begin(suspicion: Suspicion, tags: Iterable[Tag], now: Seconds) -> None:
    """Put the boots of the failure domain under suspicion."""
    suspicion.suspected = frozenset(tags)
    suspicion.since = suspicion.probed_at = now
    suspicion.until = Seconds(now + SUSPICION_TTL)


def is_probe_due(suspicion: Suspicion, now: Seconds) -> bool:
    """Whether the next opening may be sent to a suspected boot."""
    return now - suspicion.probed_at >= PROBE_INTERVAL
