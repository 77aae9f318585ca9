"""Whether a backend server has become cold without saying so.

At least two signals must be bad, and the balancer itself must have observed one of
them. A single endpoint can lag or mislead, and load and readiness arrive together in
one announcement.
"""

import statistics
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.ids import Seconds

RECENT_OPENINGS = 20
LEAST_OPENINGS = 5
"""Openings that are needed before a share or a median of them counts."""
SIGNAL_AGE = Seconds(30.0)
"""Age from which an opening or a shed response no longer counts."""

FAILING_SHARE = 0.2
RECOVERED_SHARE = 0.1
SLOW_FACTOR = 4.0
RECOVERED_FACTOR = 2.0
MIN_RECENT_SHEDS = 4
"""Shed responses among the recent ones that count as a bad signal."""

BASELINE_SAMPLE = 8
"""One answered opening in this many enters the long-run latencies."""
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
    """Hints that a backend server is cold."""

    OPENINGS_FAIL = "openings-fail"
    OPENINGS_SLOW = "openings-slow"
    SHEDS = "sheds"
    LOAD_BAD = "load-bad"
    READINESS_LOW = "readiness-low"


_OBSERVED = frozenset(
    {ColdSignal.OPENINGS_FAIL, ColdSignal.OPENINGS_SLOW, ColdSignal.SHEDS}
)
"""Signals that the balancer observes; the others are what the announcement says."""


class ColdVerdict(Enum):
    """What the signals say together."""

    WARM = "warm"
    DOUBTFUL = "doubtful"
    """Signals are bad, but not enough of them, or none that was observed."""
    COLD = "cold"
    """At least two signals are bad, and one of them was observed."""


@dataclass(frozen=True, slots=True)
class _Opening:
    at: Seconds
    signal: OpeningSignal


@dataclass(slots=True)
class ColdStartDetector:
    """Bounded history of the signals of one backend server.

    :param bad: signals that are bad, with a gap between turning bad and good.
    """

    openings: deque[_Opening] = field(
        default_factory=lambda: deque(maxlen=RECENT_OPENINGS)
    )
    sheds: deque[Seconds] = field(default_factory=lambda: deque(maxlen=RECENT_OPENINGS))
    baseline: deque[Seconds] = field(
        default_factory=lambda: deque(maxlen=BASELINE_SIZE)
    )
    answered: int = 0
    bad: set[ColdSignal] = field(default_factory=set)


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
    """Record what the load and health endpoint says."""
    _set(detector, ColdSignal.LOAD_BAD, bad)


def report_readiness(detector: ColdStartDetector, low: bool) -> None:
    """Record what the readiness endpoint says."""
    _set(detector, ColdSignal.READINESS_LOW, low)


def verdict(detector: ColdStartDetector, now: Seconds) -> ColdVerdict:
    """What the signals say at a time."""
    _judge_openings(detector, now)
    _judge_sheds(detector, now)
    if len(detector.bad) > 1 and not detector.bad.isdisjoint(_OBSERVED):
        return ColdVerdict.COLD
    return ColdVerdict.DOUBTFUL if detector.bad else ColdVerdict.WARM


def forget_recent(detector: ColdStartDetector) -> None:
    """Drop what led to a verdict, so that the next one needs new evidence."""
    detector.openings.clear()
    detector.sheds.clear()
    detector.bad.clear()


def _judge_openings(detector: ColdStartDetector, now: Seconds) -> None:
    recent = [o.signal for o in detector.openings if now - o.at <= SIGNAL_AGE]
    if len(recent) < LEAST_OPENINGS:
        detector.bad.discard(ColdSignal.OPENINGS_FAIL)
        detector.bad.discard(ColdSignal.OPENINGS_SLOW)
        return
    answered = [s.latency for s in recent if s.result is OpeningResult.ANSWERED]
    share = 1 - len(answered) / len(recent)
    failing = ColdSignal.OPENINGS_FAIL in detector.bad
    limit = RECOVERED_SHARE if failing else FAILING_SHARE
    _set(detector, ColdSignal.OPENINGS_FAIL, share > limit)
    _judge_latency(detector, answered)


def _judge_latency(detector: ColdStartDetector, answered: list[Seconds]) -> None:
    if min(len(answered), len(detector.baseline)) < LEAST_OPENINGS:
        detector.bad.discard(ColdSignal.OPENINGS_SLOW)
        return
    slow = ColdSignal.OPENINGS_SLOW in detector.bad
    factor = RECOVERED_FACTOR if slow else SLOW_FACTOR
    usual = statistics.median(detector.baseline)
    now_slow = statistics.median(answered) > factor * usual
    _set(detector, ColdSignal.OPENINGS_SLOW, now_slow)


def _judge_sheds(detector: ColdStartDetector, now: Seconds) -> None:
    recent = [at for at in detector.sheds if now - at <= SIGNAL_AGE]
    _set(detector, ColdSignal.SHEDS, len(recent) >= MIN_RECENT_SHEDS)


def _set(detector: ColdStartDetector, signal: ColdSignal, bad: bool) -> None:
    if bad:
        detector.bad.add(signal)
    else:
        detector.bad.discard(signal)
