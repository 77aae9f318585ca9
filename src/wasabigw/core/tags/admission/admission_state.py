"""State of admission control, which is lost with the process."""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from wasabigw.core.ids import Seconds, ServiceId, Tag
from wasabigw.core.rates import RecentSum, TokenBucket, recent_rate
from wasabigw.core.requirements import MAX_PRIORITY, Priority
from wasabigw.core.retry_budget import RetryBudget
from wasabigw.core.tags.admission.held_openings import HeldOpenings
from wasabigw.core.view_lease import NEVER


class ListenerAddress(NamedTuple):
    """IPv4 address as an integer, and port."""

    address: int
    port: int


class CallerKey(NamedTuple):
    """Address of a caller, and the listener that it uses."""

    caller: int
    listener: int
    listener_port: int


class AdmissionCount(Enum):
    """What is counted for each service and priority."""

    ADMITTED = "admitted"
    HELD = "held"
    RELEASED = "released"
    EXPIRED = "expired"
    ABANDONED = "abandoned"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    FURTHER_TRY = "further-try"
    NO_RETRY_BUDGET = "no-retry-budget"


class AdmissionKey(NamedTuple):
    """Labels by which openings are counted."""

    service: ServiceId
    priority: Priority
    event: AdmissionCount


class ShortageCause(Enum):
    """Why a service becomes short of room, or is no longer short."""

    QUEUES = "requests wait at backend servers"
    REJECTIONS = "backend servers reject requests"
    ROOM = "there is room again"
    NO_FIGURES = "there are no current figures"
    NO_CALLERS = "no caller has opened a flow recently"


@dataclass(frozen=True, slots=True)
class ShortageChange:
    """A service becomes short of room, or is no longer short.

    :param delay: expected time from an opening to the start of its request.
    :param tolerable: longest delay that the callers can bear.
    :param age: age of the figures.
    :param lasted: how long the service was short; 0 if it becomes short.
    """

    service: ServiceId
    is_short: bool
    cause: ShortageCause
    delay: Seconds
    tolerable: Seconds
    utilization: float
    rejected: float
    age: Seconds
    lasted: Seconds


@dataclass(slots=True)
class AnswerCounts:
    """Answers of a service that this balancer's callers have acknowledged.

    :param short: answers that are as short as a rejection.
    :param short_time: sum of the times to these.
    :param usual_share: share of short answers while the service has room; ``None`` if
        it is not known yet.
    """

    all: RecentSum = field(default_factory=RecentSum)
    short: RecentSum = field(default_factory=RecentSum)
    short_time: RecentSum = field(default_factory=RecentSum)
    usual_share: float | None = None


@dataclass(slots=True)
class ServiceAdmission:
    """Admission control of one service.

    :param id: the service.
    :param listeners: when callers of each listener last opened a flow.
    :param arrivals: first copies of openings.
    :param other_arrivals: those at listeners without requirements.
    :param admitted: openings that were sent to backend servers.
    :param requests: requests that began, on new flows and on open ones.
    :param retries: budget of the further tries of rejected callers.
    :param short_since: since when the service is short; ``None`` if it is not.
    :param room_since: since when a short service has had room; ``None`` if it has none.
    :param tolerable: longest delay that the callers can bear.
    :param most_urgent: most urgent priority of the callers at the latest update.
    :param rejected: share of the requests that backend servers reject.
    :param capacity: requests a second that this balancer may send.
    :param has_idle_server: whether a backend server is known to have no request while
        the service is short.
    :param spare: backend servers with free slots while the service is short.
    :param spare_bucket: tokens for openings to these.
    """

    id: ServiceId
    listeners: dict[ListenerAddress, Seconds] = field(default_factory=dict)
    arrivals: dict[Priority, RecentSum] = field(default_factory=dict)
    other_arrivals: RecentSum = field(default_factory=RecentSum)
    admitted: RecentSum = field(default_factory=RecentSum)
    requests: RecentSum = field(default_factory=RecentSum)
    answers: AnswerCounts = field(default_factory=AnswerCounts)
    buckets: dict[Priority, TokenBucket] = field(default_factory=dict)
    retries: RetryBudget = field(default_factory=RetryBudget)
    updated_at: Seconds = NEVER
    short_since: Seconds | None = None
    room_since: Seconds | None = None
    delay: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float
    tolerable: Seconds = Seconds(0.0)  # noqa: RUF009 - a NewType of float
    most_urgent: Priority = MAX_PRIORITY
    rejected: float = 0.0
    capacity: float = 0.0
    has_idle_server: bool = False
    spare: frozenset[Tag] = frozenset()
    spare_bucket: TokenBucket = field(default_factory=TokenBucket)

    def more_urgent_rate(self, priority: Priority, now: Seconds) -> float:
        """Openings a second that are more urgent than a priority."""
        return sum(
            recent_rate(arrivals, now)
            for other, arrivals in self.arrivals.items()
            if other < priority
        )


@dataclass(slots=True)
class AdmissionState:
    """Admission control of a balancer.

    :param rejected_callers: callers that were rejected a short time ago, and when; the
        oldest first.
    :param changes: services that became short or no longer are, and are not logged yet;
        the log removes them.
    :param is_draining: whether the process will stop; nothing is held then.
    """

    services: dict[ServiceId, ServiceAdmission] = field(default_factory=dict)
    held: HeldOpenings = field(default_factory=HeldOpenings)
    rejected_callers: OrderedDict[CallerKey, Seconds] = field(
        default_factory=OrderedDict
    )
    changes: list[ShortageChange] = field(default_factory=list)
    counts: Counter[AdmissionKey] = field(default_factory=Counter)
    is_draining: bool = False
