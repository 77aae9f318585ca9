"""Log lines for the decisions that touch flows, within a budget."""

import math
from collections import Counter
from functools import singledispatchmethod
from typing import Any

from wasabigw.core.endpoint import address_text
from wasabigw.core.ids import Seconds
from wasabigw.core.registration import Registration
from wasabigw.core.tags.decisions import Deliver, Drop, PacketDecision, Refuse
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import HealthChange, TagState
from wasabigw.tasks.tag_metrics import DecisionKey
from wasabigw.telemetry.events_flow import FlowEvent
from wasabigw.telemetry.log_events import log

LINES_PER_SECOND = 100
"""Lines of one kind of event; further ones are counted and left out."""


class DecisionLog:
    """Writes a line for each opening, refusal and drop.

    :param state: of the balancer, only read.

    ``decisions`` and ``left_out`` count all of them, with those without a line.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._lines: Counter[FlowEvent] = Counter()
        self._left_out: Counter[FlowEvent] = Counter()
        self.decisions: Counter[DecisionKey] = Counter()
        self.left_out = 0

    def log_decision(
        self, packet: FlowPacket, decision: PacketDecision, now: Seconds
    ) -> None:
        """Write a line for a decision, unless it only carries an open flow on."""
        # Nearly all packets; the dispatch below takes as long as the decision.
        if not isinstance(decision, Deliver) or decision.choice is not None:
            self._note(decision, packet, now)

    def log_health_changes(self, now: Seconds) -> None:
        """Write a line for each breaker that has opened or closed."""
        changes = self._state.health_changes
        for change in changes:
            event = (
                FlowEvent.SERVER_ANSWERS
                if change.failure is None
                else FlowEvent.SERVER_DOUBTED
            )
            if self._has_budget(event):
                self._log_health(event, change, now)
        changes.clear()

    def _log_health(self, event: FlowEvent, change: HealthChange, now: Seconds) -> None:
        boot, breaker = change.server.registration, change.server.breaker
        pause = max(0.0, breaker.backoff_until - now)
        log(
            event,
            server=boot.id,
            service=boot.service,
            failure_domain=boot.failure_domain,
            tag=boot.tag,
            reason=change.failure.value if change.failure is not None else "life",
            failures=breaker.failures,
            pause=round(pause, 3),
            silent_for=_rounded(change.silent_for),
        )

    def end_second(self) -> None:
        """Begin the budget of the next second; says what was left out."""
        for event, count in self._left_out.items():
            self.left_out += count
            log(FlowEvent.LEFT_OUT, count=count, kind=event.name)
        self._lines.clear()
        self._left_out.clear()

    @singledispatchmethod
    def _note(self, decision: object, packet: FlowPacket, now: Seconds) -> None:
        raise TypeError(f"not a decision on a packet: {decision!r}")

    @_note.register
    def _(self, decision: Deliver, packet: FlowPacket, now: Seconds) -> None:
        assert decision.choice is not None
        server = decision.server
        self._count("opened", server, decision.choice.value)
        if not self._has_budget(FlowEvent.OPENED):
            return
        known = self._state.servers.get(server.tag)
        log(
            FlowEvent.OPENED,
            flow=flow_text(packet.flow),
            repeat=packet.repeat,
            server=server.id,
            service=server.service,
            failure_domain=server.failure_domain,
            tag=server.tag,
            reason=decision.choice.value,
            open_flows=known.open_flows if known is not None else 0,
            **self._inputs(now),
        )

    @_note.register
    def _(self, decision: Refuse, packet: FlowPacket, now: Seconds) -> None:
        self._note_reason(
            FlowEvent.REFUSED, "refused", decision.reason.value, packet, now
        )

    @_note.register
    def _(self, decision: Drop, packet: FlowPacket, now: Seconds) -> None:
        self._note_reason(
            FlowEvent.DROPPED, "dropped", decision.reason.value, packet, now
        )

    def _note_reason(
        self,
        event: FlowEvent,
        outcome: str,
        reason: str,
        packet: FlowPacket,
        now: Seconds,
    ) -> None:
        known = self._state.servers.get(packet.tag)
        server = known.registration if known is not None else None
        self._count(outcome, server, reason)
        if not self._has_budget(event):
            return
        silent_for = (
            now - known.breaker.last_response_at if known is not None else math.inf
        )
        log(
            event,
            flow=flow_text(packet.flow),
            reason=reason,
            tag=packet.tag,
            server=server.id if server is not None else None,
            silent_for=_rounded(silent_for),
            **self._inputs(now),
        )

    def _count(self, outcome: str, server: Registration | None, reason: str) -> None:
        service = server.service if server is not None else ""
        domain = server.failure_domain if server is not None else ""
        self.decisions[DecisionKey(outcome, service, domain, reason)] += 1

    def _inputs(self, now: Seconds) -> dict[str, Any]:
        """What every decision depends on, and how old it is."""
        state = self._state
        return {
            "revision": state.view.revision,
            "age": round(now - state.confirmed_at, 3),
            "version": state.declared_version,
        }

    def _has_budget(self, event: FlowEvent) -> bool:
        if self._lines[event] >= LINES_PER_SECOND:
            self._left_out[event] += 1
            return False
        self._lines[event] += 1
        return True


def _rounded(seconds: float) -> float | None:
    """Seconds for a line; ``None`` if there was never anything to count from."""
    return round(seconds, 3) if seconds < math.inf else None


def flow_text(flow: FlowId) -> str:
    """Name of a flow in logs."""
    caller = f"{address_text(flow.caller)}:{flow.caller_port}"
    return f"{caller}>{address_text(flow.listener)}:{flow.listener_port}"
