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
  connections. It counts as unreachable only if all reference hosts accept and belong
  to the same service, because backend servers need not accept connections, and not if
  its backend server is draining, as that may have stopped accepting them.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds, Tag

ATTEMPTS = 6
"""Connection attempts to each host of a check; packets may be lost."""
ATTEMPT_INTERVAL = Seconds(0.05)
RESPONSE_TIME = Seconds(0.15)
"""Time from the last attempt to the result, for a round trip between regions."""
CHECK_DURATION = Seconds((ATTEMPTS - 1) * ATTEMPT_INTERVAL + RESPONSE_TIME)
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

    :param references: endpoints on other hosts that are expected to respond.
    :param refusal_counts: whether the backend server would accept connections if the
        references do.
    """

    tag: Tag
    endpoint: Endpoint
    references: tuple[Endpoint, ...]
    refusal_counts: bool


@dataclass(frozen=True, slots=True)
class HostChecked:
    """Result of a check.

    :param started_at: when the first attempt was made.
    :param ended_at: when the attempts were evaluated.
    """

    tag: Tag
    status: HostStatus
    started_at: Seconds
    ended_at: Seconds


def status_of(
    attempts: Sequence[Attempt],
    references: Iterable[Attempt],
    refusal_counts: bool,
    lateness: Seconds,
) -> HostStatus:
    """Status of a host after all attempts of a check.

    :param refusal_counts: that of the check.
    :param lateness: time from the end of the check to its evaluation.
    """
    if Attempt.ACCEPTED in attempts:
        return HostStatus.REACHABLE
    if lateness > MAX_LATENESS or Attempt.FAILED in attempts:
        return HostStatus.UNKNOWN
    is_refused = Attempt.REFUSED in attempts
    if is_refused and not refusal_counts:
        return HostStatus.UNKNOWN
    expected = frozenset((Attempt.ACCEPTED,)) if is_refused else _RESPONSES
    if all(reference in expected for reference in references):
        return HostStatus.UNREACHABLE
    return HostStatus.UNKNOWN
