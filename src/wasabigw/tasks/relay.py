"""Everything that runs in a process of a relay, as one context."""

from contextlib import ExitStack
from dataclasses import dataclass

from returns.result import Failure

from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.sources import SourceState
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.timer import TimerService
from wasabigw.tasks.relay_task import RELAY_PERIOD, RELAY_TICK, make_relay_task
from wasabigw.tasks.view_file import make_view_file, read_view_file
from wasabigw.tasks.view_follower import (
    SeedsChanged,
    ViewFollower,
    make_view_follower,
)
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """What a relay needs to know.

    :param bind: where balancers poll it.
    :param sources: voters that it may follow, its own VM's first.
    :param folder: where it keeps its view.
    :param metrics: where metrics are collected.
    """

    bind: Endpoint
    sources: SourceState
    folder: str
    metrics: Endpoint | None = None


class Relay(CompositeContext):
    """Tasks of a relay; :func:`make_relay` makes one."""

    def __init__(self, settings: RelaySettings) -> None:
        super().__init__()
        self._settings = settings
        self._follower: ViewFollower | None = None

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Use other control VMs besides those that the view names."""
        assert self._follower is not None
        self._follower.mailbox.post(SeedsChanged(seeds))

    def _start(self, stack: ExitStack) -> None:
        settings = self._settings
        stored = _stored_view(settings.folder)
        file = stack.enter_context(make_view_file(settings.folder))
        relay = make_relay_task(settings.bind, stored, file.mailbox, settings.metrics)
        revision = relay.revision
        stack.enter_context(relay)
        timer = stack.enter_context(TimerService())
        timer.subscribe(relay.mailbox, RELAY_PERIOD, RELAY_TICK)
        follower = make_view_follower(
            settings.sources, relay.mailbox, lambda api: api, revision
        )
        stack.enter_context(follower)
        self._follower = follower


def _stored_view(folder: str) -> ViewUpdate | None:
    read = read_view_file(folder)
    if isinstance(read, Failure):
        log(BalancerEvent.NO_STORED_VIEW, reason=read.failure())
        return None
    update: ViewUpdate = read.unwrap()
    log(BalancerEvent.STORED_VIEW, revision=update.revision)
    return update


def make_relay(settings: RelaySettings) -> Relay:
    """Relay that runs while its context is open."""
    return Relay(settings)
