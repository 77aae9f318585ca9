"""HTTP server for the metrics of a voter in the Prometheus text format."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import cherrypy
from returns.result import Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.states import VoterRole
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.http_server import HttpServer, make_http_server
from wasabigw.tasks.limits import ProcessLimits
from wasabigw.tasks.voter_calls import VoterStatus, VoterStatusCall, reply_mailbox
from wasabigw.telemetry.exposition import (
    CONTENT_TYPE,
    Family,
    MetricKind,
    Sample,
    declared_version,
    gauge,
    out_of_service,
    render,
)

STATUS_TIMEOUT = Seconds(0.9)
MAX_BODY_BYTES = 1_024


def families_of(status: VoterStatus) -> list[Family]:
    """Return the metrics for the status of a voter."""
    return [
        Family(
            "wasabigw_voter_role",
            MetricKind.GAUGE,
            "1 for the role of this voter",
            tuple(
                Sample(float(role is status.role), {"role": role.value})
                for role in VoterRole
            ),
        ),
        gauge("wasabigw_voter_term", "Term of this voter", status.term),
        gauge("wasabigw_voters", "Voters that this one counts", status.voters),
        gauge(
            "wasabigw_voters_without_address",
            "Voters in the log that this one can't send requests to",
            status.without_address,
        ),
        gauge(
            "wasabigw_voters_silent",
            "Voters that this leader has not heard of lately",
            status.voters_silent,
        ),
        gauge(
            "wasabigw_standbys_ready",
            "Standbys that could replace a voter at once, as this leader knows",
            status.standbys_ready,
        ),
        Family(
            "wasabigw_voter_changes_total",
            MetricKind.COUNTER,
            "Changes of the voters that this process has applied",
            (
                Sample(status.voters_admitted, {"change": "admitted"}),
                Sample(status.voters_removed, {"change": "removed"}),
            ),
        ),
        Family(
            "wasabigw_stops_without_standby_total",
            MetricKind.COUNTER,
            "Announced stops of voters that this leader had no standby for",
            (Sample(status.stops_without_standby),),
        ),
        gauge("wasabigw_state_revision", "Applied revision", status.revision),
        gauge("wasabigw_log_lag", "Entries not known to be committed", status.lag),
        gauge("wasabigw_commands_waiting", "Proposed commands", status.waiting),
        declared_version(status.declared_version),
        gauge(
            "wasabigw_view_fresh",
            "Whether the applied state is known to be current",
            status.is_current,
        ),
        out_of_service(status.out_of_service),
        Family(
            "wasabigw_disk_sync_seconds",
            MetricKind.HISTOGRAM,
            "Time of an append to the log with its sync",
            (Sample(status.syncs),),
        ),
        Family(
            "wasabigw_commit_seconds",
            MetricKind.HISTOGRAM,
            "Time from the proposal of a command to its commit",
            (Sample(status.commits),),
        ),
    ]


@dataclass(frozen=True, slots=True)
class _Metrics:
    """``GET /metrics``."""

    call: Callable[[], bytes]
    exposed: bool = True

    def GET(self) -> bytes:  # noqa: N802 - method names of cherrypy
        """Render all metrics of the voter."""
        return self.call()


@dataclass(frozen=True, slots=True)
class _Root:
    metrics: _Metrics


def make_metrics_server(
    voter: Mailbox[Any], bind: Endpoint, limits: ProcessLimits
) -> HttpServer:
    """Make the server that exposes the metrics of a voter.

    :param voter: mailbox of the voter task.
    """

    def answer() -> bytes:
        call = VoterStatusCall(reply_mailbox("status"))
        voter.post(call)
        outcome = call.reply.get(STATUS_TIMEOUT)
        if not isinstance(outcome, Success):
            cherrypy.response.status = int(HTTPStatus.SERVICE_UNAVAILABLE)
            return b""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE
        return render(families_of(outcome.unwrap()))

    root = _Root(_Metrics(answer))
    return make_http_server("metrics", bind, root, MAX_BODY_BYTES, limits)
