"""Tasks of a balancer process, started and stopped together."""

from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Success

from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.flows.handover import Handover
from wasabigw.core.ids import Seconds
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.timer import TimerService, monotonic
from wasabigw.tasks.handover_sender import make_handover_sender
from wasabigw.tasks.http_balancer import BalancerApiSettings, make_balancer_server
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.log_follower import (
    LogFollower,
    make_follower_mailbox,
    make_log_follower,
)
from wasabigw.tasks.messages import BalancerStatus, BeginDrain, StatusRequest
from wasabigw.tasks.metrics_task import (
    USAGE_PERIOD,
    USAGE_TICK,
    make_metrics_task,
)
from wasabigw.tasks.packet_task import (
    MAINTENANCE_PERIOD,
    MAINTENANCE_TICK,
    METRICS_PERIOD,
    METRICS_TICK,
    PING_PERIOD,
    PING_TICK,
    PacketTask,
    PacketTaskOutputs,
    PacketTaskSettings,
    make_packet_task,
)
from wasabigw.tasks.report_sender import make_report_sender
from wasabigw.tasks.span_export import make_span_export
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log
from wasabigw.telemetry.trace_file import TraceFileTask

DRAIN_TIMEOUT = Seconds(30.0)
"""Maximum time for which a planned stop waits for the handover of flow records."""
DRAIN_POLL_PERIOD = Seconds(0.25)
DRAIN_GRACE_TIME = Seconds(2.0)
"""How long a drained balancer goes on forwarding packets.

Other balancers may send it packets until they have applied the new homes, which they do
within the view lease.
"""


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """Settings of a balancer process.

    :param node: this balancer, as it registers with the control VMs.
    :param fabric: endpoint that receives frames for callers and backend servers.
    :param control: API endpoints of the control VMs.
    :param token: bearer token of operators.
    :param trace_file: file for spans; ``None`` if spans are not exported.
    :param trace_sample_rate: share of flow openings that start a trace, 0 to 1.
    """

    node: Node
    fabric: Endpoint
    control: Sequence[Endpoint]
    token: str
    trace_file: Path | None = None
    trace_sample_rate: float = 0.0
    limits: ProcessLimits = DEFAULT_LIMITS


class Balancer(CompositeContext):
    """Tasks of a balancer; instances are created by :func:`make_balancer`.

    The HTTP server starts after the tasks that it posts to, and stops before them.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        super().__init__()
        self._settings = settings
        self._packets: PacketTask | None = None
        self._follower: LogFollower | None = None

    def drain(self) -> None:
        """Hand over the homes and wait until the other balancers use the new ones."""
        assert self._follower is not None
        node = self._settings.node.id
        self._follower.mailbox.post(BeginDrain())
        deadline = monotonic() + DRAIN_TIMEOUT
        log(BalancerEvent.DRAINING, node=node, seconds=DRAIN_TIMEOUT)
        pause: Mailbox[None] = Mailbox("drain pause")
        while monotonic() < deadline:
            pause.get(DRAIN_POLL_PERIOD)
            if self._is_drained():
                pause.get(DRAIN_GRACE_TIME)
                return
        log(BalancerEvent.DRAIN_TIMED_OUT, node=node, seconds=DRAIN_TIMEOUT)

    def _is_drained(self) -> bool:
        assert self._packets is not None
        reply: Mailbox[BalancerStatus] = Mailbox("status", capacity=1)
        self._packets.mailbox.post(StatusRequest(reply))
        outcome = reply.get(DRAIN_POLL_PERIOD)
        return isinstance(outcome, Success) and outcome.unwrap().drained

    def _start(self, stack: ExitStack) -> None:
        settings = self._settings
        node = settings.node
        timer = stack.enter_context(TimerService())
        metrics = stack.enter_context(make_metrics_task(node.id)).mailbox
        timer.subscribe(metrics, USAGE_PERIOD, USAGE_TICK)
        reports = stack.enter_context(
            make_report_sender(node.id, node.incarnation, settings.control, metrics)
        )
        handovers = stack.enter_context(make_handover_sender(metrics))
        applied = make_follower_mailbox()
        outputs = PacketTaskOutputs(
            reports.mailbox,
            handovers.mailbox,
            applied,
            self._start_traces(stack),
            metrics,
        )
        packet_settings = PacketTaskSettings(
            node, settings.fabric, settings.trace_sample_rate, settings.limits
        )
        packets = stack.enter_context(make_packet_task(packet_settings, outputs))
        timer.subscribe(packets.mailbox, MAINTENANCE_PERIOD, MAINTENANCE_TICK)
        timer.subscribe(packets.mailbox, PING_PERIOD, PING_TICK)
        timer.subscribe(packets.mailbox, METRICS_PERIOD, METRICS_TICK)
        api = BalancerApiSettings(node.api, settings.token, settings.limits)
        server = make_balancer_server(packets.mailbox, api, Handover, metrics)
        stack.enter_context(server)
        follower = make_log_follower(
            node, settings.control, packets.mailbox, applied, metrics
        )
        self._follower = stack.enter_context(follower)
        self._packets = packets

    def _start_traces(self, stack: ExitStack) -> Mailbox[Any] | None:
        settings = self._settings
        if settings.trace_file is None:
            return None
        file = TraceFileTask(settings.trace_file, settings.limits.trace_file_bytes)
        spans = stack.enter_context(file)
        return stack.enter_context(make_span_export(spans.mailbox)).mailbox


def make_balancer(settings: BalancerSettings) -> Balancer:
    """Create a balancer, which runs while its context is open."""
    return Balancer(settings)
