"""Assembly of the tasks and servers of a control VM."""

from contextlib import AbstractContextManager, ExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from wasabigw.core.cluster import Endpoint
from wasabigw.core.consensus.planned_stop import STOP_TIMEOUT
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.runtime.composite import CompositeContext
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Stop
from wasabigw.runtime.timer import TimerService
from wasabigw.tasks.http_control import (
    ControlApiSettings,
    make_control_server,
)
from wasabigw.tasks.http_server import HttpServer
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.metrics_task import (
    USAGE_PERIOD,
    USAGE_TICK,
    make_metrics_task,
)
from wasabigw.tasks.registration_sender import make_registration_sender
from wasabigw.tasks.storage import Storage
from wasabigw.tasks.tag_codec import DocumentDecoder
from wasabigw.tasks.voter_calls import StopCall, VoterMessage, reply_mailbox
from wasabigw.tasks.voter_links import OpenLinks
from wasabigw.tasks.voter_settings import VoterSettings
from wasabigw.tasks.voter_task import ApplyCommand, VoterTask, make_voter_task
from wasabigw.telemetry.trace_file import TraceFileTask
from wasabigw.telemetry.tracing import make_disabled_tracer, make_tracer

STOP_WAIT = Seconds(STOP_TIMEOUT + 0.5)
"""Longest wait for a voter that may be busy writing to its disk."""


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """File for spans, and the share of traces started here that is recorded."""

    file: Path
    sample_rate: float


class ControlPlane(CompositeContext):
    """A voter with its links and its HTTP server.

    The server starts last and stops first, so that no request reaches a voter
    that is not running.

    :param background: tasks that the voter and its server use; started before them.
    """

    def __init__(
        self,
        voter: VoterTask,
        server: HttpServer,
        mailbox: Mailbox[VoterMessage | Stop],
        background: tuple[AbstractContextManager[Any], ...],
    ) -> None:
        super().__init__()
        self.voter = voter
        self.server = server
        self.mailbox = mailbox
        self._background = background

    def prepare_stop(self) -> None:
        """Wait until a standby has taken the place of this voter, or none can.

        The servers and the voter go on meanwhile.
        """
        call = StopCall(reply_mailbox("stop"))
        self.mailbox.post(call)
        call.reply.get(STOP_WAIT)

    def _start(self, stack: ExitStack) -> None:
        for part in self._background:
            stack.enter_context(part)
        stack.enter_context(self.voter)
        stack.enter_context(self.server)


def make_control_plane(
    settings: VoterSettings,
    token: str,
    storage: Storage,
    apply_command: ApplyCommand,
    timer: TimerService,
    bind: Endpoint | None = None,
    limits: ProcessLimits = DEFAULT_LIMITS,
    traces: TraceSettings | None = None,
    decode_document: DocumentDecoder | None = None,
) -> ControlPlane:
    """Make the control plane, which takes ownership of the opened data directory.

    :param token: bearer token that operators send.
    :param timer: running timer service.
    :param bind: listen address; ``None`` for the endpoint of this node in the settings.
    :param traces: ``None`` if spans are not written.
    :param decode_document: decoder of the declared configuration; ``None`` if the
        front end has none.
    """
    mailbox: Mailbox[VoterMessage | Stop] = Mailbox(
        f"voter-{settings.node}", limits.mailbox_messages
    )
    metrics = make_metrics_task(settings.node)
    timer.subscribe(metrics.mailbox, USAGE_PERIOD, USAGE_TICK)
    background: list[AbstractContextManager[Any]] = [metrics]
    tracer = make_disabled_tracer()
    if traces is not None:
        spans = TraceFileTask(traces.file, limits.trace_file_bytes)
        background.append(spans)
        tracer = make_tracer(settings.node, traces.sample_rate, spans.mailbox)
    links = OpenLinks(mailbox, metrics.mailbox)
    registration_sender = make_registration_sender(metrics.mailbox)
    voter = make_voter_task(
        settings,
        mailbox,
        storage,
        links,
        apply_command,
        timer,
        registration_sender=registration_sender.mailbox,
        metrics=metrics.mailbox,
        tracer=tracer,
        decode_document=decode_document,
    )
    listen: Endpoint = bind or settings.voters[NodeId(settings.node)]
    peers = None if settings.target_voters is not None else tuple(settings.voters)
    api = ControlApiSettings(listen, token, peers, limits, tracer)
    server = make_control_server(mailbox, api, metrics.mailbox)
    background.extend((registration_sender, links))
    return ControlPlane(voter, server, mailbox, tuple(background))
