"""Metrics of a balancer that delivers by tags."""

from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId
from wasabigw.core.registration import Registration
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.choice.demand import shares_in_force
from wasabigw.core.tags.liveness.health import Health, health_of
from wasabigw.core.tags.state import TagState
from wasabigw.tasks.admission_metrics import admission_families
from wasabigw.telemetry.exposition import (
    Family,
    MetricKind,
    Sample,
    declared_version,
    gauge,
    out_of_service,
    view_age,
)

NO_WAIT = Seconds(0.0)


class DecisionKey(NamedTuple):
    """Labels by which decisions are counted.

    :param outcome: opened, held, refused or dropped.
    :param service: service of the backend server; empty if there is none.
    :param failure_domain: failure domain of the backend server; empty if there is none.
    """

    outcome: str
    service: str
    failure_domain: str
    reason: str


def families_of(
    state: TagState,
    decisions: Mapping[DecisionKey, int],
    packets: Mapping[str, int],
    suppressed: int,
    control_traffic: int,
    now: Seconds,
    receive_wait: Seconds = NO_WAIT,
) -> list[Family]:
    """Collect the metrics of a balancer.

    :param packets: number of packets by outcome.
    :param suppressed: log lines suppressed because of their budget.
    :param control_traffic: bytes of view polls and their responses since the start.
    :param receive_wait: longest time that a packet may have waited to be read.
    """
    return [
        *_packet_families(decisions, packets),
        *_server_families(state, now),
        *_view_families(state, now),
        Family(
            "wasabigw_control_bytes_total",
            MetricKind.COUNTER,
            "Bytes of polls for views and of their answers",
            (Sample(control_traffic),),
        ),
        gauge(
            "wasabigw_link_queue_bytes",
            "Bytes of packets that wait for the link of this balancer",
            state.egress.size,
        ),
        _by_service(
            "wasabigw_new_flow_share",
            "Part of the new flows here that goes to a failure domain by load figures",
            {
                (service, domain): share
                for service, shares in shares_in_force(state, now).items()
                for domain, share in shares.items()
            },
        ),
        *_link_families(state),
        gauge(
            "wasabigw_receive_wait_seconds",
            "Time for which the receive buffer has not been empty",
            receive_wait,
        ),
        gauge("wasabigw_log_lines_left_out", "Lines beyond the budget", suppressed),
        *admission_families(state, now),
    ]


def _packet_families(
    decisions: Mapping[DecisionKey, int], packets: Mapping[str, int]
) -> list[Family]:
    """Metrics of decisions and packets."""
    return [
        Family(
            "wasabigw_decisions_total",
            MetricKind.COUNTER,
            "Decisions on openings, and on other packets that were not carried on",
            tuple(Sample(n, key._asdict()) for key, n in sorted(decisions.items())),
        ),
        Family(
            "wasabigw_packets_total",
            MetricKind.COUNTER,
            "Packets by what became of them",
            tuple(Sample(n, {"outcome": key}) for key, n in sorted(packets.items())),
        ),
    ]


def _server_families(state: TagState, now: Seconds) -> list[Family]:
    """Metrics of backend servers and their flows, by service."""
    flows: Counter[tuple[ServiceId, FailureDomainId]] = Counter()
    boots: Counter[tuple[ServiceId, FailureDomainId, str]] = Counter()
    failing: Counter[tuple[ServiceId, FailureDomainId]] = Counter()
    for server in state.servers.values():
        boot = server.registration
        boots[boot.service, boot.failure_domain, boot_state(boot)] += 1
        flows[boot.service, boot.failure_domain] += server.open_flows
        is_failing = health_of(server.breaker, now) is not Health.ANSWERING
        failing[boot.service, boot.failure_domain] += is_failing
    return [
        Family(
            "wasabigw_answer_seconds",
            MetricKind.HISTOGRAM,
            "Time from data of a caller to what it acknowledges next",
            tuple(
                Sample(durations, {"service": service})
                for service, durations in sorted(state.answer_times.items())
            ),
        ),
        _by_service("wasabigw_flows_open", "Flows that this balancer carries", flows),
        Family(
            "wasabigw_boots",
            MetricKind.GAUGE,
            "Boots of backend servers in the view",
            tuple(
                Sample(n, {"service": s, "failure_domain": d, "state": state_text})
                for (s, d, state_text), n in sorted(boots.items())
            ),
        ),
        _by_service(
            "wasabigw_servers_doubted",
            "Backend servers that get no new flows but for probes",
            failing,
        ),
        _by_service(
            "wasabigw_failure_domains_suspected",
            "Failure domains that get no new flows of a service but for probes",
            {key: bool(s.suspected) for key, s in state.suspicions.items()},
        ),
    ]


def _view_families(state: TagState, now: Seconds) -> list[Family]:
    """Metrics of the view and of the configuration in force."""
    return [
        out_of_service(state.view.out_of_service),
        gauge("wasabigw_view_revision", "Revision of the view", state.view.revision),
        view_age(state.view_age(now)),
        gauge(
            "wasabigw_view_fresh",
            "Whether it is known to be current",
            state.is_fresh(now),
        ),
        declared_version(state.declared_version),
    ]


def _link_families(state: TagState) -> list[Family]:
    """Metrics of the classes on the link and of uploads."""
    classes = state.egress.classes
    late = len(state.late_uploads)
    uploads = {"in time": len(state.uploads) - late, "late": late}
    uploads["waiting for a turn"] = len(state.egress.turns)
    return [
        Family(
            "wasabigw_link_class_queue_bytes",
            MetricKind.GAUGE,
            "Bytes of packets that wait for the link of this balancer",
            tuple(
                Sample(members.packets.size, {"class": name.value})
                for name, members in classes.items()
            ),
        ),
        Family(
            "wasabigw_link_class_bytes_total",
            MetricKind.COUNTER,
            "Bytes that were given to the link of this balancer",
            tuple(
                Sample(members.total, {"class": name.value})
                for name, members in classes.items()
            ),
        ),
        Family(
            "wasabigw_uploads",
            MetricKind.GAUGE,
            "Admitted uploads, by whether the link can carry them in time",
            tuple(Sample(n, {"state": name}) for name, n in uploads.items()),
        ),
    ]


def _by_service(
    name: str, text: str, counts: Mapping[tuple[ServiceId, FailureDomainId], float]
) -> Family:
    """Gauge with a sample for each service and failure domain."""
    samples = tuple(
        Sample(n, {"service": service, "failure_domain": domain})
        for (service, domain), n in sorted(counts.items())
    )
    return Family(name, MetricKind.GAUGE, text, samples)


def boot_state(boot: Registration) -> str:
    """State of a boot in logs and metrics; a serving boot may be shown as silent."""
    is_silent = boot.silent and boot.state is RegistrationState.SERVING
    return "silent" if is_silent else boot.state.value
