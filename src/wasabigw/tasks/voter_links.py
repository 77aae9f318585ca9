"""Links of a voter to the other control VMs."""

from collections.abc import Mapping
from contextlib import AbstractContextManager
from types import TracebackType
from typing import Any, Protocol, Self

from wasabigw.core.consensus.messages import Envelope
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import NodeId
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.traffic import TrafficMailbox
from wasabigw.tasks.voter_link import VoterLink, make_voter_link

MAX_LINKS = 32
"""Links open at the same time; the least recently used one is closed first."""


class VoterLinks(Protocol):
    """Sends messages to other control VMs."""

    def send(
        self, recipient: NodeId, endpoint: Endpoint | None, envelope: Envelope
    ) -> None:
        """Send a message, which may be lost.

        :param endpoint: control API of the recipient; ``None`` if it is not known.
        """


class FixedLinks:
    """Links to the fixed set of voters that the settings list.

    :param links: mailbox of the link to each voter.
    """

    def __init__(self, links: Mapping[NodeId, Mailbox[Any]]) -> None:
        self._links = links

    def send(
        self, recipient: NodeId, endpoint: Endpoint | None, envelope: Envelope
    ) -> None:
        """Send a message; the voter repeats messages that a full mailbox drops."""
        self._links[recipient].post(envelope)


class OpenLinks(AbstractContextManager["OpenLinks"]):
    """Links that are opened on the first message to a control VM.

    Only the voter task may call :meth:`send`, which is not thread-safe.

    :param voter: mailbox of the voter task, which receives the responses.
    """

    def __init__(self, voter: Mailbox[Any], traffic: TrafficMailbox) -> None:
        self._voter = voter
        self._traffic = traffic
        self._links: dict[NodeId, VoterLink] = {}
        self._endpoints: dict[NodeId, Endpoint] = {}

    def send(
        self, recipient: NodeId, endpoint: Endpoint | None, envelope: Envelope
    ) -> None:
        """Send a message; open a new link if the endpoint is new or has changed."""
        if endpoint is None:
            return
        if self._endpoints.get(recipient) != endpoint:
            self._close(recipient)
            self._open(recipient, endpoint)
        link = self._links.pop(recipient)
        self._links[recipient] = link
        link.mailbox.post(envelope)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for name in list(self._links):
            self._close(name)

    def _open(self, recipient: NodeId, endpoint: Endpoint) -> None:
        if len(self._links) >= MAX_LINKS:
            self._close(next(iter(self._links)))
        link = make_voter_link(recipient, endpoint, self._voter, self._traffic)
        link.__enter__()
        self._links[recipient] = link
        self._endpoints[recipient] = endpoint

    def _close(self, recipient: NodeId) -> None:
        self._endpoints.pop(recipient, None)
        link = self._links.pop(recipient, None)
        if link is not None:
            link.request_stop()
