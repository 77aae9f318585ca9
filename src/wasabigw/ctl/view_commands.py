"""Commands ``state``, ``in-force`` and ``flow``."""

import json
from typing import Annotated, Any

import typer
from returns.result import Success

from wasabigw.codec import messages
from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Revision
from wasabigw.core.log_messages import InForce
from wasabigw.core.preview import ConfigurationView
from wasabigw.core.problems import Problem, format_value
from wasabigw.core.states import Protocol
from wasabigw.ctl.actions import wait_in_force
from wasabigw.ctl.api import Api, flow_query
from wasabigw.ctl.connection import connect, tool_settings, value_or_exit
from wasabigw.ctl.console import Output, exit_with_error, progress, show_result
from wasabigw.ctl.errors import ExitCode, WrongInput, wrong_input
from wasabigw.ctl.operation_commands import BalancerOption, parse_balancers
from wasabigw.ctl.options import OutputOption
from wasabigw.ctl.service_commands import ProtocolName
from wasabigw.settings_types import parse_endpoint


def state(context: typer.Context, output: OutputOption = Output.TEXT) -> None:
    """Show the current configuration and the registered servers."""
    with connect(context, output) as api:
        outcome = api.configuration()
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    view = outcome.unwrap()
    show_result(output, _state_lines(view), messages.to_json(view))


def in_force(
    context: typer.Context,
    revision: Annotated[
        int | None,
        typer.Argument(
            min=0, help="Revision of the log; by default that of the configuration."
        ),
    ] = None,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the revision is in force.")
    ] = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show whether a revision is in force, and which balancers are lagging."""
    wanted = None if revision is None else Revision(revision)
    with connect(context, output) as api, progress() as show_progress:
        outcome = api.in_force(wanted)
        if wait and isinstance(outcome, Success) and not outcome.unwrap().in_force:
            current = outcome.unwrap().revision
            outcome = wait_in_force(api, current, show_progress)
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    answer = outcome.unwrap()
    show_result(output, _in_force_lines(answer), messages.to_json(answer))
    if not answer.in_force:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def flow(
    context: typer.Context,
    caller: Annotated[str, typer.Argument(help="Caller (address:port).")],
    service: Annotated[str, typer.Argument(help="Service (address:port).")],
    protocol: Annotated[
        ProtocolName, typer.Option("--protocol", help="Transport protocol.")
    ] = ProtocolName.TCP,
    balancer: BalancerOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show the path of a flow in the view of one balancer."""
    problems: list[Problem] = []
    ends = [
        _endpoint(name, text, problems)
        for name, text in (("caller", caller), ("service", service))
    ]
    if problems:
        exit_with_error(output, WrongInput(tuple(problems)))
    query = flow_query(protocol.value, ends[0], ends[1])
    given = value_or_exit(parse_balancers(balancer or []), output)
    with connect(context, output) as api:
        balancers = given or _known_balancers(context, api, output)
        outcome = api.flow(balancers, query)
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    value = outcome.unwrap()
    show_result(output, _flow_lines(value), value)


def _endpoint(name: str, text: str, problems: list[Problem]) -> Endpoint:
    try:
        return parse_endpoint(text)
    except ValueError as error:
        problems.append(Problem(name, format_value(text), str(error)))
        return Endpoint("", 0)


def _known_balancers(
    context: typer.Context, api: Api, output: Output
) -> tuple[Endpoint, ...]:
    """Balancers from the settings, or the registered ones if there are none."""
    settings = tool_settings(context, output)
    known = tuple(item for group in settings.balancers.values() for item in group)
    if known:
        return known
    outcome = api.configuration()
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    registered = tuple(node.api for node in outcome.unwrap().nodes.values())
    if not registered:
        exit_with_error(
            output,
            wrong_input("--balancer", "no balancers", "the endpoint of a balancer"),
        )
    return registered


def _state_lines(view: ConfigurationView) -> list[str]:
    lines = [
        f"revision {view.revision}, configuration {view.configuration_revision}",
        f"failure domains ({len(view.failure_domains)}):",
    ]
    for domain in view.failure_domains.values():
        lines.append(f"  {domain.id} in {domain.region}: {domain.state.value}")
    lines.append(f"services ({len(view.services)}):")
    for service in view.services.values():
        protocol = Protocol(service.protocol).name.lower()
        lines.append(
            f"  {service.id} {endpoint_key(service.endpoint)}/{protocol} "
            f"in {', '.join(service.failure_domains)}, "
            f"by {service.limit_by.value}, priority {service.priority}"
        )
    lines.append(f"backend servers ({len(view.backend_servers)}):")
    for server in view.backend_servers.values():
        lines.append(
            f"  {server.id} of {server.service} in {server.failure_domain}: "
            f"{server.state.value}, step {server.step}"
        )
    lines.append(f"balancers ({len(view.nodes)}):")
    for node in view.nodes.values():
        lines.append(f"  {node.id} in {node.failure_domain}: {node.state.value}")
    return lines


def _in_force_lines(answer: InForce) -> list[str]:
    status = "in force" if answer.in_force else "not yet in force"
    lines = [f"revision {answer.revision} is {status}"]
    lines.extend(
        f"  {node.node} in {node.failure_domain}: applied {node.applied}"
        f"{'' if node.in_force else ', lagging'}"
        for node in answer.nodes
    )
    return lines


def _flow_lines(value: dict[str, Any]) -> list[str]:
    return [f"{key}: {json.dumps(item)}" for key, item in value.items()]
