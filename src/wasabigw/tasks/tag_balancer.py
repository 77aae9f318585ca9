"""Tasks of a balancer process that delivers by tags, started and stopped together."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.load.figures import REPORT_INTERVAL
from wasabigw.core.sources import SourceState
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import TimerService, monotonic
from wasabigw.tasks.load_messages import ReportLoadTo
from wasabigw.tasks.tag_messages import (
    BeginTagDrain,
    TagBalancerStatus,
    TagStatusRequest,
)
from wasabigw.tasks.tag_packet_task import (
    MAINTENANCE_PERIOD,
    MAINTENANCE_TICK,
    REPORT_TICK,
    TagPacketSettings,
    TagPacketTask,
    make_tag_packet_task,
)
from wasabigw.tasks.view_follower import (
    SeedsChanged,
    ViewFollower,
    make_view_follower,
)
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

MIN_DRAIN_TIME = Seconds(1.5)
"""Minimum time for which a stopping balancer goes on delivering packets.

The routers poll the readiness twice a second and stop using a balancer after two
negative responses.
"""
DRAIN_IDLE_TIME = Seconds(0.5)
"""Time without packets after which routers no longer use a stopping balancer."""
STATUS_TIMEOUT = Seconds(0.5)


@dataclass(frozen=True, slots=True)
class TagBalancerSettings:
    """Settings of the balancer process.

    :param sources: control VMs that serve views.
    :param relay_of: maps the API endpoint of a control VM to that of its relay.
    :param drain_timeout: maximum time that draining may take before a planned stop.
    """

    packets: TagPacketSettings
    sources: SourceState
    relay_of: Callable[[Endpoint], Endpoint]
    drain_timeout: Seconds


class TagBalancer(CompositeContext):
    """Tasks of the balancer; instances are created by :func:`make_tag_balancer`."""

    def __init__(self, settings: TagBalancerSettings) -> None:
        super().__init__()
        self._settings = settings
        self._started = monotonic()
        self._packets: TagPacketTask | None = None
        self._follower: ViewFollower | None = None

    @property
    def mailbox(self) -> Mailbox[Any]:
        """Mailbox of the packet task, after the context was entered."""
        assert self._packets is not None
        return self._packets.mailbox

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Replace the control VMs that are used besides those that the view names."""
        assert self._follower is not None
        self._follower.mailbox.post(SeedsChanged(seeds))

    def drain(self) -> None:
        """Report not ready; deliver packets until the routers use other balancers."""
        begun = monotonic()
        node = self._settings.packets.node
        timeout = self._settings.drain_timeout
        status = self._status()
        log(
            BalancerEvent.LEAVING,
            node=node,
            seconds=timeout,
            ran=round(begun - self._started, 1),
            control_bytes=status.control_traffic if status is not None else None,
        )
        self.mailbox.post(BeginTagDrain())
        pause: Mailbox[None] = Mailbox("drain pause")
        while (passed := monotonic() - begun) < timeout:
            pause.get(Seconds(DRAIN_IDLE_TIME / 2))
            if passed >= MIN_DRAIN_TIME and self._is_idle():
                return

    def _is_idle(self) -> bool:
        status = self._status()
        return (
            status is not None
            and status.idle_for >= DRAIN_IDLE_TIME
            and status.waiting_bytes == 0
        )

    def _status(self) -> TagBalancerStatus | None:
        """State of the packet task; ``None`` if it does not respond in time."""
        reply: Mailbox[TagBalancerStatus] = Mailbox("status", capacity=1)
        self.mailbox.post(TagStatusRequest(reply))
        outcome = reply.get(STATUS_TIMEOUT)
        return outcome.unwrap() if isinstance(outcome, Success) else None

    def _start(self, stack: ExitStack) -> None:
        settings = self._settings
        timer = stack.enter_context(TimerService())
        packets = stack.enter_context(make_tag_packet_task(settings.packets))
        timer.subscribe(packets.mailbox, MAINTENANCE_PERIOD, MAINTENANCE_TICK)
        follower = make_view_follower(
            settings.sources, packets.mailbox, settings.relay_of
        )
        stack.enter_context(follower)
        packets.mailbox.post(ReportLoadTo(follower.mailbox))
        timer.subscribe(packets.mailbox, REPORT_INTERVAL, REPORT_TICK)
        self._packets = packets
        self._follower = follower


def make_tag_balancer(settings: TagBalancerSettings) -> TagBalancer:
    """Create a balancer, which runs while its context is open."""
    return TagBalancer(settings)
