"""Weights of backend servers by the time to the first answer.

A weight is the speed relative to the median of the service. Time in the queue of a
backend server would make a loaded one seem slow, which then gets fewer flows, seems
fast, and gets too many. The utilization law (Denning and Buzen, 1978) bounds this: a
backend server can't work for longer than all its slots during the window.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from statistics import median

from wasabigw.core.ids import Seconds, Tag
from wasabigw.core.load.figures import COUNT_WINDOW, ServerFigures

MIN_WEIGHT = 0.125
"""Weight of the slowest, which still gets flows that show its recovery."""
MAX_WEIGHT = 2.5
"""Weight of the fastest; one that fails at once seems fast as well."""
MIN_ANSWERS = 5.0
"""Answers, with older ones counted in part, from which a backend server is judged."""
HALF_LIFE = Seconds(4.0)
"""Time after which an answer counts half."""
MAX_OLDER_ANSWERS = 30.0
"""Answers of earlier figures that count at most, so that many answers judge at once."""
HYSTERESIS = 1.15
"""Factor by which the speed must differ from the weight to change it."""
RECOVERY_TIME = Seconds(4.0)
"""Time in which a low weight doubles while there are too few answers to judge."""
MAX_ELAPSED = Seconds(60.0)
"""Time without figures after which all earlier ones are forgotten."""
SLOW_WEIGHT = 0.5
"""Weight below which a backend server is reported as slow."""
RECOVERED_WEIGHT = 0.8
"""Weight above which a slow one is reported as recovered."""
QUEUE_FACTOR = 2.0
"""Requests in flight for each slot above which a backend server gets fewer flows.

A queue of this length is gone before its figures arrive, unless the cause persists.
"""


@dataclass(slots=True)
class Speed:
    """Recent answers of a backend server, and the weight that follows from them.

    :param answers: answers, with older ones counted in part.
    :param busy_time: time for which slots were busy with these answers.
    :param is_slow: whether it is reported as slow.
    """

    answers: float = 0.0
    busy_time: float = 0.0
    weight: float = 1.0
    is_slow: bool = False

    @property
    def is_judged(self) -> bool:
        """Whether there are enough answers to judge its speed."""
        return self.answers >= MIN_ANSWERS

    @property
    def service_time(self) -> float:
        """Mean time of a request in a slot."""
        return self.busy_time / self.answers


def record_figures(
    speed: Speed, figures: ServerFigures | None, slots: int, elapsed: Seconds
) -> None:
    """Add the answers of new figures and let older ones count less.

    :param figures: ``None`` if there are none for this backend server.
    :param elapsed: time between the measurement of these figures and the ones before.
    """
    kept = 0.5 ** (elapsed / HALF_LIFE)
    if speed.answers > 0:
        kept = min(kept, MAX_OLDER_ANSWERS / speed.answers)
    speed.answers *= kept
    speed.busy_time *= kept
    if figures is None:
        return
    if figures.answers > 0:
        speed.answers += figures.answers
        speed.busy_time += min(figures.answer_time, slots * COUNT_WINDOW)
    elif figures.in_flight > 0:
        # No answer during the whole window, so each request takes at least that long.
        speed.answers += figures.in_flight
        speed.busy_time += figures.in_flight * COUNT_WINDOW


def is_alike(speed: Speed, other: Speed) -> bool:
    """Whether a backend server needs no speed of its own beside a common one."""
    is_close = 1 / HYSTERESIS < speed.weight / other.weight < HYSTERESIS
    return is_close and not speed.is_slow


def expected_capacity(weight: float, in_flight: float, slots: int) -> float:
    """Slots weighted by speed, less if many requests were in flight."""
    by_queue = min(1.0, QUEUE_FACTOR * slots / (max(in_flight, 0) + 1))
    return slots * max(weight * by_queue, MIN_WEIGHT)


def update_weights(speeds: Mapping[Tag, Speed], elapsed: Seconds) -> list[Tag]:
    """Update the weights of the backend servers of a service.

    :returns: those that have become slow or recovered.
    """
    typical = typical_service_time(speeds)
    changed = []
    # Several backend servers may share one speed.
    distinct = {id(speed): (tag, speed) for tag, speed in speeds.items()}
    for tag, speed in distinct.values():
        _update_weight(speed, typical, elapsed)
        is_slow = speed.weight < (RECOVERED_WEIGHT if speed.is_slow else SLOW_WEIGHT)
        if is_slow is not speed.is_slow:
            speed.is_slow = is_slow
            changed.append(tag)
    return changed


def typical_service_time(speeds: Mapping[Tag, Speed]) -> float | None:
    """Median of the mean times of a request in a slot; ``None`` if none is known."""
    times = [speed.service_time for speed in speeds.values() if speed.is_judged]
    return median(times) if times else None


def _update_weight(speed: Speed, typical: float | None, elapsed: Seconds) -> None:
    if typical is None or not speed.is_judged:
        recovered = speed.weight * 2 ** (min(elapsed, MAX_ELAPSED) / RECOVERY_TIME)
        speed.weight = min(recovered, 1.0)
        return
    if speed.service_time <= 0 or typical <= 0:
        target = 1.0
    else:
        target = typical / speed.service_time
    target = min(max(target, MIN_WEIGHT), MAX_WEIGHT)
    if not 1 / HYSTERESIS < target / speed.weight < HYSTERESIS:
        speed.weight = target
