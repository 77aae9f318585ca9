"""Everything that runs in a process of a balancer that delivers by tags."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Any

from returns.result import Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.sources import SourceState
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import TimerService, monotonic
from wasabigw.tasks.tag_messages import (
    BeginLeaving,
    TagBalancerStatus,
    TagStatusRequest,
)
from wasabigw.tasks.tag_packet_task import (
    MAINTENANCE_PERIOD,
    MAINTENANCE_TICK,
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

LEAVE_MINIMUM = Seconds(1.5)
"""Shortest time for which a balancer that stops still carries packets.

The routers ask for readiness twice a second and act after two refusals.
"""
LEAVE_QUIET = Seconds(0.5)
"""Time without packets after which a balancer that stops is no longer used."""
STATUS_TIMEOUT = Seconds(0.5)


@dataclass(frozen=True, slots=True)
class TagBalancerSettings:
    """What the process needs to know.

    :param sources: control VMs at which views can be had.
    :param relay_of: where the relay of a control VM is, from the API that names it.
    :param leave_timeout: longest time for which a planned stop may take.
    """

    packets: TagPacketSettings
    sources: SourceState
    relay_of: Callable[[Endpoint], Endpoint]
    leave_timeout: Seconds


class TagBalancer(CompositeContext):
    """Tasks of the balancer; :func:`make_tag_balancer` makes one."""

    def __init__(self, settings: TagBalancerSettings) -> None:
        super().__init__()
        self._settings = settings
        self._started = monotonic()
        self._packets: TagPacketTask | None = None
        self._follower: ViewFollower | None = None

    @property
    def mailbox(self) -> Mailbox[Any]:
        """Mailbox of the packet task, once the context was entered."""
        assert self._packets is not None
        return self._packets.mailbox

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Use other control VMs besides those that the view names."""
        assert self._follower is not None
        self._follower.mailbox.post(SeedsChanged(seeds))

    def drain(self) -> None:
        """Carry packets until the routers send them elsewhere."""
        begun = monotonic()
        node = self._settings.packets.node
        timeout = self._settings.leave_timeout
        status = self._status()
        log(
            BalancerEvent.LEAVING,
            node=node,
            seconds=timeout,
            ran=round(begun - self._started, 1),
            control_bytes=status.control_traffic if status is not None else None,
        )
        self.mailbox.post(BeginLeaving())
        pause: Mailbox[None] = Mailbox("leave pause")
        while (passed := monotonic() - begun) < timeout:
            pause.get(Seconds(LEAVE_QUIET / 2))
            if passed >= LEAVE_MINIMUM and self._is_quiet():
                return

    def _is_quiet(self) -> bool:
        status = self._status()
        return status is not None and status.idle_for >= LEAVE_QUIET

    def _status(self) -> TagBalancerStatus | None:
        """State of the packet task; ``None`` if it does not answer in time."""
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
        self._packets = packets
        self._follower = follower


def make_tag_balancer(settings: TagBalancerSettings) -> TagBalancer:
    """Balancer that runs while its context is open."""
    return TagBalancer(settings)
