"""All tasks of a relay process, as one context."""

from contextlib import ExitStack
from dataclasses import dataclass

from returns.result import Failure

from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.sources import SourceState
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.timer import TimerService
from wasabigw.tasks.load_exchange import make_load_exchange
from wasabigw.tasks.load_messages import ExchangeLoadThrough
from wasabigw.tasks.relay_task import RELAY_PERIOD, RELAY_TICK, make_relay_task
from wasabigw.tasks.view_file import make_view_file, read_view_file, view_file_age
from wasabigw.tasks.view_follower import (
    SeedsChanged,
    ViewFollower,
    make_view_follower,
)
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Settings of a relay.

    :param bind: endpoint that balancers poll.
    :param sources: voters that the relay may follow, the one on its own VM first.
    :param folder: folder in which the view is stored.
    :param metrics: endpoint that serves metrics, if any.
    """

    bind: Endpoint
    sources: SourceState
    folder: str
    metrics: Endpoint | None = None


class Relay(CompositeContext):
    """Tasks of a relay; create it with :func:`make_relay`."""

    def __init__(self, settings: RelaySettings) -> None:
        super().__init__()
        self._settings = settings
        self._follower: ViewFollower | None = None

    def use_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Replace the seeds, which are used besides the sources in the view."""
        assert self._follower is not None
        self._follower.mailbox.post(SeedsChanged(seeds))

    def _start(self, stack: ExitStack) -> None:
        settings = self._settings
        stored = _read_stored_view(settings.folder)
        file = stack.enter_context(make_view_file(settings.folder))
        failure_domain = settings.sources.failure_domain
        relay = make_relay_task(
            settings.bind, stored, file.mailbox, settings.metrics, failure_domain
        )
        revision = relay.revision
        stack.enter_context(relay)
        timer = stack.enter_context(TimerService())
        exchange = stack.enter_context(
            make_load_exchange(failure_domain, relay.mailbox)
        )
        relay.mailbox.post(ExchangeLoadThrough(exchange.mailbox))
        timer.subscribe(relay.mailbox, RELAY_PERIOD, RELAY_TICK)
        follower = make_view_follower(
            settings.sources, relay.mailbox, lambda api: api, revision
        )
        stack.enter_context(follower)
        self._follower = follower


def _read_stored_view(folder: str) -> ViewUpdate | None:
    read = read_view_file(folder)
    if isinstance(read, Failure):
        log(BalancerEvent.NO_STORED_VIEW, reason=read.failure())
        return None
    update: ViewUpdate = read.unwrap()
    document = update.document
    age = view_file_age(folder)
    log(
        BalancerEvent.STORED_VIEW,
        revision=update.revision,
        version=document.version if document is not None else None,
        age=round(age, 1) if age is not None else None,
    )
    return update


def make_relay(settings: RelaySettings) -> Relay:
    """Create a relay, which runs while its context is open."""
    return Relay(settings)
