"""Packets of a run: the event for the balancers, and the content for both ends."""

from dataclasses import dataclass
from typing import Any

from wasabigw.core.flows.events import (
    AnswerClosing,
    AnswerData,
    AnswerEvent,
    AnswerOpened,
    CallerEvent,
    FlowOpened,
)
from wasabigw.core.ids import RequestId

ANSWER_PARTS = 3


@dataclass(frozen=True, slots=True)
class RequestPayload:
    """A request on a flow.

    :param number: position in the flow, which identifies retransmissions.
    """

    number: int
    request: RequestId
    attempt: int


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """One of :data:`ANSWER_PARTS` parts of an answer."""

    payload: RequestPayload
    index: int

    @property
    def data(self) -> bytes:
        """Content, unique to this part."""
        return f"{self.payload.request}:{self.index};".encode()


@dataclass(frozen=True, slots=True)
class Packet:
    """A packet in transit; the balancer that receives it sets the time of the event."""

    event: CallerEvent | AnswerEvent
    content: Any = None

    @property
    def is_answer(self) -> bool:
        """Whether a backend server sent it."""
        return isinstance(self.event, AnswerOpened | AnswerData | AnswerClosing)

    @property
    def opens(self) -> bool:
        """Whether it is the opening packet of a flow."""
        return isinstance(self.event, FlowOpened)
