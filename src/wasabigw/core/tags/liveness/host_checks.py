"""Checks of the hosts of backend servers that do not answer callers.

What backend servers send bypasses the balancer, so a retransmission has many causes
besides a lost backend server: delay or loss on any path, also at the balancer itself,
or a backend server that is slow or acknowledges every second packet. A host that is up
resets the flows of a backend server that has ended. A balancer therefore has to reset
flows only if the host itself is gone, or cut off from the balancer, and must be sure
of that, because a reset can't be taken back.

It makes several connection attempts to the host. If one is accepted, the host is up.
Otherwise the result depends on attempts to reference hosts, which are made at the same
moments. Those in the failure domain of the checked host share its path, those elsewhere
show that the balancer and its link work:

- A host that does not respond is unreachable if all references respond.
- If no reference in its failure domain responds and all elsewhere do, the failure
  domain is gone or cut off from this balancer, and the host with it.
- If only some attempts have a response, the path or the balancer loses packets, and
  nothing is known.
- A host that responds at an unused port is up, and nothing is known: if its queue of
  new connections is full, it drops attempts while packets of flows still arrive.
- A host that refuses has no backend server any more, or something on the way rejects
  connections. Only accepted attempts count as responses of references then, and those
  elsewhere, or all if there are none, must belong to the same service, because backend
  servers need not accept connections. If the whole failure domain refuses, it must not
  have answered callers meanwhile. A refusal does not count if the backend server is
  draining, as that may have stopped accepting them.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, Seconds, Tag

ATTEMPTS = 12
"""Connection attempts to the checked host.

Where 30 % of the packets are lost in each direction, a sound host answers none of them
with a probability of (1 - 0.7 * 0.7) ** 12 = 0.0003. No reference excludes loss on the
last link of the host, or on the way to the only host of a failure domain.
"""
REFERENCE_ATTEMPTS = 6
"""Connection attempts to each reference, in every second round of attempts."""
UNUSED_PORT = 1
"""Port of the checked host for attempts that show whether the host is up.

Assigned to a service that is hardly used any more (tcpmux, RFC 1078).
"""
FIRST_UNUSED_ROUND = ATTEMPTS // 2
"""First round of attempts in which that port may be tried."""
ATTEMPTS_DURATION = Seconds(0.25)
"""Time from the first attempt to the last one, which begins the last round."""
ATTEMPT_INTERVAL = Seconds(ATTEMPTS_DURATION / (ATTEMPTS - 1))
RESPONSE_TIME = Seconds(0.15)
"""Time from the last attempt to the result, for a round trip between regions."""
CHECK_DURATION = Seconds(ATTEMPTS_DURATION + RESPONSE_TIME)
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


_ACCEPTED = frozenset((Attempt.ACCEPTED,))
_RESPONSES = _ACCEPTED | {Attempt.REFUSED}


class HostStatus(Enum):
    """Result of a check."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Reference:
    """A backend server on another host, to which attempts are made for comparison."""

    endpoint: Endpoint
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class HostCheck:
    """Request to check a host.

    :param refusal_counts: whether the backend server would accept connections if all
        references do.
    :param domain_refusal_counts: whether it would if only those in other failure
        domains do.
    """

    tag: Tag
    endpoint: Endpoint
    failure_domain: FailureDomainId
    references: tuple[Reference, ...]
    refusal_counts: bool
    domain_refusal_counts: bool

    def is_on_path(self, reference: Reference) -> bool:
        """Whether a reference shares the failure domain of the host."""
        return reference.failure_domain == self.failure_domain

    def references_in_round(self, number: int) -> tuple[Reference, ...]:
        """References that are tried in a round of attempts.

        :param number: number of the round, from 0.
        """
        return self.references if _is_compared(number) else ()

    def unused_in_round(self, number: int) -> tuple[Endpoint, ...]:
        """Unused endpoints of the host that are tried in a round of attempts.

        The first rounds have none: most hosts that are up accept a connection by then,
        and a balancer whose link is behind doubts many hosts at once.

        :param number: number of the round, from 0.
        """
        if number < FIRST_UNUSED_ROUND or _is_compared(number):
            return ()
        return (Endpoint(self.endpoint.address, UNUSED_PORT),)


def _is_compared(number: int) -> bool:
    return number % (ATTEMPTS // REFERENCE_ATTEMPTS) == 0


@dataclass(frozen=True, slots=True)
class CheckAttempts:
    """Attempts of a check.

    :param host: those to the checked host.
    :param on_path: those to references in its failure domain.
    :param elsewhere: those to references in other failure domains.
    :param unused: those to an unused port of the checked host.
    """

    host: Sequence[Attempt]
    on_path: Sequence[Attempt]
    elsewhere: Sequence[Attempt]
    unused: Sequence[Attempt] = ()


@dataclass(frozen=True, slots=True)
class HostChecked:
    """Result of a check.

    :param started_at: when the first attempt was made.
    :param ended_at: when the attempts were evaluated.
    :param is_refused: whether the host refused connections.
    """

    tag: Tag
    status: HostStatus
    started_at: Seconds
    ended_at: Seconds
    is_refused: bool = False


def attempts_by_group(
    check: HostCheck,
    host: Sequence[Attempt],
    references: Sequence[tuple[Reference, Attempt]],
    unused: Sequence[Attempt] = (),
) -> CheckAttempts:
    """Attempts of a check, those to references by their place."""
    on_path = [attempt for to, attempt in references if check.is_on_path(to)]
    elsewhere = [attempt for to, attempt in references if not check.is_on_path(to)]
    return CheckAttempts(host, on_path, elsewhere, unused)


def status_of(check: HostCheck, made: CheckAttempts, lateness: Seconds) -> HostStatus:
    """Status of a host after all attempts of a check.

    :param lateness: time from the end of the check to its evaluation.
    """
    if Attempt.ACCEPTED in made.host:
        return HostStatus.REACHABLE
    if lateness > MAX_LATENESS or _is_any_not_made(made):
        return HostStatus.UNKNOWN
    if Attempt.REFUSED not in made.host:
        # An error, such as an ICMP rejection by a firewall, is no silence either.
        is_up = any(attempt is not Attempt.PENDING for attempt in made.unused)
        return HostStatus.UNKNOWN if is_up else _status_compared(made, _RESPONSES)
    is_domain_rejected = bool(made.on_path) and Attempt.ACCEPTED not in made.on_path
    counts = check.domain_refusal_counts if is_domain_rejected else check.refusal_counts
    return _status_compared(made, _ACCEPTED) if counts else HostStatus.UNKNOWN


def _is_any_not_made(made: CheckAttempts) -> bool:
    groups = (made.host, made.on_path, made.elsewhere)
    return any(Attempt.FAILED in group for group in groups)


def _status_compared(made: CheckAttempts, responses: Collection[Attempt]) -> HostStatus:
    """Status of a host that accepts no connection.

    :param responses: states of attempts that count as a response of a reference.
    """
    on_path = [attempt in responses for attempt in made.on_path]
    elsewhere = [attempt in responses for attempt in made.elsewhere]
    if not all(elsewhere):
        return HostStatus.UNKNOWN
    is_path_sound = bool(on_path) and all(on_path)
    is_domain_gone = bool(elsewhere) and not any(on_path)
    if is_path_sound or is_domain_gone:
        return HostStatus.UNREACHABLE
    return HostStatus.UNKNOWN
