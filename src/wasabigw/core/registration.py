"""What the replicated state holds for delivery by tags."""

from dataclasses import dataclass

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    NO_REVISION,
    BackendServerId,
    CompressedText,
    FailureDomainId,
    Revision,
    Seconds,
    ServiceId,
    Tag,
)
from wasabigw.core.states import RegistrationState


@dataclass(frozen=True, slots=True)
class Registration:
    """One boot of a backend server that is reached by its tag.

    :param started_at: when the boot started, in Unix milliseconds of its own clock;
        of two boots of one id or at one endpoint, the later one is alive.
    :param silent: it has not announced itself for a lease; its flows go on, but it
        gets no new ones.
    :param cold_for: how long after its last change it bears only a few new flows.
    :param changed_at: revision of the last change.
    """

    tag: Tag
    id: BackendServerId
    service: ServiceId
    failure_domain: FailureDomainId
    endpoint: Endpoint
    started_at: int
    slots: int
    state: RegistrationState = RegistrationState.SERVING
    silent: bool = False
    cold_for: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float
    changed_at: Revision = NO_REVISION


@dataclass(frozen=True, slots=True)
class DeclaredDocument:
    """Configuration as an operator declared it.

    :param version: the highest one is in force.
    :param text: the document as it was written, compressed.
    """

    version: int
    text: CompressedText
