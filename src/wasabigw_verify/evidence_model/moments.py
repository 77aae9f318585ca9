"""Moments of a check at which a disturbance may begin."""

from enum import Enum


class Moment(Enum):
    """When a disturbance begins."""

    TIME = "at its time"
    CHECK_REQUESTED = "when a balancer next requests a check of a host"
    CHECK_ENDED = "when a check next ends, before the balancer takes its result"
