"""Detection of backend servers that have become cold without announcing it.

A cold verdict needs at least two active signals, and the balancer itself must have
observed one of them. A single endpoint can lag or mislead, and load and readiness
arrive together in one announcement.
"""

import statistics
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.ids import Seconds

RECENT_OPENINGS = 20
MIN_OPENINGS = 5
"""Openings needed before their failure rate or median latency is evaluated."""
MAX_SIGNAL_AGE = Seconds(30.0)
"""Age up to which an opening or a shed response counts."""

FAILURE_THRESHOLD = 0.2
FAILURE_CLEAR_THRESHOLD = 0.1
"""Shares of failed openings above which the signal is set, and kept once it is set."""
SLOW_THRESHOLD_FACTOR = 4.0
SLOW_CLEAR_FACTOR = 2.0
"""The same for the median latency, as factors on the baseline."""
MIN_RECENT_SHEDS = 4
"""Shed responses within :data:`MAX_SIGNAL_AGE` that set the signal."""

BASELINE_SAMPLE = 8
"""One answered opening in this many enters the baseline of latencies."""
BASELINE_SIZE = 128

_NO_TIME = Seconds(0.0)


class OpeningResult(Enum):
    """How a backend server responded to the opening of a flow."""

    ANSWERED = "answered"
    REFUSED = "refused"
    TIMED_OUT = "timed-out"


@dataclass(frozen=True, slots=True)
class OpeningSignal:
    """Outcome of the opening of one flow.

    :param latency: seconds from the opening packet to the response, or to the
        timeout.
    """

    result: OpeningResult
    latency: Seconds = _NO_TIME


class ColdSignal(Enum):
    """Symptoms of a cold backend server."""

    OPENINGS_FAIL = "openings-fail"
    OPENINGS_SLOW = "openings-slow"
    SHEDS = "sheds"
    LOAD_BAD = "load-bad"
    READINESS_LOW = "readiness-low"


_OBSERVED_SIGNALS = frozenset(
    {ColdSignal.OPENINGS_FAIL, ColdSignal.OPENINGS_SLOW, ColdSignal.SHEDS}
)
"""Signals that the balancer observes; the others come from announcements."""


class ColdVerdict(Enum):
    """Verdict from all signals."""

    WARM = "warm"
    DOUBTFUL = "doubtful"
    """Signals are active, but too few or none that the balancer observed."""
    COLD = "cold"
    """At least two signals are active, and the balancer observed one of them."""


@dataclass(frozen=True, slots=True)
class _Opening:
    at: Seconds
    signal: OpeningSignal


@dataclass(slots=True)
class ColdStartDetector:
    """Bounded history of the signals of one backend server.

    :param answered: number of answered openings; selects those for the baseline.
    :param active_signals: signals that are set; they are cleared with hysteresis.
    """

    openings: deque[_Opening] = field(
        default_factory=lambda: deque(maxlen=RECENT_OPENINGS)
    )
    sheds: deque[Seconds] = field(default_factory=lambda: deque(maxlen=RECENT_OPENINGS))
    baseline: deque[Seconds] = field(
        default_factory=lambda: deque(maxlen=BASELINE_SIZE)
    )
    answered: int = 0
    active_signals: set[ColdSignal] = field(default_factory=set)


def add_opening(
    detector: ColdStartDetector, signal: OpeningSignal, now: Seconds
) -> None:
    """Record the outcome of an opening."""
    detector.openings.append(_Opening(now, signal))
    if signal.result is not OpeningResult.ANSWERED:
        return
    if detector.answered % BASELINE_SAMPLE == 0:
        detector.baseline.append(signal.latency)
    detector.answered += 1


def add_shed(detector: ColdStartDetector, now: Seconds) -> None:
    """Record that the backend server shed a request."""
    detector.sheds.append(now)


def report_load(detector: ColdStartDetector, bad: bool) -> None:
    """Record the result of the load and health endpoint."""
    _set_signal(detector, ColdSignal.LOAD_BAD, bad)


def report_readiness(detector: ColdStartDetector, low: bool) -> None:
    """Record the result of the readiness endpoint."""
    _set_signal(detector, ColdSignal.READINESS_LOW, low)


def verdict(detector: ColdStartDetector, now: Seconds) -> ColdVerdict:
    """Evaluate the signals at a time."""
    _evaluate_openings(detector, now)
    _evaluate_sheds(detector, now)
    if len(detector.active_signals) > 1 and not detector.active_signals.isdisjoint(
        _OBSERVED_SIGNALS
    ):
        return ColdVerdict.COLD
    return ColdVerdict.DOUBTFUL if detector.active_signals else ColdVerdict.WARM


def clear_evidence(detector: ColdStartDetector) -> None:
    """Clear recent signals, so that the next cold verdict needs new ones."""
    detector.openings.clear()
    detector.sheds.clear()
    detector.active_signals.clear()


def _evaluate_openings(detector: ColdStartDetector, now: Seconds) -> None:
    recent = [o.signal for o in detector.openings if now - o.at <= MAX_SIGNAL_AGE]
    if len(recent) < MIN_OPENINGS:
        detector.active_signals.discard(ColdSignal.OPENINGS_FAIL)
        detector.active_signals.discard(ColdSignal.OPENINGS_SLOW)
        return
    answered = [s.latency for s in recent if s.result is OpeningResult.ANSWERED]
    share = 1 - len(answered) / len(recent)
    was_failing = ColdSignal.OPENINGS_FAIL in detector.active_signals
    limit = FAILURE_CLEAR_THRESHOLD if was_failing else FAILURE_THRESHOLD
    _set_signal(detector, ColdSignal.OPENINGS_FAIL, share > limit)
    _evaluate_latency(detector, answered)


def _evaluate_latency(detector: ColdStartDetector, answered: list[Seconds]) -> None:
    if min(len(answered), len(detector.baseline)) < MIN_OPENINGS:
        detector.active_signals.discard(ColdSignal.OPENINGS_SLOW)
        return
    was_slow = ColdSignal.OPENINGS_SLOW in detector.active_signals
    factor = SLOW_CLEAR_FACTOR if was_slow else SLOW_THRESHOLD_FACTOR
    baseline = statistics.median(detector.baseline)
    is_slow = statistics.median(answered) > factor * baseline
    _set_signal(detector, ColdSignal.OPENINGS_SLOW, is_slow)


def _evaluate_sheds(detector: ColdStartDetector, now: Seconds) -> None:
    recent = [at for at in detector.sheds if now - at <= MAX_SIGNAL_AGE]
    _set_signal(detector, ColdSignal.SHEDS, len(recent) >= MIN_RECENT_SHEDS)


def _set_signal(detector: ColdStartDetector, signal: ColdSignal, active: bool) -> None:
    if active:
        detector.active_signals.add(signal)
    else:
        detector.active_signals.discard(signal)
