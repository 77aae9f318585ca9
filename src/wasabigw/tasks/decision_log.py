"""Rate-limited log lines for decisions on flows."""

import math
from collections import Counter
from functools import singledispatchmethod
from typing import Any

from wasabigw.core.endpoint import address_text
from wasabigw.core.ids import Seconds
from wasabigw.core.registration import Registration
from wasabigw.core.tags.decisions import Deliver, Drop, Hold, PacketDecision, Refuse
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw.core.tags.state import HealthChange, TagState, WeightChange
from wasabigw.tasks.tag_metrics import DecisionKey
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.events_flow import FlowEvent
from wasabigw.telemetry.log_events import LogEvent, log

LINES_PER_SECOND = 100
"""Maximum number of lines for each event; further ones are only counted."""


class DecisionLog:
    """Logs each opening, refusal and drop, and changes of backend servers.

    :param state: only read, except that logged changes of health and of weights are
        removed from it.
    :ivar decisions: number of openings, refusals, drops and held openings, whether
        logged or not.
    :ivar suppressed: number of suppressed lines, updated once a second.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._lines: Counter[LogEvent] = Counter()
        self._suppressed: Counter[LogEvent] = Counter()
        self.decisions: Counter[DecisionKey] = Counter()
        self.suppressed = 0

    def log_decision(
        self, packet: FlowPacket, decision: PacketDecision, now: Seconds
    ) -> None:
        """Log a decision, unless it is the delivery of a packet of an open flow."""
        # Nearly all packets belong to open flows. They skip the dispatch below, which
        # takes as long as the decision itself.
        if not isinstance(decision, Deliver) or decision.choice is not None:
            self._log_by_type(decision, packet, now)

    def log_health_changes(self, now: Seconds) -> None:
        """Log the pending changes of circuit breakers and remove them."""
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

    def log_weight_changes(self) -> None:
        """Log which backend servers have become slow or recovered, and remove them."""
        changes = self._state.weight_changes
        for change in changes:
            is_slow = change.is_slow
            event = (
                BalancerEvent.SERVER_SLOW if is_slow else BalancerEvent.SERVER_RECOVERED
            )
            if self._has_budget(event):
                _log_weight(event, change)
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
            silent_for=rounded_or_none(change.silent_for),
        )

    def reset_budget(self) -> None:
        """Log how many lines were suppressed, and start the next second."""
        for event, count in self._suppressed.items():
            self.suppressed += count
            log(FlowEvent.LEFT_OUT, count=count, kind=event.name)
        self._lines.clear()
        self._suppressed.clear()

    @singledispatchmethod
    def _log_by_type(self, decision: object, packet: FlowPacket, now: Seconds) -> None:
        raise TypeError(f"not a decision on a packet: {decision!r}")

    @_log_by_type.register
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
            **self._view_fields(now),
        )

    @_log_by_type.register
    def _(self, decision: Refuse, packet: FlowPacket, now: Seconds) -> None:
        self._log_rejection(
            FlowEvent.REFUSED, "refused", decision.reason.value, packet, now
        )

    @_log_by_type.register
    def _(self, decision: Drop, packet: FlowPacket, now: Seconds) -> None:
        self._log_rejection(
            FlowEvent.DROPPED, "dropped", decision.reason.value, packet, now
        )

    @_log_by_type.register
    def _(self, decision: Hold, packet: FlowPacket, now: Seconds) -> None:
        """Count only: what becomes of a held opening is logged when it is released."""
        self.decisions[DecisionKey("held", decision.opening.service, "", "")] += 1

    def _log_rejection(
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
            silent_for=rounded_or_none(silent_for),
            **self._view_fields(now),
        )

    def _count(self, outcome: str, server: Registration | None, reason: str) -> None:
        service = server.service if server is not None else ""
        domain = server.failure_domain if server is not None else ""
        self.decisions[DecisionKey(outcome, service, domain, reason)] += 1

    def _view_fields(self, now: Seconds) -> dict[str, Any]:
        """Log fields for the view and the configuration that a decision is based on."""
        state = self._state
        return {
            "revision": state.view.revision,
            "age": rounded_or_none(state.view_age(now)),
            "version": state.declared_version,
        }

    def _has_budget(self, event: LogEvent) -> bool:
        if self._lines[event] >= LINES_PER_SECOND:
            self._suppressed[event] += 1
            return False
        self._lines[event] += 1
        return True


def _log_weight(event: BalancerEvent, change: WeightChange) -> None:
    boot = change.server.registration
    time = change.service_time
    log(
        event,
        server=boot.id,
        service=boot.service,
        failure_domain=boot.failure_domain,
        tag=boot.tag,
        weight=round(change.weight, 3),
        service_time=round(time, 4) if time is not None else None,
    )


def rounded_or_none(seconds: float) -> float | None:
    """Rounded duration; ``None`` if infinite, because the event never happened."""
    return round(seconds, 3) if seconds < math.inf else None


def flow_text(flow: FlowId) -> str:
    """Text that identifies a flow in logs."""
    caller = f"{address_text(flow.caller)}:{flow.caller_port}"
    return f"{caller}>{address_text(flow.listener)}:{flow.listener_port}"
