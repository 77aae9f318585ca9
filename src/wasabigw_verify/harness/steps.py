"""Steps of a run at which a fault can be injected."""

from dataclasses import dataclass
from enum import Enum

from wasabigw.core.ids import BackendServerId, NodeId


class Step(Enum):
    """Event of a run at which a fault can be injected."""

    FLOW_OPENING = "flow opening"
    REQUEST_SENT = "request sent"
    ANSWER_UNDER_WAY = "answer under way"
    FLOW_CLOSING = "flow closing"
    CHANGE_PROPOSED = "change proposed"
    CHANGE_STORED = "change stored"
    CHANGE_COMMITTED = "change committed"
    CHANGE_APPLIED = "change applied"
    HANDOVER_BEGUN = "hand-over begun"
    HANDOVER_ENDED = "hand-over ended"
    SNAPSHOT_WRITTEN = "snapshot being written"
    START_UP = "start-up"


@dataclass(frozen=True, slots=True)
class StepParticipants:
    """Processes that take part in a step; ``None`` for kinds that do not."""

    balancer: NodeId | None = None
    voter: NodeId | None = None
    backend_server: BackendServerId | None = None
