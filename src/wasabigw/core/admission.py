"""Admission control of one backend server: flow limit, rate limit and ramp."""

import math
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.cold_start import ColdVerdict
from wasabigw.core.ids import Seconds
from wasabigw.core.numbers import MAX_EXACT_INTEGER
from wasabigw.core.timing import FULL_STEP, RAMP_STEP_TIME, RAMP_STEPS

OPENING_WINDOW = Seconds(10.0)
"""Time in which a backend server may open as many flows as its connection limit."""

DOUBTFUL_STEP_TIME_FACTOR = 4
"""Factor on the time of a ramp step while the cold-start verdict is doubtful.

The signal may come from one misleading endpoint, so the ramp slows down but never
stops.
"""

OVERLOAD_THRESHOLD = 0.9
OVERLOAD_CLEAR_THRESHOLD = 0.6
"""Shares of the allowed flows at which overload begins and may end."""

OVERLOAD_CLEAR_DELAY = Seconds(10.0)
"""Time below :data:`OVERLOAD_CLEAR_THRESHOLD` before overload ends.

With 4 slots, a single flow crosses both thresholds, and each change of the overload
state is an entry of the replicated log.
"""

_START = Seconds(0.0)


class AdmissionVerdict(Enum):
    """Result of the admission check for a new flow."""

    ADMITTED = "admitted"
    AT_LIMIT = "at-limit"
    RATE_LIMITED = "rate-limited"
    NOT_ANNOUNCED = "not-announced"
    TAKEOVER_WAIT = "takeover-wait"


@dataclass(slots=True)
class Ramp:
    """Current step of the slow start of a backend server.

    :param step: eighths of its capacity that the backend server may use.
    :param since: time at which the step began.
    """

    step: int
    since: Seconds


@dataclass(slots=True)
class TokenBucket:
    """Token bucket that limits the rate of new flows.

    :param tokens: new flows that may open at the time ``updated``.
    :param updated: time of the last refill.
    """

    tokens: float = 1.0
    updated: Seconds = _START


@dataclass(slots=True)
class Admission:
    """Open flows of one backend server and the limits on them.

    :param limit: open flows allowed at the full step.
    :param connections: connections allowed at the full step; the rate of new flows
        is this number per :data:`OPENING_WINDOW`.
    :param unrecorded_flows: flows that only the backend server knows of.
    :param previous_boot_flows: flows of earlier boots of the backend server that have
        not been released yet.
    :param below_threshold_since: when the load fell below
        :data:`OVERLOAD_CLEAR_THRESHOLD`; ``None`` if it has not, or if OVERFLOW
        candidates still hold flows.
    """

    limit: int
    connections: int
    ramp: Ramp
    open_flows: int = 0
    unrecorded_flows: int = 0
    previous_boot_flows: int = 0
    overloaded: bool = False
    below_threshold_since: Seconds | None = None
    token_bucket: TokenBucket = field(default_factory=TokenBucket)


def allowed_flows(admission: Admission) -> int:
    """Open flows allowed at the current ramp step, at least 1."""
    limit = min(admission.limit, MAX_EXACT_INTEGER)
    return max(1, math.ceil(limit * admission.ramp.step / FULL_STEP))


def opening_rate(admission: Admission) -> float:
    """New flows per second allowed at the current ramp step."""
    connections = min(admission.connections, MAX_EXACT_INTEGER)
    share = connections * admission.ramp.step / FULL_STEP
    return share / OPENING_WINDOW


def admit_flow(admission: Admission, now: Seconds) -> AdmissionVerdict:
    """Check the limits and, if they allow it, count a new flow as open."""
    if admission.open_flows + admission.unrecorded_flows >= allowed_flows(admission):
        return AdmissionVerdict.AT_LIMIT
    if not _take_token(admission, now):
        return AdmissionVerdict.RATE_LIMITED
    admission.open_flows += 1
    return AdmissionVerdict.ADMITTED


def release_flow(admission: Admission) -> None:
    """Count a flow as ended.

    Flows of earlier boots are released first: if such a flow were deducted from the
    open flows of the present boot, more flows than the limit could open.
    """
    if admission.previous_boot_flows > 0:
        admission.previous_boot_flows -= 1
        return
    admission.open_flows = max(0, admission.open_flows - 1)


def restart_ramp(admission: Admission, now: Seconds) -> None:
    """Return to the first ramp step, as after a cold start."""
    admission.ramp = Ramp(RAMP_STEPS[0], now)
    admission.token_bucket.tokens = min(admission.token_bucket.tokens, 1.0)


def advance_ramp(admission: Admission, verdict: ColdVerdict, now: Seconds) -> None:
    """Advance to the next ramp step once the current one has lasted long enough.

    If the backend server is cold, the ramp restarts at the first step instead.
    """
    if verdict is ColdVerdict.COLD:
        restart_ramp(admission, now)
        return
    factor = DOUBTFUL_STEP_TIME_FACTOR if verdict is ColdVerdict.DOUBTFUL else 1
    ramp = admission.ramp
    higher = [step for step in RAMP_STEPS if step > ramp.step]
    if higher and now - ramp.since >= RAMP_STEP_TIME * factor:
        admission.ramp = Ramp(higher[0], now)


def update_overload(admission: Admission, overflow_flows: int, now: Seconds) -> None:
    """Set or clear the overload state, with hysteresis.

    :param overflow_flows: open flows that were passed to OVERFLOW candidates.
    """
    load = admission.open_flows / allowed_flows(admission)
    if load >= OVERLOAD_THRESHOLD:
        admission.overloaded = True
    if load >= OVERLOAD_CLEAR_THRESHOLD or overflow_flows > 0:
        admission.below_threshold_since = None
    elif admission.below_threshold_since is None:
        admission.below_threshold_since = now
    elif now - admission.below_threshold_since >= OVERLOAD_CLEAR_DELAY:
        admission.overloaded = False


def _take_token(admission: Admission, now: Seconds) -> bool:
    bucket, rate = admission.token_bucket, opening_rate(admission)
    elapsed = max(0.0, now - bucket.updated)
    # The bucket holds one second of the rate, so that short bursts are admitted.
    bucket.tokens = min(max(1.0, rate), bucket.tokens + elapsed * rate)
    bucket.updated = now
    if bucket.tokens < 1.0:
        return False
    bucket.tokens -= 1.0
    return True
