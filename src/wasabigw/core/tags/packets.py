"""Packets of flows, independent of their encoding."""

from typing import NamedTuple

from wasabigw.core.ids import Tag

NO_TAG = Tag(0)
"""Tag of a packet whose caller has not received a tag yet."""


MAX_UNACKNOWLEDGED_BYTES = 16 * 1200
"""Most bytes that an end of a flow sends before they are acknowledged."""
SEQUENCE_NUMBERS = 2**32


class FlowId(NamedTuple):
    """Both endpoints of a flow; IPv4 addresses are integers."""

    caller: int
    caller_port: int
    listener: int
    listener_port: int


class FlowPacket(NamedTuple):
    """A packet from a caller.

    :param repeat: how often an opening packet was transmitted before.
    :param acknowledged: acknowledgement number, or 0 in an opening packet.
    """

    flow: FlowId
    tag: Tag
    is_opening: bool
    is_closing: bool
    is_reset: bool
    repeat: int
    sequence: int
    acknowledged: int
    length: int


def sequence_distance(start: int, end: int) -> int:
    """How far ``end`` is ahead of ``start``; negative if it is behind."""
    distance = (end - start) % SEQUENCE_NUMBERS
    return distance - SEQUENCE_NUMBERS if distance > SEQUENCE_NUMBERS // 2 else distance
