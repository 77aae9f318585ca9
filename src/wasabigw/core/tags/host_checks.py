"""Checks of the hosts of backend servers that do not answer callers.

What backend servers send bypasses the balancer, so a retransmission has many causes
besides a lost backend server: delay or loss on any path, also at the balancer itself,
or a backend server that is slow or acknowledges every second packet. A host that is up
resets the flows of a backend server that has ended. A balancer therefore has to reset
flows only if the host itself is gone, or cut off from the balancer, and must be sure
of that, because a reset can't be taken back.

It makes several connection attempts to the host. As many attempts to reference hosts,
which answered callers lately, are made at the same moments. If one to the checked host
is accepted, it is up. Otherwise the result depends on the reference hosts, because a
fault at the balancer or its link would affect their attempts as well:

- A host that does not respond is unreachable if all reference hosts respond.
- A host that refuses has no backend server any more, or something on the way rejects
  connections. It counts as unreachable only if all reference hosts accept, because
  backend servers need not accept connections.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, Tag

ATTEMPTS = 3
"""Connection attempts to each host of a check; packets may be lost."""
ATTEMPT_INTERVAL = Seconds(0.1)
CHECK_DURATION = Seconds(0.4)
"""Time from the first attempt to the result; callers retransmit twice within it."""
MAX_LATENESS = Seconds(0.1)
"""Delay of a result beyond which it is discarded: the balancer may have been paused."""


class Attempt(Enum):
    """State of a connection attempt."""

    PENDING = "no response"
    ACCEPTED = "accepted"
    REFUSED = "refused"
    FAILED = "not made"
    """The system of the balancer did not allow it."""


_RESPONSES = frozenset((Attempt.ACCEPTED, Attempt.REFUSED))


class HostStatus(Enum):
    """Result of a check."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class HostCheck:
    """Request to check a host.

    :param references: endpoints on other hosts that are expected to answer.
    """

    tag: Tag
    endpoint: Endpoint
    references: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class HostChecked:
    """Result of a check.

    :param started_at: when the first attempt was made.
    """

    tag: Tag
    status: HostStatus
    started_at: Seconds


def status_of(
    attempts: Sequence[Attempt], references: Iterable[Attempt], lateness: Seconds
) -> HostStatus:
    """Status of a host after all attempts of a check.

    :param lateness: time from the end of the check to its evaluation.
    """
    if Attempt.ACCEPTED in attempts:
        return HostStatus.REACHABLE
    if lateness > MAX_LATENESS or Attempt.FAILED in attempts:
        return HostStatus.UNKNOWN
    is_refused = Attempt.REFUSED in attempts
    expected = frozenset((Attempt.ACCEPTED,)) if is_refused else _RESPONSES
    if all(reference in expected for reference in references):
        return HostStatus.UNREACHABLE
    return HostStatus.UNKNOWN
