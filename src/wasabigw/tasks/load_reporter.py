"""Part of the packet task that reports load and records the load of other balancers."""

import os
import random
from collections import Counter
from typing import Any

from wasabigw.core.ids import Incarnation, Seconds
from wasabigw.core.load.counting import expire_requests, shares_load
from wasabigw.core.load.known import record_sums
from wasabigw.core.load.reporting import make_report
from wasabigw.core.tags.state import TagState
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.load_messages import LoadReported, ReportAnswered
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import Family, MetricKind, Sample, gauge
from wasabigw.telemetry.log_events import log

INCARNATION_BYTES = 4


class LoadReporter:
    """Sends reports while load is shared; owned by the packet task.

    :ivar receiver: mailbox of the task that sends reports, once it is known.
    """

    def __init__(self, state: TagState) -> None:
        self._state = state
        self._incarnation = Incarnation(os.urandom(INCARNATION_BYTES).hex())
        self._sample = random.Random().sample
        self._outcomes: Counter[str] = Counter()
        self._bytes = 0
        self._was_known = False
        self.receiver: Mailbox[Any] | None = None

    def report(self, now: Seconds) -> None:
        """Post a report, unless no listener needs one."""
        state = self._state
        self._log_change(now)
        expire_requests(state, now)
        if self.receiver is None or not shares_load(state):
            return
        report = make_report(state, self._incarnation, now, self._sample)
        self.receiver.post(LoadReported(report, now))

    def record_answer(self, answer: ReportAnswered) -> None:
        """Record the sums that came back for a report."""
        self._outcomes[answer.outcome.value] += 1
        self._bytes += answer.size
        if answer.sums is not None and shares_load(self._state):
            record_sums(self._state.known_load, answer.sums, answer.received_at)
            self._log_change(answer.received_at)

    def families(self, now: Seconds) -> list[Family]:
        """Metrics of reports and of the load that is known."""
        known = self._state.known_load
        in_flight = sum(s.counts.in_flight for s in self._state.servers.values())
        return [
            Family(
                "wasabigw_load_reports_total",
                MetricKind.COUNTER,
                "Load reports by what came back for them",
                tuple(Sample(n, {"outcome": key}) for key, n in self._outcomes.items()),
            ),
            Family(
                "wasabigw_load_bytes_total",
                MetricKind.COUNTER,
                "Bytes of load reports and of the sums returned, part of control bytes",
                (Sample(self._bytes),),
            ),
            gauge(
                "wasabigw_load_age_seconds",
                "Age of the load figures of other balancers",
                now - known.measured_at,
            ),
            gauge(
                "wasabigw_load_balancers",
                "Other balancers whose load is known",
                known.balancers if known.is_current(now) else 0,
            ),
            gauge(
                "wasabigw_requests_in_flight",
                "Requests through this balancer that have no answer yet",
                in_flight,
            ),
        ]

    def _log_change(self, now: Seconds) -> None:
        """Log when figures of other balancers become known, and when they expire."""
        known, node = self._state.known_load, self._state.node
        is_known = known.is_current(now)
        if is_known == self._was_known:
            return
        if not is_known and not shares_load(self._state):
            return
        self._was_known = is_known
        if is_known:
            log(BalancerEvent.LOAD_KNOWN, node=node, balancers=known.balancers)
        else:
            age = round(now - known.measured_at, 1)
            log(BalancerEvent.LOAD_UNKNOWN, node=node, age=age)
