"""Part of the relay task that sums the load reports of balancers."""

from collections import Counter

from returns.result import Success

from wasabigw.codec.load import add_sums, decode_report
from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.load.sums import (
    LoadTable,
    ReportOutcome,
    expire_contributions,
    record_report,
    sums_for,
)
from wasabigw.core.view_lease import NEVER
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import Family, MetricKind, Sample, gauge
from wasabigw.telemetry.log_events import log

MALFORMED_LOG_INTERVAL = Seconds(1.0)
"""Minimum time between log lines on malformed reports."""


class RelayLoad:
    """Load figures of a relay; owned by the relay task."""

    def __init__(self) -> None:
        self._table = LoadTable()
        self._outcomes: Counter[ReportOutcome] = Counter()
        self._bytes: Counter[str] = Counter()
        self._logged_at = NEVER

    def receive_report(self, text: str, now: Seconds) -> NodeId | None:
        """Record the report of a poll.

        :returns: the balancer that gets sums for it; ``None`` if it was not accepted.
        """
        self._bytes["received"] += len(text)
        decoded = decode_report(text)
        if not isinstance(decoded, Success):
            self._outcomes[ReportOutcome.MALFORMED] += 1
            self._log_malformed(decoded.failure(), now)
            return None
        report = decoded.unwrap()
        outcome = record_report(self._table, report, now)
        self._outcomes[outcome] += 1
        return report.node if outcome is ReportOutcome.ACCEPTED else None

    def add_sums(
        self, response: bytes, node: NodeId, view: DeliveryView, now: Seconds
    ) -> bytes:
        """Add the sums for a balancer to the response to its poll, if there are any."""
        sums = sums_for(self._table, node, view, now)
        if sums is None:
            return response
        extended = add_sums(response, sums)
        self._bytes["sent"] += len(extended) - len(response)
        return extended

    def expire(self, now: Seconds) -> None:
        """Remove figures that are too old."""
        expire_contributions(self._table, now)

    def families(self, now: Seconds) -> list[Family]:
        """Metrics of the reports."""
        reports = self._table.reports.values()
        ages = [now - kept.contribution.measured_at for kept in reports]
        return [
            Family(
                "wasabigw_relay_load_reports_total",
                MetricKind.COUNTER,
                "Load reports of balancers by what became of them",
                tuple(
                    Sample(n, {"outcome": o.value}) for o, n in self._outcomes.items()
                ),
            ),
            Family(
                "wasabigw_relay_load_bytes_total",
                MetricKind.COUNTER,
                "Bytes of load reports and of the sums returned",
                tuple(Sample(n, {"direction": d}) for d, n in self._bytes.items()),
            ),
            gauge(
                "wasabigw_relay_load_balancers",
                "Balancers whose load reports are summed",
                len(ages),
            ),
            gauge(
                "wasabigw_relay_load_age_seconds",
                "Age of the oldest load report that is summed",
                max(ages, default=0.0),
            ),
        ]

    def _log_malformed(self, reason: str, now: Seconds) -> None:
        if now - self._logged_at < MALFORMED_LOG_INTERVAL:
            return
        self._logged_at = now
        log(BalancerEvent.LOAD_MALFORMED, source="a balancer", reason=reason)
