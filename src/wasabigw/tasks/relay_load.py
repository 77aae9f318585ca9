"""Part of the relay task that sums the load reports of balancers."""

from collections import Counter
from typing import Any, NamedTuple

from returns.result import Success

from wasabigw.codec.load import (
    add_sums,
    decode_arrived,
    decode_report,
    encode_sums,
    with_age,
)
from wasabigw.core.delivery_view import DeliveryView
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import FailureDomainId, NodeId, Seconds
from wasabigw.core.load.peers import choose_peers, exchange_interval
from wasabigw.core.load.sums import direct_sums, sums_for
from wasabigw.core.load.table import (
    LoadTable,
    ReportOutcome,
    arrived_balancers,
    expire_contributions,
    record_peer,
    record_report,
    remove_departed,
)
from wasabigw.core.view_lease import NEVER
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.load_messages import PeerAnswered, PollPeers
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.exposition import Family, MetricKind, Sample, gauge
from wasabigw.telemetry.log_events import log

ENCODED_SHARE = 0.5
"""Part of the time between two rounds for which relays get the same encoded sums."""
MAX_ENCODED = 64
"""Failure domains whose encoded sums are kept."""
MALFORMED_LOG_INTERVAL = Seconds(1.0)
"""Minimum time between log lines on malformed reports."""


class _EncodedSums(NamedTuple):
    data: bytes
    age: Seconds
    encoded_at: Seconds


class RelayLoad:
    """Load figures of a relay; owned by the relay task.

    :param bind: endpoint of this relay; the others use the same port.
    :ivar exchange: mailbox of the task that asks other relays, once it is known.
    """

    def __init__(self, bind: Endpoint, failure_domain: FailureDomainId) -> None:
        self._bind = bind
        self._table = LoadTable(failure_domain)
        self._round_at = NEVER
        self._encoded: dict[FailureDomainId, _EncodedSums] = {}
        self._outcomes: Counter[ReportOutcome] = Counter()
        self._bytes: Counter[str] = Counter()
        self._logged_at = NEVER
        self.exchange: Mailbox[Any] | None = None

    def receive_report(self, text: str, now: Seconds) -> NodeId | None:
        """Record the report of a poll.

        :returns: the balancer that gets sums for it; ``None`` if it was not accepted.
        """
        self._bytes["received"] += len(text)
        decoded = decode_report(text)
        if not isinstance(decoded, Success):
            self._outcomes[ReportOutcome.MALFORMED] += 1
            self._log_malformed("a balancer", decoded.failure(), now)
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

    def direct_sums(
        self, failure_domain: FailureDomainId, view: DeliveryView, now: Seconds
    ) -> bytes:
        """Encoded sums for another relay, by its failure domain.

        They are encoded again after a part of the time between two rounds only.
        """
        known = self._encoded.get(failure_domain)
        ttl = ENCODED_SHARE * exchange_interval(len(view.boots))
        if known is None or now - known.encoded_at >= ttl:
            sums = direct_sums(self._table, view, failure_domain, now)
            known = _EncodedSums(encode_sums(sums), sums.age, now)
            if len(self._encoded) >= MAX_ENCODED:
                self._encoded.clear()
            self._encoded[failure_domain] = known
        age = Seconds(known.age + now - known.encoded_at)
        encoded = with_age(known.data, age)
        self._bytes["sent to relays"] += len(encoded)
        return encoded

    def remove_departed(self, text: str, now: Seconds) -> None:
        """Remove reports of balancers that another relay names as arrived there."""
        decoded = decode_arrived(text)
        if isinstance(decoded, Success):
            if remove_departed(self._table, decoded.unwrap(), now):
                self._encoded.clear()
        else:
            self._log_malformed("a relay", decoded.failure(), now)

    def record_peer(self, answer: PeerAnswered) -> None:
        """Record the sums of another relay."""
        self._bytes["polls of relays"] += answer.size
        record_peer(self._table, answer.peer, answer.sums, answer.received_at)

    def tick(self, view: DeliveryView, now: Seconds) -> None:
        """Remove figures that are too old, and ask other relays for theirs.

        Without reports of balancers nobody needs the sums, so nobody is asked.
        """
        expire_contributions(self._table, now)
        if not self._table.reports:
            self._encoded.clear()
        is_due = now - self._round_at >= exchange_interval(len(view.boots))
        if self.exchange is None or not self._table.reports or not is_due:
            return
        self._round_at = now
        peers = choose_peers(
            view.sources,
            self._table.failure_domain,
            self._bind.address,
            self._bind.port,
        )
        if peers:
            arrived = arrived_balancers(self._table, now)
            self.exchange.post(PollPeers(peers, now, arrived))

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
                "Bytes of load reports, of the sums returned, and of other relays",
                tuple(Sample(n, {"direction": d}) for d, n in self._bytes.items()),
            ),
            gauge(
                "wasabigw_relay_load_balancers",
                "Balancers whose load reports are summed",
                len(ages),
            ),
            gauge(
                "wasabigw_relay_load_peers",
                "Other relays whose sums are counted",
                len(self._table.peers),
            ),
            gauge(
                "wasabigw_relay_load_age_seconds",
                "Age of the oldest load report that is summed",
                max(ages, default=0.0),
            ),
        ]

    def _log_malformed(self, source: str, reason: str, now: Seconds) -> None:
        if now - self._logged_at < MALFORMED_LOG_INTERVAL:
            return
        self._logged_at = now
        log(BalancerEvent.LOAD_MALFORMED, source=source, reason=reason)
