"""For each planted fault, a scenario in which only the removed condition protects.

Most doubts show only where a live host looks lost to a check, so the queue of new
connections of the doubted host is full. A backend server that acknowledges every second
packet has requests of one packet sent again while it works; requests of two packets are
acknowledged at once.
"""

from dataclasses import replace

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings, Workload
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.deployment import SERVICES
from wasabigw_verify.evidence_model.moments import Moment
from wasabigw_verify.evidence_model.network import LegQuality
from wasabigw_verify.evidence_model.scenario import Disturbance, Scenario, Trouble
from wasabigw_verify.evidence_model.transport import Acknowledging

SEATS, COURSES = SERVICES
ONE_PACKET = Workload(600, 600)
TWO_PACKETS = Workload(2400, 600)
ALWAYS = 20.0
"""Longer than any scenario, in seconds."""


def _slow(service_time: float, **others: object) -> ServerSettings:
    """A backend server on which requests of one packet are sent again."""
    settings: dict[str, object] = {
        "slots": 100,
        "service_time": service_time,
        "acknowledging": Acknowledging.SECOND,
        **others,
    }
    return ServerSettings(**settings)  # type: ignore[arg-type]


def _caller(
    start: float, workload: Workload = ONE_PACKET, **others: object
) -> CallerPlan:
    settings: dict[str, object] = {"requests": 1, **others}
    return CallerPlan(start, workload=workload, **settings)  # type: ignore[arg-type]


OTHERS = (ServerSettings(service=COURSES),) * 2
"""Backend servers of another service, which serve as references."""
ANSWERED = (_caller(0.1, requests=60, pause=0.05, service=COURSES),) * 2
"""Callers of the others, which are answered all the time."""
ANSWERED_BEFORE = (_caller(0.2, requests=6, pause=0.05, service=COURSES),) * 2
"""Callers of the others, which were answered lately and wait for nothing."""
STEADY = LegQuality(jitter=0.0)
"""Packets arrive in order."""
QUEUE_IS_FULL = Disturbance(0.0, Trouble.FULL_QUEUE, 0, ALWAYS)

