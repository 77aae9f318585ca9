"""Checks that each address and port belongs to at most one service."""

from collections.abc import Iterable

from wasabigw.core.cluster import ClusterState, Service, endpoint_key
from wasabigw.core.commands import BackendServerUp
from wasabigw.core.endpoint import MAX_PORT as MAX_PORT
from wasabigw.core.endpoint import endpoint_problem as endpoint_problem
from wasabigw.core.ids import ServiceId
from wasabigw.core.names import announced_id_problem
from wasabigw.core.states import RefusalCode
from wasabigw.core.transition import Transition

Problem = tuple[RefusalCode, str]
"""Code and text of a refusal."""


def service_endpoint_problem(
    service: Service, transition: Transition
) -> Problem | None:
    """Why a new service may not use its endpoint, or ``None``."""
    key = endpoint_key(service.endpoint)
    error = endpoint_problem(service.endpoint)
    if error is not None:
        return RefusalCode.INVALID, f"service {service.id}: {error}"
    owner = transition.owner_of(service.endpoint)
    if owner is not None:
        return (
            RefusalCode.ENDPOINT_IN_USE,
            f"{key} is used by service {owner}; choose another address or port for "
            f"service {service.id}",
        )
    quarantine = transition.state.quarantine.get(key)
    if quarantine is not None:
        return RefusalCode.ENDPOINT_IN_QUARANTINE, _quarantine_message(
            key, quarantine.service
        )
    return None


def duplicate_endpoint(services: Iterable[Service]) -> str | None:
    """Message about the first endpoint that two services share, or ``None``."""
    owners: dict[str, ServiceId] = {}
    for service in services:
        key = endpoint_key(service.endpoint)
        if key in owners:
            return (
                f"services {owners[key]} and {service.id} both use {key}; "
                "give each service its own address or port"
            )
        owners[key] = service.id
    return None


def backend_server_problem(report: BackendServerUp, state: ClusterState) -> str | None:
    """Why a backend server may not register now, or ``None``.

    Homes send this reason in the refusal of an announcement.
    """
    return registration_problem(report, Transition(state, state.revision))


def report_problem(report: BackendServerUp) -> str | None:
    """What makes a report invalid regardless of the cluster state, or ``None``."""
    if report.slots < 1 or report.connections < 1:
        return "slots and connections must be at least 1"
    return (
        announced_id_problem("backend server", report.id)
        or announced_id_problem("boot", report.boot_id)
        or endpoint_problem(report.endpoint)
    )


def registration_problem(report: BackendServerUp, transition: Transition) -> str | None:
    """Why a backend server may not register within a transition, or ``None``."""
    state = transition.state
    error = report_problem(report)
    if error is not None:
        return error
    if report.service not in state.services:
        return f"there is no service {report.service!r}; check the announced service"
    if report.failure_domain not in state.failure_domains:
        return (
            f"there is no failure domain {report.failure_domain!r}; check the "
            "announced failure domain"
        )
    known = state.backend_servers.get(report.id)
    if known is not None and known.failure_domain != report.failure_domain:
        return (
            f"backend server {report.id} is registered in failure domain "
            f"{known.failure_domain}; give each backend server its own id"
        )
    if known is not None and known.endpoint == report.endpoint:
        return _service_change_problem(report, known.service)
    if known is not None and known.boot_id == report.boot_id:
        return (
            f"backend server {report.id} is registered at "
            f"{endpoint_key(known.endpoint)} with the same boot id; draw a new boot "
            "id at each start and give each backend server its own id"
        )
    return _endpoint_use_problem(report, transition)


def _service_change_problem(report: BackendServerUp, current: ServiceId) -> str | None:
    if current == report.service:
        return None
    return _quarantine_message(endpoint_key(report.endpoint), current)


def _endpoint_use_problem(
    report: BackendServerUp, transition: Transition
) -> str | None:
    key = endpoint_key(report.endpoint)
    owner = transition.owner_of(report.endpoint)
    if owner is not None:
        return (
            f"{key} is used by service {owner}; announce another address or port, or "
            "wait until the other backend server is removed"
        )
    quarantine = transition.state.quarantine.get(key)
    if quarantine is not None and quarantine.service != report.service:
        return _quarantine_message(key, quarantine.service)
    return None


def _quarantine_message(key: str, service: ServiceId) -> str:
    return (
        f"{key} belonged to service {service} until just now; try again when its "
        "quarantine has ended"
    )
