"""Commands ``service create``, ``update``, ``remove`` and ``failure-domains``."""

import math
from dataclasses import replace
from enum import Enum
from typing import Annotated

import typer
from returns.result import Failure, Result, Success

from wasabigw.core.cluster import Endpoint, Service
from wasabigw.core.commands import (
    Change,
    CreateService,
    RemoveService,
    SetServiceFailureDomains,
    UpdateService,
)
from wasabigw.core.ids import FailureDomainId, ServiceId
from wasabigw.core.names import NAME_RULE, is_name
from wasabigw.core.preview import ConfigurationView
from wasabigw.core.problems import Problem, Problems, describe_known_names, format_value
from wasabigw.core.states import FlowLimit, Protocol
from wasabigw.ctl.change_command import constant_change, send_change
from wasabigw.ctl.connection import value_or_exit
from wasabigw.ctl.console import Output
from wasabigw.ctl.errors import WrongInput, wrong_input
from wasabigw.ctl.options import (
    DryRunOption,
    ExpectedRevisionOption,
    OutputOption,
    RequestIdOption,
    change_options,
)
from wasabigw.settings_types import parse_endpoint

service_app = typer.Typer(help="Services.", no_args_is_help=True)


class ProtocolName(Enum):
    """Names of transport protocols on the command line."""

    TCP = "tcp"
    UDP = "udp"


_PROTOCOLS = {ProtocolName.TCP: Protocol.TCP, ProtocolName.UDP: Protocol.UDP}

ServiceArgument = Annotated[str, typer.Argument(help="Id of the service.")]
DomainsArgument = Annotated[
    list[str], typer.Argument(help="Failure domains that serve it.")
]
LimitOption = Annotated[
    FlowLimit | None,
    typer.Option(
        "--limit-by", help="Announced limit that applies to the number of open flows."
    ),
]
DeadlineOption = Annotated[
    float | None,
    typer.Option("--request-deadline", help="Time limit of a request in seconds."),
]
RepeatableOption = Annotated[
    bool | None,
    typer.Option(
        "--repeatable/--not-repeatable", help="Whether all its requests are idempotent."
    ),
]
PriorityOption = Annotated[
    int | None,
    typer.Option(
        "--priority",
        help="Services with higher values are served first when limits apply.",
    ),
]


@service_app.command()
def create(
    context: typer.Context,
    service: ServiceArgument,
    failure_domains: DomainsArgument,
    endpoint: Annotated[
        str, typer.Option("--endpoint", help="Service address and port (address:port).")
    ],
    protocol: Annotated[
        ProtocolName, typer.Option("--protocol", help="Transport protocol.")
    ] = ProtocolName.TCP,
    limit_by: LimitOption = None,
    request_deadline: DeadlineOption = None,
    repeatable: RepeatableOption = None,
    priority: PriorityOption = None,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Create a service and set the failure domains that serve it."""
    options = change_options(request_id, expected_revision, dry_run, output)
    parsed = value_or_exit(_new_endpoint(service, endpoint), output)
    minimal = Service(
        ServiceId(service), parsed, _PROTOCOLS[protocol], _domain_ids(failure_domains)
    )
    changed = _with_options(minimal, limit_by, request_deadline, repeatable, priority)
    change = CreateService(value_or_exit(changed, output))
    send_change(context, constant_change(change), options, output)


@service_app.command()
def update(
    context: typer.Context,
    service: ServiceArgument,
    limit_by: LimitOption = None,
    request_deadline: DeadlineOption = None,
    repeatable: RepeatableOption = None,
    priority: PriorityOption = None,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Change settings of a service; settings that are not given stay unchanged."""
    options = change_options(request_id, expected_revision, dry_run, output)

    def build(view: ConfigurationView) -> Result[Change, WrongInput]:
        current = view.services.get(ServiceId(service))
        if current is None:
            expected = describe_known_names(service, view.services)
            return Failure(wrong_input("service", format_value(service), expected))
        changed = _with_options(
            current, limit_by, request_deadline, repeatable, priority
        )
        if not isinstance(changed, Success):
            return Failure(WrongInput(changed.failure()))
        return Success(UpdateService(changed.unwrap()))

    send_change(context, build, options, output)


@service_app.command()
def remove(
    context: typer.Context,
    service: ServiceArgument,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Remove a service; its address is quarantined before it can be used again."""
    options = change_options(request_id, expected_revision, dry_run, output)
    change = RemoveService(ServiceId(service))
    send_change(context, constant_change(change), options, output)


@service_app.command("failure-domains")
def failure_domains_command(
    context: typer.Context,
    service: ServiceArgument,
    failure_domains: DomainsArgument,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Set the failure domains that serve a service."""
    options = change_options(request_id, expected_revision, dry_run, output)
    change = SetServiceFailureDomains(ServiceId(service), _domain_ids(failure_domains))
    send_change(context, constant_change(change), options, output)


def _new_endpoint(service: str, text: str) -> Result[Endpoint, Problems]:
    problems = []
    endpoint = None
    if not is_name(service):
        problems.append(Problem("service", format_value(service), NAME_RULE))
    try:
        endpoint = parse_endpoint(text)
    except ValueError as error:
        problems.append(Problem("--endpoint", format_value(text), str(error)))
    if endpoint is None or problems:
        return Failure(tuple(problems))
    return Success(endpoint)


def _domain_ids(names: list[str]) -> tuple[FailureDomainId, ...]:
    return tuple(FailureDomainId(name) for name in dict.fromkeys(names))


def _with_options(
    service: Service,
    limit_by: FlowLimit | None,
    request_deadline: float | None,
    repeatable: bool | None,
    priority: int | None,
) -> Result[Service, Problems]:
    """Copy of a service with the given options applied."""
    if request_deadline is not None:
        if not (math.isfinite(request_deadline) and request_deadline > 0):
            read = format_value(request_deadline)
            problem = Problem(
                "--request-deadline", read, "a number of seconds greater than 0"
            )
            return Failure((problem,))
        service = replace(service, request_deadline=request_deadline)
    if limit_by is not None:
        service = replace(service, limit_by=limit_by)
    if repeatable is not None:
        service = replace(service, repeatable=repeatable)
    if priority is not None:
        service = replace(service, priority=priority)
    return Success(service)
