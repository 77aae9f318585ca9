"""Scenarios: all that decides a run, besides the decisions of the balancers."""

from dataclasses import dataclass, replace
from enum import Enum

from wasabigw_verify.evidence_model.balancers import BalancerSettings
from wasabigw_verify.evidence_model.boots import ServerSettings
from wasabigw_verify.evidence_model.callers import CallerPlan, TagTaken
from wasabigw_verify.evidence_model.network import SOUND, LegQuality


class Trouble(Enum):
    """What happens to a machine, or to a leg of the network."""

    SUSPEND_BALANCER = "a balancer is suspended"
    SLOW_BALANCER = "a balancer is slow, and packets wait in its receive buffer"
    FAIL_SENDING = "a balancer can't send"
    STALE_VIEW = "a balancer gets no views"
    STOP_BALANCER = "a balancer is stopped as planned"
    PAUSE_SERVER = "a backend server stands still"
    FREEZE_HOST = "the host of a backend server stands still"
    SILENCE_HOST = "the host of a backend server is lost"
    KILL_SERVER = "a backend server dies, and its host refuses connections"
    RESET_BY_HOST = "a backend server dies, and its host resets"
    RESTART_SAME_ID = "a backend server dies and starts again under its id"
    RESTART_NEW_ID = "a backend server dies, and another one starts on its host"
    RESTART_CLOCK_BEHIND = "as before, and its clock is behind"
    LATE_ANNOUNCEMENT = "an announcement of a boot arrives after its death"
    DRAIN_SERVER = "a backend server leaves as planned"
    CUT_TO_BALANCERS = "no packet of a caller reaches a balancer"
    CUT_TO_SERVERS = "no packet of a balancer reaches a backend server"
    CUT_PATH = "no packet passes between a balancer and a host"
    IMPAIR_PATH = "half of the packets between a balancer and a host are lost"
    LOSE_RESETS = "resets of backend servers are lost"
    CUT_TO_CALLERS = "no packet of a backend server reaches a caller"


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Trouble of one machine.

    :param target: number of the machine, modulo the machines of its kind.
    """

    at: float
    trouble: Trouble
    target: int = 0
    seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class Scenario:
    """A run.

    :param seed: of all that is drawn while it runs.
    :param moves: share of the packets that routers hand to another balancer.
    """

    callers: tuple[CallerPlan, ...]
    servers: tuple[ServerSettings, ...] = (ServerSettings(), ServerSettings())
    balancers: tuple[BalancerSettings, ...] = (BalancerSettings(),)
    to_balancers: LegQuality = SOUND
    to_servers: LegQuality = SOUND
    to_callers: LegQuality = SOUND
    moves: float = 0.0
    disturbances: tuple[Disturbance, ...] = ()
    seed: int = 0
    length: float = 6.0


def with_tags(scenario: Scenario, taken: TagTaken) -> Scenario:
    """The same scenario with callers that return another tag."""
    plans = tuple(replace(plan, tag_taken=taken) for plan in scenario.callers)
    return replace(scenario, callers=plans)
