"""Validation and application of operators' changes to the replicated state."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import replace
from functools import singledispatch

from returns.result import Failure, Result, Success

from wasabigw.core import buckets, commands
from wasabigw.core.cluster import FailureDomain, Service
from wasabigw.core.endpoint_checks import (
    Problem,
    duplicate_endpoint,
    service_endpoint_problem,
)
from wasabigw.core.ids import FailureDomainId, ServiceId
from wasabigw.core.names import name_problem
from wasabigw.core.states import (
    BackendServerState,
    FailureDomainState,
    NodeState,
    RefusalCode,
)
from wasabigw.core.timing import RAMP_STEPS
from wasabigw.core.transition import Transition

Outcome = Result[None, Problem]
_APPLIED: Outcome = Success(None)


@singledispatch
def apply_change(
    change: commands.Change | commands.OrderedChange, transition: Transition
) -> Outcome:
    """Validate a change and apply it if it is valid.

    A rejected change leaves the state as it was.
    """
    raise TypeError(f"unsupported change type: {type(change).__name__}")


@apply_change.register
def _(change: commands.CreateService, transition: Transition) -> Outcome:
    service = change.service
    if service.id in transition.state.services:
        return Failure(
            (
                RefusalCode.ALREADY_EXISTS,
                f"service {service.id} exists; update it or choose another id",
            )
        )
    problem = _service_problem(service, transition)
    problem = problem or service_endpoint_problem(service, transition)
    if problem is not None:
        return Failure(problem)
    _add_service(service, transition)
    return _APPLIED


@apply_change.register
def _(change: commands.UpdateService, transition: Transition) -> Outcome:
    service = change.service
    current = transition.state.services.get(service.id)
    if current is None:
        return Failure(_service_not_found(service.id))
    problem = _endpoint_change_problem(current, service) or _service_problem(
        service, transition
    )
    if problem is not None:
        return Failure(problem)
    _replace_service(service, transition)
    return _APPLIED


@apply_change.register
def _(change: commands.RemoveService, transition: Transition) -> Outcome:
    if change.service not in transition.state.services:
        return Failure(_service_not_found(change.service))
    transition.remove_service(change.service)
    return _APPLIED


@apply_change.register
def _(change: commands.SetServiceFailureDomains, transition: Transition) -> Outcome:
    current = transition.state.services.get(change.service)
    if current is None:
        return Failure(_service_not_found(change.service))
    service = replace(current, failure_domains=change.failure_domains)
    problem = _service_problem(service, transition)
    if problem is not None:
        return Failure(problem)
    _replace_service(service, transition)
    return _APPLIED


@apply_change.register
def _(change: commands.TakeFailureDomainOut, transition: Transition) -> Outcome:
    state = transition.state
    current = state.failure_domains.get(change.failure_domain)
    if current is None:
        return Failure(_failure_domain_not_found(change.failure_domain))
    if current.state is FailureDomainState.OUT_OF_SERVICE:
        return _APPLIED
    out_of_service = replace(current, state=FailureDomainState.OUT_OF_SERVICE)
    state.failure_domains[current.id] = out_of_service
    for backend_server in state.backend_servers.values():
        if backend_server.failure_domain == current.id:
            transition.mark_departed(backend_server)
    transition.mark_failure_domain_affected(current.id)
    return _APPLIED


@apply_change.register
def _(change: commands.BringFailureDomainBack, transition: Transition) -> Outcome:
    state = transition.state
    current = state.failure_domains.get(change.failure_domain)
    if current is None:
        return Failure(_failure_domain_not_found(change.failure_domain))
    if current.state is FailureDomainState.IN_SERVICE:
        return _APPLIED
    in_service = replace(current, state=FailureDomainState.IN_SERVICE)
    state.failure_domains[current.id] = in_service
    for backend_server in list(state.backend_servers.values()):
        if backend_server.failure_domain == current.id:
            # The caches of an idle backend server are cold, so it ramps up again.
            ramping = replace(backend_server, step=RAMP_STEPS[0], overloaded=False)
            state.backend_servers[ramping.id] = ramping
    transition.mark_failure_domain_affected(current.id)
    return _APPLIED


@apply_change.register
def _(change: commands.DeclareConfiguration, transition: Transition) -> Outcome:
    state = transition.state
    if state.declared is None or change.document.version > state.declared.version:
        state.declared = change.document
        state.declared_at = transition.revision
    return _APPLIED


@apply_change.register
def _(change: commands.DrainBackendServer, transition: Transition) -> Outcome:
    state = transition.state
    current = state.backend_servers.get(change.backend_server)
    if current is None:
        return Failure(
            (
                RefusalCode.NOT_FOUND,
                f"no backend server {change.backend_server!r} is registered; list "
                "the registered ones with the state command",
            )
        )
    if current.state is not BackendServerState.LEAVING:
        draining = replace(current, state=BackendServerState.DRAINING)
        state.backend_servers[current.id] = draining
        transition.affected_services.add(current.service)
    return _APPLIED


@apply_change.register
def _(change: commands.DrainBalancer, transition: Transition) -> Outcome:
    nodes = transition.state.nodes
    node = nodes.get(change.node)
    if node is None:
        return Failure(
            (
                RefusalCode.NOT_FOUND,
                f"no balancer {change.node!r} is registered; list the registered "
                "ones with the state command",
            )
        )
    others = [other for other in nodes.values() if other.id != node.id]
    if all(other.state is NodeState.DRAINING for other in others):
        return Failure(
            (
                RefusalCode.INVALID,
                f"{node.id} is the last balancer that is not draining; start another "
                "one first",
            )
        )
    nodes[node.id] = replace(node, state=NodeState.DRAINING)
    return _APPLIED


@apply_change.register
def _(change: commands.ReplaceConfiguration, transition: Transition) -> Outcome:
    problem = _configuration_problem(change, transition)
    if problem is not None:
        return Failure(problem)
    state = transition.state
    state.failure_domains = {
        domain.id: _with_current_state(domain, transition)
        for domain in change.failure_domains
    }
    new_services = {service.id: service for service in change.services}
    for service_id in list(state.services):
        if service_id not in new_services:
            transition.remove_service(service_id)
    for service in change.services:
        if service.id in state.services:
            _replace_service(service, transition)
        else:
            _add_service(service, transition)
    return _APPLIED


def _configuration_problem(
    change: commands.ReplaceConfiguration, transition: Transition
) -> Problem | None:
    domains = [domain.id for domain in change.failure_domains]
    services = [service.id for service in change.services]
    duplicate = _duplicate_message("failure domain", domains) or _duplicate_message(
        "service", services
    )
    if duplicate is not None:
        return RefusalCode.INVALID, duplicate
    for domain in domains:
        problem = _id_problem("failure domain", domain)
        if problem is not None:
            return problem
    conflict = duplicate_endpoint(change.services)
    if conflict is not None:
        return RefusalCode.INVALID, conflict
    removal_problem = _removed_domain_problem(frozenset(domains), transition)
    if removal_problem is not None:
        return removal_problem
    for service in change.services:
        problem = _configured_service_problem(service, domains, transition)
        if problem is not None:
            return problem
    return None


def _duplicate_message(kind: str, names: Iterable[str]) -> str | None:
    for name, count in Counter(names).items():
        if count > 1:
            return f"{kind} {name} is listed {count} times; list it once"
    return None


def _removed_domain_problem(
    domains: frozenset[FailureDomainId], transition: Transition
) -> Problem | None:
    state = transition.state
    for backend_server in state.backend_servers.values():
        domain = state.failure_domains.get(backend_server.failure_domain)
        if domain is None or domain.id in domains:
            continue
        if domain.state is FailureDomainState.IN_SERVICE:
            return (
                RefusalCode.INVALID,
                f"failure domain {domain.id} is missing but serves with backend "
                f"server {backend_server.id}; take it out of service first",
            )
    return None


def _configured_service_problem(
    service: Service, domains: Sequence[FailureDomainId], transition: Transition
) -> Problem | None:
    problem = _settings_problem(service, domains)
    if problem is not None:
        return problem
    current = transition.state.services.get(service.id)
    if current is not None:
        return _endpoint_change_problem(current, service)
    return service_endpoint_problem(service, transition)


def _with_current_state(domain: FailureDomain, transition: Transition) -> FailureDomain:
    """Keep the current state of a failure domain that exists already.

    Replacing the configuration must not bring a failure domain back into service.
    """
    current = transition.state.failure_domains.get(domain.id)
    return domain if current is None else replace(domain, state=current.state)


def _add_service(service: Service, transition: Transition) -> None:
    transition.state.services[service.id] = service
    transition.state.buckets[service.id] = buckets.empty_table()
    transition.affected_services.add(service.id)


def _replace_service(service: Service, transition: Transition) -> None:
    transition.state.services[service.id] = service
    transition.affected_services.add(service.id)


def _service_problem(service: Service, transition: Transition) -> Problem | None:
    return _settings_problem(service, list(transition.state.failure_domains))


def _settings_problem(
    service: Service, domains: Sequence[FailureDomainId]
) -> Problem | None:
    problem = _id_problem("service", service.id)
    if problem is not None:
        return problem
    if not service.failure_domains:
        return (
            RefusalCode.INVALID,
            f"service {service.id} has no failure domain; name at least one",
        )
    if len(set(service.failure_domains)) < len(service.failure_domains):
        return (
            RefusalCode.INVALID,
            f"service {service.id} names a failure domain twice; name each once",
        )
    for domain in service.failure_domains:
        if domain not in domains:
            return (
                RefusalCode.NOT_FOUND,
                f"service {service.id} names the failure domain {domain!r}, which is "
                f"not configured; use one of: {', '.join(sorted(domains)) or 'none'}",
            )
    if not 0 < service.request_deadline < math.inf:
        return (
            RefusalCode.INVALID,
            f"service {service.id}: request_deadline must be a positive number of "
            "seconds",
        )
    return None


def _id_problem(kind: str, name: str) -> Problem | None:
    message = name_problem(kind, name)
    return None if message is None else (RefusalCode.INVALID, message)


def _endpoint_change_problem(current: Service, service: Service) -> Problem | None:
    if (current.endpoint, current.protocol) == (service.endpoint, service.protocol):
        return None
    return (
        RefusalCode.INVALID,
        f"service {service.id} can't change its address, port or protocol; create a "
        "service with a new id and remove this one afterwards",
    )


def _service_not_found(service: ServiceId) -> Problem:
    return (
        RefusalCode.NOT_FOUND,
        f"there is no service {service!r}; list the services with the state command",
    )


def _failure_domain_not_found(failure_domain: FailureDomainId) -> Problem:
    return (
        RefusalCode.NOT_FOUND,
        f"there is no failure domain {failure_domain!r}; list the failure domains "
        "with the state command",
    )