RESPONSE_SINCE = Scenario(
    callers=(_caller(1.0), _caller(0.3, TWO_PACKETS, requests=2, pause=3.0), *ANSWERED),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds on another flow after the data that is sent again."""
PAUSED_WITH_COPIES = Scenario(
    callers=(_caller(0.1, first_pause=0.9), *ANSWERED_BEFORE),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(QUEUE_IS_FULL, Disturbance(0.9, Trouble.SUSPEND_BALANCER, 0, 0.35)),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer that was paused finds data and its copy in its receive buffer."""


def _waits_for_link(ahead: int, to_callers: float) -> Scenario:
    """A packet of data waits for the link, behind those of other flows.

    :param ahead: flows with a packet that waits.
    :param to_callers: seconds that packets take to callers.
    """
    others = (_caller(0.3, first_pause=2.7, service=COURSES),) * ahead
    return Scenario(
        callers=(_caller(0.1, first_pause=2.9), *others),
        servers=(
            _slow(0.8, acknowledging=Acknowledging.EACH),
            *OTHERS,
        ),
        balancers=(BalancerSettings(link_megabits=0.1),),
        to_callers=LegQuality(delay=to_callers),
        disturbances=(QUEUE_IS_FULL,),
        to_balancers=STEADY,
        to_servers=STEADY,
    )


DATA_WAITS_FOR_LINK = _waits_for_link(8, 0.002)
RELEASED_BEFORE_COPY = _waits_for_link(3, 0.06)
"""Data is released shortly before its copy arrives."""
SENDING_FAILED = Scenario(
    callers=(_caller(0.1, first_pause=0.9), *ANSWERED),
    servers=(_slow(0.8, acknowledging=Acknowledging.EACH), *OTHERS),
    disturbances=(QUEUE_IS_FULL, Disturbance(0.95, Trouble.FAIL_SENDING, 0, 0.15)),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
UPLOAD_PROGRESSES = Scenario(
    callers=(
        _caller(1.0),
        _caller(0.4, Workload(60_000, 600), first_pause=0.65),
        *ANSWERED,
    ),
    servers=(_slow(1.5), *OTHERS),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Only the progress of an upload shows that the server is alive."""
OPENING_IGNORED_DURING_CHECK = Scenario(
    callers=(
        _caller(1.0),
        _caller(0.35, TWO_PACKETS, requests=2, pause=3.0),
        _caller(1.15),
        *ANSWERED,
    ),
    servers=(_slow(0.75, max_flows=2), ServerSettings(slots=1), *OTHERS),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A server that holds all the flows that it may ignores an opening."""
OPENING_NOT_SENT = Scenario(
    callers=(
        _caller(2.0),
        _caller(0.52, TWO_PACKETS, requests=2, pause=3.0),
        _caller(2.05, TWO_PACKETS),
        _caller(2.18, TWO_PACKETS),
        *ANSWERED,
    ),
    servers=(_slow(1.5), ServerSettings(slots=1), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(QUEUE_IS_FULL, Disturbance(2.045, Trouble.FAIL_SENDING, 0, 0.015)),
)
"""A balancer can't send an opening; nothing follows it."""
OPENING_WAITS_FOR_LINK = Scenario(
    callers=(
        _caller(2.0),
        _caller(0.45, TWO_PACKETS, requests=2, pause=3.0),
        _caller(2.15),
        *(_caller(0.3, first_pause=1.84, service=COURSES),) * 8,
    ),
    servers=(_slow(1.5), ServerSettings(slots=1), *OTHERS),
    balancers=(BalancerSettings(link_megabits=0.1),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(QUEUE_IS_FULL, Disturbance(2.195, Trouble.CUT_TO_BALANCERS, 0, 0.02)),
)
"""An opening and its copy wait for the link."""
SERVER_CHANGED = Scenario(
    callers=(
        _caller(0.1, first_pause=0.95),
        *(_caller(1.03, requests=8) for _ in range(6)),
        *(_caller(0.1, requests=60, pause=0.05) for _ in range(4)),
    ),
    servers=(ServerSettings(),) * 3,
    balancers=(BalancerSettings(),) * 2,
    moves=0.5,
    disturbances=(Disturbance(1.0, Trouble.SILENCE_HOST, 0),),
    seed=4,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Copies of openings to a lost host are accepted elsewhere, by another balancer."""
HOST_IS_BACK = Scenario(
    callers=(
        _caller(0.1, first_pause=1.0),
        _caller(5.0, requests=40, pause=0.1),
        *(_caller(0.1, requests=30, pause=0.05, service=COURSES),) * 2,
    ),
    servers=(_slow(0.01), *OTHERS),
    balancers=(BalancerSettings(),) * 2,
    disturbances=(
        Disturbance(1.0, Trouble.FREEZE_HOST, 0, 1.2),
        Disturbance(6.4, Trouble.STOP_BALANCER, 1),
    ),
    seed=6,
    length=10.0,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A host was unreachable, and a flow to it moves to the balancer that found this."""


def _paused_during_check(moment: Moment, after: float, seconds: float) -> Scenario:
    """A balancer is paused while it checks a host, until long after the host is back."""
    return Scenario(
        callers=(
            _caller(0.1, first_pause=1.0, requests=40, pause=0.2),
            *(_caller(0.1, requests=30, pause=0.05, service=COURSES),) * 2,
        ),
        servers=(_slow(0.01), *OTHERS),
        balancers=(BalancerSettings(),) * 2,
        disturbances=(
            Disturbance(1.0, Trouble.FREEZE_HOST, 0, 1.8),
            Disturbance(
                0.0, Trouble.SUSPEND_BALANCER, 0, seconds, moment=moment, after=after
            ),
        ),
        seed=1,
        length=9.0,
        to_balancers=STEADY,
        to_servers=STEADY,
        to_callers=STEADY,
    )


PAUSED_BEFORE_EVALUATION = _paused_during_check(Moment.CHECK_REQUESTED, 0.3, 6.3)
PAUSED_BEFORE_RESULT = _paused_during_check(Moment.CHECK_ENDED, 0.0, 6.2)

SERVER_IS_SLOW = Scenario(
    callers=(_caller(1.0), *ANSWERED),
    servers=(_slow(0.8), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A request that waits is sent again, and the host accepts connections."""
NO_LOCAL_PORT = Scenario(
    callers=(_caller(1.0), *ANSWERED),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(Disturbance(0.0, Trouble.FAIL_CONNECTING, 0, ALWAYS),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
OTHER_SERVICE_ACCEPTS = Scenario(
    callers=(_caller(1.0), *ANSWERED),
    servers=(_slow(0.8, accepts_connections=False), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""Backend servers of one service accept no connections, those of another do."""
SAME_SERVICE = (_caller(0.1, requests=60, pause=0.05),) * 4
NO_CONNECTIONS = Scenario(
    callers=(_caller(1.0), *SAME_SERVICE),
    servers=(
        _slow(0.8, slots=4, accepts_connections=False),
        *(ServerSettings(accepts_connections=False),) * 2,
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
DRAINING_REFUSES = Scenario(
    callers=(
        _caller(0.1, first_pause=1.1),
        *(_caller(0.7, requests=60, pause=0.05),) * 4,
    ),
    servers=(
        _slow(0.8, slots=1),
        *(ServerSettings(slots=100, starts_at=0.2),) * 2,
    ),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(Disturbance(1.0, Trouble.REFUSE_AND_DRAIN, 0, 0.35),),
)
CUT_OFF = Scenario(
    callers=(_caller(0.1, first_pause=0.9), *ANSWERED),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(Disturbance(1.1, Trouble.CUT_TO_HOSTS, 0, 0.9),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer is cut off from all hosts."""
REFERENCE_IS_SILENT = Scenario(
    callers=(_caller(1.0), *ANSWERED),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(QUEUE_IS_FULL, Disturbance(0.0, Trouble.FULL_QUEUE, 1, ALWAYS)),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
QUEUE_FILLS_LATER = Scenario(
    callers=(_caller(1.0), _caller(1.45), *ANSWERED),
    servers=(_slow(1.5), *OTHERS),
    disturbances=(Disturbance(1.5, Trouble.FULL_QUEUE, 0, 0.6),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The queue is full between two checks."""
NO_REFERENCES = Scenario(
    callers=(_caller(1.0),),
    servers=(_slow(0.8),),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
OLD_REFERENCES = Scenario(
    callers=(
        _caller(1.0),
        *(_caller(0.1, requests=3, pause=0.05, service=COURSES),) * 2,
    ),
    servers=(_slow(0.8), *OTHERS),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""No other host has answered since the doubted one."""
DOUBTED_REFERENCE = Scenario(
    callers=(_caller(1.0, first_pause=0.15), _caller(1.1, service=COURSES)),
    servers=(_slow(1.5), _slow(1.5, service=COURSES)),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
RESPONSE_BEFORE_CHECK = Scenario(
    callers=(
        _caller(1.0),
        _caller(0.394, TWO_PACKETS, requests=2, pause=3.0),
        *ANSWERED,
    ),
    servers=(_slow(0.8), *OTHERS),
    balancers=(BalancerSettings(packet_time=0.005),),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds after a check was requested and before it begins."""
RESPONSE_DURING_CHECK = Scenario(
    callers=(
        _caller(1.3),
        _caller(0.25, TWO_PACKETS, requests=2, pause=3.0),
        _caller(0.1, first_pause=1.47),
        *ANSWERED,
    ),
    servers=(_slow(1.3), *OTHERS),
    disturbances=(QUEUE_IS_FULL,),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""The server responds while it is checked, and is doubted again."""
HOST_IS_LOST = Scenario(
    callers=tuple(_caller(0.1, requests=60, pause=0.1) for _ in range(9)),
    servers=(ServerSettings(),) * 3,
    disturbances=(Disturbance(1.0, Trouble.SILENCE_HOST, 0),),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
)

DELAYED = LegQuality(jitter=0.5)
"""Packets overtake each other by more than the time to the next copy of an opening."""
CHANGING_LOAD = tuple(
    _caller(0.1 + n / 10, flows=8, requests=3, pause=0.05) for n in range(4)
)
"""Callers whose flows end soon, so that the least used server changes."""


def _latest(start: float) -> CallerPlan:
    return _caller(start, requests=8, pause=0.1, tag_taken=TagTaken.LATEST)


LATE_COPY = Scenario(
    callers=(_latest(1.0), *CHANGING_LOAD),
    servers=(ServerSettings(),) * 3,
    to_balancers=DELAYED,
    to_servers=STEADY,
    to_callers=STEADY,
    seed=3,
)
"""A copy of an opening arrives late, and its caller returns the latest tag."""
LATE_COPY_AFTER_PAUSE = replace(
    LATE_COPY,
    disturbances=(Disturbance(1.3, Trouble.SUSPEND_BALANCER, 0, 2.5),),
    seed=6,
)
LATE_COPY_AT_OTHER_BALANCER = replace(
    LATE_COPY, balancers=(BalancerSettings(),) * 2, moves=0.5, seed=6
)
COPY_WHILE_POOL_IS_EMPTY = Scenario(
    callers=tuple(_caller(0.9 + n / 50, requests=4) for n in range(12)),
    servers=(ServerSettings(),),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=LegQuality(jitter=0.1),
    to_callers=LegQuality(delay=0.19),
    moves=0.5,
    disturbances=(Disturbance(1.0, Trouble.DRAIN_SERVER, 0),),
    to_servers=STEADY,
)
"""Copies of openings arrive after the only backend server has begun to leave."""
READ_LATE_WHILE_POOL_IS_EMPTY = Scenario(
    callers=tuple(_caller(0.9 + n / 50, requests=4) for n in range(12)),
    servers=(ServerSettings(),),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    moves=0.5,
    disturbances=(
        Disturbance(0.85, Trouble.SUSPEND_BALANCER, 1, 0.6),
        Disturbance(1.2, Trouble.DRAIN_SERVER, 0),
    ),
)
"""A first copy waits at a paused balancer, and the second one opens the flow."""
OLD_VIEW = Scenario(
    callers=tuple(_caller(2.6 + n / 10, requests=8) for n in range(24)),
    servers=(ServerSettings(), ServerSettings(starts_at=2.0)),
    balancers=(BalancerSettings(),) * 2,
    to_balancers=DELAYED,
    moves=0.5,
    disturbances=(
        Disturbance(0.5, Trouble.DRAIN_SERVER, 0),
        Disturbance(1.0, Trouble.STALE_VIEW, 1, 6.0),
    ),
    seed=8,
    to_servers=STEADY,
    to_callers=STEADY,
)
"""A balancer with an old view knows no backend server for new flows."""

TWO_CHECKS = Scenario(
    callers=(_caller(1.0), _caller(0.1, first_pause=1.0), *ANSWERED),
    servers=(_slow(2.5), *OTHERS),
    to_balancers=STEADY,
    to_servers=STEADY,
    to_callers=STEADY,
    disturbances=(
        QUEUE_IS_FULL,
        Disturbance(1.15, Trouble.FAIL_CONNECTING, 0, 0.1),
        Disturbance(1.21, Trouble.SUSPEND_BALANCER, 0, 1.09),
    ),
)
"""A balancer is paused while a check can't tell, and doubts the host again."""


def _many_checks(last: int) -> Scenario:
    """Nine servers are doubted at once.

    :param last: number of the one that is doubted last.
    """
    failing = (
        Disturbance(0.0, Trouble.FAIL_CONNECTING, 0, ALWAYS, host=number)
        for number in range(9)
        if number != last
    )
    return Scenario(
        callers=(*(_caller(1.0),) * 8, _caller(1.05), *ANSWERED),
        servers=(*(_slow(0.8, slots=4),) * 9, *OTHERS),
        to_balancers=STEADY,
        to_servers=STEADY,
        to_callers=STEADY,
        disturbances=(Disturbance(0.0, Trouble.FULL_QUEUE, last, ALWAYS), *failing),
    )


MANY_CHECKS = _many_checks(5)
