"""What callers of a listener need, as operators declare it."""

from dataclasses import dataclass
from typing import NewType

from wasabigw.core.ids import Seconds

Priority = NewType("Priority", int)
"""Rank of a kind of request when room is short; 0 is the most urgent."""
MAX_PRIORITY = Priority(9)


@dataclass(frozen=True, slots=True)
class Requirements:
    """Requirements of the requests on a listener's flows.

    :param latency_objective: time within which a request should be answered.
    """

    priority: Priority
    latency_objective: Seconds
