"""Preview of the effect of a change on the configuration, without sending it.

The preview works on a copy of the configuration. The leader may still refuse the change
for a reason that the copy doesn't contain, such as an address in quarantine.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch

from returns.result import Failure, Result, Success

from wasabigw.core.cluster import (
    NO_REVISION,
    BackendServer,
    FailureDomain,
    Node,
    Service,
    endpoint_key,
)
from wasabigw.core.commands import (
    BringFailureDomainBack,
    Change,
    CreateService,
    DrainBackendServer,
    DrainBalancer,
    RemoveService,
    ReplaceConfiguration,
    SetServiceFailureDomains,
    TakeFailureDomainOut,
    UpdateService,
)
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    NodeId,
    Revision,
    ServiceId,
)
from wasabigw.core.problems import Problem, Problems, describe_known_names, format_value
from wasabigw.core.states import BackendServerState, FailureDomainState, NodeState

ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """The part of the replicated state that operators can read and change."""

    revision: Revision = NO_REVISION
    configuration_revision: Revision = NO_REVISION
    services: Mapping[ServiceId, Service] = field(default_factory=dict)
    failure_domains: Mapping[FailureDomainId, FailureDomain] = field(
        default_factory=dict
    )
    backend_servers: Mapping[BackendServerId, BackendServer] = field(
        default_factory=dict
    )
    nodes: Mapping[NodeId, Node] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Difference:
    """A configuration value that a change would modify.

    :param key: path of the value, such as ``services.seats.priority``.
    """

    key: str
    before: str
    after: str


def preview(
    change: Change, view: ConfigurationView
) -> Result[tuple[Difference, ...], Problems]:
    """Values that a change would modify, or the reasons why it would be refused."""
    return apply_to_view(change, view).map(lambda after: _differences(view, after))


@singledispatch
def apply_to_view(
    change: Change, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    """Copy of the configuration with the change applied."""
    raise TypeError(f"unsupported change type: {type(change).__name__}")


@apply_to_view.register
def _(
    change: CreateService, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    service = change.service
    if service.id in view.services:
        return _invalid_value("service", service.id, "an id that no service has yet")
    problems = (
        *_endpoint_problems(service, view.services.values()),
        *_domain_problems(service.failure_domains, view),
    )
    if problems:
        return Failure(problems)
    return Success(replace(view, services={**view.services, service.id: service}))


@apply_to_view.register
def _(
    change: UpdateService, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    service = change.service
    current = view.services.get(service.id)
    if current is None:
        return _unknown_name("service", service.id, view.services)
    if (current.endpoint, current.protocol) != (service.endpoint, service.protocol):
        expected = "the address, port and protocol that the service has"
        return _invalid_value("service", service.id, expected)
    problems = _domain_problems(service.failure_domains, view)
    if problems:
        return Failure(problems)
    return Success(replace(view, services={**view.services, service.id: service}))


@apply_to_view.register
def _(
    change: RemoveService, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    if change.service not in view.services:
        return _unknown_name("service", change.service, view.services)
    remaining = {
        key: item for key, item in view.services.items() if key != change.service
    }
    return Success(replace(view, services=remaining))


@apply_to_view.register
def _(
    change: SetServiceFailureDomains, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    current = view.services.get(change.service)
    if current is None:
        return _unknown_name("service", change.service, view.services)
    problems = _domain_problems(change.failure_domains, view)
    if problems:
        return Failure(problems)
    service = replace(current, failure_domains=change.failure_domains)
    return Success(replace(view, services={**view.services, service.id: service}))


@apply_to_view.register
def _(
    change: TakeFailureDomainOut, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    return _with_domain_state(
        change.failure_domain, FailureDomainState.OUT_OF_SERVICE, view
    )


@apply_to_view.register
def _(
    change: BringFailureDomainBack, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    return _with_domain_state(
        change.failure_domain, FailureDomainState.IN_SERVICE, view
    )


@apply_to_view.register
def _(
    change: DrainBackendServer, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    name = change.backend_server
    current = view.backend_servers.get(name)
    if current is None:
        return _unknown_name("backend server", name, view.backend_servers)
    draining = replace(current, state=BackendServerState.DRAINING)
    return Success(
        replace(view, backend_servers={**view.backend_servers, name: draining})
    )


@apply_to_view.register
def _(
    change: DrainBalancer, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    current = view.nodes.get(change.node)
    if current is None:
        return _unknown_name("balancer", change.node, view.nodes)
    draining = replace(current, state=NodeState.DRAINING)
    return Success(replace(view, nodes={**view.nodes, change.node: draining}))


@apply_to_view.register
def _(
    change: ReplaceConfiguration, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    after = replace(
        view,
        services={service.id: service for service in change.services},
        failure_domains={
            domain.id: _with_current_state(domain, view)
            for domain in change.failure_domains
        },
    )
    problems = tuple(
        problem
        for service in change.services
        for problem in (
            *_endpoint_problems(service, change.services),
            *_domain_problems(service.failure_domains, after),
        )
    )
    return Failure(problems) if problems else Success(after)


def _with_domain_state(
    name: FailureDomainId, state: FailureDomainState, view: ConfigurationView
) -> Result[ConfigurationView, Problems]:
    current = view.failure_domains.get(name)
    if current is None:
        return _unknown_name("failure domain", name, view.failure_domains)
    domain = replace(current, state=state)
    return Success(
        replace(view, failure_domains={**view.failure_domains, name: domain})
    )


def _with_current_state(
    domain: FailureDomain, view: ConfigurationView
) -> FailureDomain:
    """Keep the current state of a failure domain that exists already.

    Replacing the configuration must not bring a failure domain back into service.
    """
    current = view.failure_domains.get(domain.id)
    return domain if current is None else replace(domain, state=current.state)


def _endpoint_problems(service: Service, others: Iterable[Service]) -> Problems:
    return tuple(
        Problem(
            f"service {service.id}",
            endpoint_key(service.endpoint),
            f"an address and port that service {other.id} does not have",
        )
        for other in others
        if other.id != service.id and other.endpoint == service.endpoint
    )


def _domain_problems(
    names: Iterable[FailureDomainId], view: ConfigurationView
) -> Problems:
    return tuple(
        Problem(
            "failure domain",
            format_value(name),
            describe_known_names(name, view.failure_domains),
        )
        for name in names
        if name not in view.failure_domains
    )


def _invalid_value(kind: str, name: str, expected: str) -> Failure[Problems]:
    return Failure((Problem(kind, format_value(name), expected),))


def _unknown_name(kind: str, name: str, known: Iterable[str]) -> Failure[Problems]:
    return _invalid_value(kind, name, describe_known_names(name, known))


def _differences(
    before: ConfigurationView, after: ConfigurationView
) -> tuple[Difference, ...]:
    values_before = _values(before)
    values_after = _values(after)
    keys = sorted(values_before.keys() | values_after.keys())
    return tuple(
        Difference(key, values_before.get(key, ABSENT), values_after.get(key, ABSENT))
        for key in keys
        if values_before.get(key) != values_after.get(key)
    )


def _values(view: ConfigurationView) -> dict[str, str]:
    values: dict[str, str] = {}
    for service in view.services.values():
        values.update(_service_values(service))
    for domain in view.failure_domains.values():
        key = f"failure_domains.{domain.id}"
        values[f"{key}.region"] = domain.region
        values[f"{key}.state"] = domain.state.value
    for server in view.backend_servers.values():
        values[f"backend_servers.{server.id}.state"] = server.state.value
    for node in view.nodes.values():
        values[f"balancers.{node.id}.state"] = node.state.value
    return values


def _service_values(service: Service) -> dict[str, str]:
    key = f"services.{service.id}"
    return {
        f"{key}.endpoint": endpoint_key(service.endpoint),
        f"{key}.protocol": service.protocol.name,
        f"{key}.failure_domains": ", ".join(service.failure_domains),
        f"{key}.limit_by": service.limit_by.value,
        f"{key}.request_deadline": f"{service.request_deadline:g} s",
        f"{key}.repeatable": str(service.repeatable).lower(),
        f"{key}.priority": str(service.priority),
    }
