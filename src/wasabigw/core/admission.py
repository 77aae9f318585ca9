"""Limits on the open and the new flows of one backend server, and its ramp."""

import math
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.cold_start import ColdVerdict
from wasabigw.core.ids import Seconds
from wasabigw.core.timing import FULL_STEP, RAMP_STEP_TIME, RAMP_STEPS

OPENING_WINDOW = Seconds(10.0)
"""Time in which a backend server may open as many flows as it may hold."""

DOUBTFUL_STEP_FACTOR = 4
"""How much longer a ramp step is held while one signal is bad.

One bad signal can be a misleading endpoint, which must not stop the ramp for ever.
"""

OVERLOADED_SHARE = 0.9
RELIEVED_SHARE = 0.6
"""Shares of the limit at which overload begins and ends."""

RELIEVED_TIME = Seconds(10.0)
"""Time below :data:`RELIEVED_SHARE` before overload ends.

With 4 slots, each flow crosses the thresholds; every change is a log entry.
"""


_START = Seconds(0.0)


class AdmissionVerdict(Enum):
    """Whether a new flow may open at a backend server."""

    ADMITTED = "admitted"
    AT_LIMIT = "at-limit"
    RATE_LIMITED = "rate-limited"
    NOT_ANNOUNCED = "not-announced"
    TAKEOVER_WAIT = "takeover-wait"


@dataclass(slots=True)
class Ramp:
    """Eighths of its capacity that a backend server may use.

    :param since: when the step began.
    """

    step: int
    since: Seconds


@dataclass(slots=True)
class TokenBucket:
    """Limit on the rate of new flows.

    :param tokens: new flows that may open now.
    :param updated: time at which ``tokens`` was right.
    """

    tokens: float = 1.0
    updated: Seconds = _START


@dataclass(slots=True)
class Admission:
    """Open flows of one backend server and what bounds them.

    :param limit: open flows at the full step.
    :param connections: connections at the full step; new flows are bounded by
        their share in :data:`OPENING_WINDOW`.
    :param unrecorded_flows: flows that only the backend server knows of.
    :param ended_flows: flows of an earlier process of the backend server, which
        may still be released.
    :param relieved_since: when an overloaded backend server fell below the share.
    """

    limit: int
    connections: int
    ramp: Ramp
    open_flows: int = 0
    unrecorded_flows: int = 0
    ended_flows: int = 0
    overloaded: bool = False
    relieved_since: Seconds | None = None
    bucket: TokenBucket = field(default_factory=TokenBucket)


def allowed_flows(admission: Admission) -> int:
    """Open flows that the ramp step allows; at least 1."""
    return max(1, math.ceil(admission.limit * admission.ramp.step / FULL_STEP))


def opening_rate(admission: Admission) -> float:
    """New flows per second that the ramp step allows."""
    share = admission.connections * admission.ramp.step / FULL_STEP
    return share / OPENING_WINDOW


def admit_flow(admission: Admission, now: Seconds) -> AdmissionVerdict:
    """Count a new flow as open unless a limit forbids it."""
    if admission.open_flows + admission.unrecorded_flows >= allowed_flows(admission):
        return AdmissionVerdict.AT_LIMIT
    if not _take_token(admission, now):
        return AdmissionVerdict.RATE_LIMITED
    admission.open_flows += 1
    return AdmissionVerdict.ADMITTED


def release_flow(admission: Admission) -> None:
    """Count a flow as ended.

    It may be a flow of an earlier process; those go first, because counting a
    present flow as ended would exceed the limit.
    """
    if admission.ended_flows > 0:
        admission.ended_flows -= 1
        return
    admission.open_flows = max(0, admission.open_flows - 1)


def restart_ramp(admission: Admission, now: Seconds) -> None:
    """Return to the first step, as after a cold start."""
    admission.ramp = Ramp(RAMP_STEPS[0], now)
    admission.bucket.tokens = min(admission.bucket.tokens, 1.0)


def advance_ramp(admission: Admission, verdict: ColdVerdict, now: Seconds) -> None:
    """Go to the next step if the present one was held long enough.

    A cold backend server returns to the first step instead, and its time there
    starts again.
    """
    if verdict is ColdVerdict.COLD:
        restart_ramp(admission, now)
        return
    factor = DOUBTFUL_STEP_FACTOR if verdict is ColdVerdict.DOUBTFUL else 1
    ramp = admission.ramp
    higher = [step for step in RAMP_STEPS if step > ramp.step]
    if higher and now - ramp.since >= RAMP_STEP_TIME * factor:
        admission.ramp = Ramp(higher[0], now)


def update_overload(admission: Admission, overflow_flows: int, now: Seconds) -> None:
    """Begin or end overload, with a gap between the two.

    :param overflow_flows: open flows that were passed on because of it.
    """
    load = admission.open_flows / allowed_flows(admission)
    if load >= OVERLOADED_SHARE:
        admission.overloaded = True
    if load >= RELIEVED_SHARE or overflow_flows > 0:
        admission.relieved_since = None
    elif admission.relieved_since is None:
        admission.relieved_since = now
    elif now - admission.relieved_since >= RELIEVED_TIME:
        admission.overloaded = False


def _take_token(admission: Admission, now: Seconds) -> bool:
    bucket, rate = admission.bucket, opening_rate(admission)
    elapsed = max(0.0, now - bucket.updated)
    # One second's worth may open at once, so that a burst is not refused needlessly.
    bucket.tokens = min(max(1.0, rate), bucket.tokens + elapsed * rate)
    bucket.updated = now
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
