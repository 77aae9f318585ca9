"""Packets of flows as the decisions see them, whatever their encoding is."""

from typing import NamedTuple

from wasabigw.core.ids import Tag

NO_TAG = Tag(0)
"""Tag of a packet whose sender has not yet received one."""


class FlowId(NamedTuple):
    """Both ends of a flow; addresses are IPv4 addresses as numbers."""

    caller: int
    caller_port: int
    listener: int
    listener_port: int


class FlowPacket(NamedTuple):
    """A packet from a caller.

    :param repeat: for an opening packet, how many copies were sent before it.
    :param acknowledged: what the caller has received, or 0 in an opening packet.
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
