"""Commands ``failure-domain`` and ``drain``."""

from typing import Annotated

import typer
from returns.result import Failure, Result, Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.commands import (
    BringFailureDomainBack,
    DrainBackendServer,
    DrainBalancer,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import BackendServerId, FailureDomainId, NodeId, Seconds
from wasabigw.core.problems import Problem, Problems, format_value
from wasabigw.ctl.api import Api
from wasabigw.ctl.change_command import constant_change, send_change
from wasabigw.ctl.connection import connect, tool_settings, value_or_exit
from wasabigw.ctl.console import Output, exit_with_error, show_result
from wasabigw.ctl.errors import CtlError, NotAllTold, error_lines, wrong_input
from wasabigw.ctl.options import (
    DryRunOption,
    ExpectedRevisionOption,
    OutputOption,
    RequestIdOption,
    change_options,
)
from wasabigw.runtime.timer import monotonic
from wasabigw.settings_types import parse_endpoint

LOCAL_TIME_LIMIT = Seconds(5.0)
"""Time limit for each balancer, so that one that is down doesn't delay the others."""

failure_domain_app = typer.Typer(help="Failure domains.", no_args_is_help=True)
drain_app = typer.Typer(
    help="Drain backend servers and balancers.", no_args_is_help=True
)

DomainArgument = Annotated[str, typer.Argument(help="Id of the failure domain.")]
LocalOption = Annotated[
    bool,
    typer.Option(
        "--local",
        help="During a partition: send the change to each balancer of the failure "
        "domain directly.",
    ),
]
BalancerOption = Annotated[
    list[str] | None,
    typer.Option(
        "--balancer", help="API endpoint of a balancer (address:port); repeatable."
    ),
]


@failure_domain_app.command()
def out(
    context: typer.Context,
    failure_domain: DomainArgument,
    local: LocalOption = False,
    balancer: BalancerOption = None,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Take a failure domain out of service; its flows are abandoned."""
    options = change_options(request_id, expected_revision, dry_run, output)
    if not local:
        if balancer:
            expected = "--local together with --balancer"
            exit_with_error(
                output, wrong_input("--balancer", format_value(balancer), expected)
            )
        change = TakeFailureDomainOut(FailureDomainId(failure_domain))
        send_change(context, constant_change(change), options, output)
        return
    if request_id is not None or expected_revision is not None:
        expected = "neither option, because a local change is not written to the log"
        exit_with_error(
            output,
            wrong_input("--local", "--request-id or --expected-revision", expected),
        )
    _out_locally(context, failure_domain, balancer or [], dry_run, output)


@failure_domain_app.command()
def back(
    context: typer.Context,
    failure_domain: DomainArgument,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Bring a failure domain back into service; its backend servers ramp up."""
    options = change_options(request_id, expected_revision, dry_run, output)
    change = BringFailureDomainBack(FailureDomainId(failure_domain))
    send_change(context, constant_change(change), options, output)


@drain_app.command("backend-server")
def drain_backend_server(
    context: typer.Context,
    backend_server: Annotated[str, typer.Argument(help="Id of the backend server.")],
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Stop sending new flows to a backend server; established flows continue."""
    options = change_options(request_id, expected_revision, dry_run, output)
    change = DrainBackendServer(BackendServerId(backend_server))
    send_change(context, constant_change(change), options, output)


@drain_app.command("balancer")
def drain_balancer(
    context: typer.Context,
    node: Annotated[str, typer.Argument(help="Node id of the balancer.")],
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Move the homes of a balancer to other balancers before it is stopped."""
    options = change_options(request_id, expected_revision, dry_run, output)
    send_change(context, constant_change(DrainBalancer(NodeId(node))), options, output)


def parse_balancers(texts: list[str]) -> Result[tuple[Endpoint, ...], Problems]:
    """Parse the values of the option ``--balancer``."""
    endpoints = []
    problems = []
    for text in texts:
        try:
            endpoints.append(parse_endpoint(text))
        except ValueError as error:
            problems.append(Problem("--balancer", format_value(text), str(error)))
    return Failure(tuple(problems)) if problems else Success(tuple(endpoints))


def _out_locally(
    context: typer.Context,
    failure_domain: str,
    texts: list[str],
    dry_run: bool,
    output: Output,
) -> None:
    balancers = value_or_exit(parse_balancers(texts), output)
    if not balancers:
        known = tool_settings(context, output).balancers
        balancers = known.get(failure_domain, ())
    if not balancers:
        expected = f"--balancer, or balancers.{failure_domain} in the settings"
        exit_with_error(output, wrong_input("--local", "no balancers", expected))
    names = [endpoint_key(balancer) for balancer in balancers]
    if dry_run:
        lines = [f"{name}: {failure_domain} -> out-of-service" for name in names]
        value = {"outcome": "dry-run", "exit_code": 0, "balancers": names}
        show_result(output, lines, value)
        return
    with connect(context, output) as api:
        errors = _take_out_at_each(api, balancers, FailureDomainId(failure_domain))
    _show_local_outcome(names, errors, failure_domain, output)


def _take_out_at_each(
    api: Api, balancers: tuple[Endpoint, ...], failure_domain: FailureDomainId
) -> list[CtlError | None]:
    errors: list[CtlError | None] = []
    for balancer in balancers:
        deadline = Seconds(monotonic() + LOCAL_TIME_LIMIT)
        outcome = api.take_out_locally(balancer, failure_domain, deadline)
        errors.append(None if isinstance(outcome, Success) else outcome.failure())
    return errors


def _show_local_outcome(
    names: list[str],
    errors: list[CtlError | None],
    failure_domain: str,
    output: Output,
) -> None:
    outcomes = list(zip(names, errors, strict=True))
    confirmed = tuple(name for name, error in outcomes if error is None)
    failed = tuple(
        f"{name}: {error_lines(error)[0]}"
        for name, error in outcomes
        if error is not None
    )
    if failed:
        exit_with_error(output, NotAllTold(confirmed, failed))
    value = {"outcome": "out-locally", "exit_code": 0, "balancers": names}
    lines = [f"{failure_domain} is out of service at {', '.join(names)}"]
    show_result(output, lines, value)
