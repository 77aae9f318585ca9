"""Records of the replicated state that delivery by tags needs."""

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
    """One boot of a backend server that is addressed by its tag.

    :param started_at: start of the boot in Unix milliseconds of its own clock; of two
        boots with the same id or endpoint that announce themselves, the later one gets
        the new flows.
    :param silent: whether it gets no new flows, because it no longer announces itself
        or another boot is preferred; its flows continue.
    :param cold_for: how long after its last change it can take only few new flows.
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

    :param version: the document with the highest version is in force.
    :param text: the document as the operator wrote it, compressed.
    """

    version: int
    text: CompressedText
