"""Packets of flows, independent of their encoding."""

from typing import NamedTuple

from wasabigw.core.ids import Tag

NO_TAG = Tag(0)
"""Tag of a packet whose caller has not received a tag yet."""


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
