"""Command ``route``: where a balancer would send an opening now, and why."""

from typing import Annotated, Any

import msgspec
import requests
import typer
from returns.result import Failure, Result, Success

from wasabigw.core.endpoint import Endpoint, endpoint_key
from wasabigw.core.tags.route_preview import Candidate, RoutePreview
from wasabigw.ctl.console import Output, exit_with_error, show_result
from wasabigw.ctl.errors import CtlError, Unavailable, UnexpectedAnswer, wrong_input
from wasabigw.ctl.options import OutputOption
from wasabigw.settings_types import parse_endpoint

ROUTE_PATH = "/route"
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 5.0
MAX_LINES = 20
"""Backend servers that the text shows; the JSON has all of them."""


def route(
    caller: Annotated[str, typer.Argument(help="Caller (address:port).")],
    listener: Annotated[
        str, typer.Argument(help="Address that callers use (address:port).")
    ],
    balancer: Annotated[
        str,
        typer.Option(
            "--balancer", help="Metrics endpoint of the balancer (address:port)."
        ),
    ],
    stale: Annotated[
        bool,
        typer.Option("--stale", help="Answer also if the view may not be current."),
    ] = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show where a balancer would send a new flow now, and why; sends nothing to it."""
    ends = {"CALLER": caller, "LISTENER": listener, "--balancer": balancer}
    parsed = {name: _endpoint(name, text, output) for name, text in ends.items()}
    outcome = _ask(parsed["--balancer"], caller, listener, stale)
    if not isinstance(outcome, Success):
        exit_with_error(output, outcome.failure())
    preview: RoutePreview = outcome.unwrap()
    show_result(output, _lines(preview), msgspec.to_builtins(preview))


def _endpoint(name: str, text: str, output: Output) -> Endpoint:
    try:
        return parse_endpoint(text)
    except ValueError as error:
        exit_with_error(output, wrong_input(name, repr(text), str(error)))


def _ask(
    balancer: Endpoint, caller: str, listener: str, stale: bool
) -> Result[RoutePreview, CtlError]:
    where = endpoint_key(balancer)
    query = {"caller": caller, "listener": listener, "stale": str(int(stale))}
    try:
        response = requests.get(
            f"http://{where}{ROUTE_PATH}",
            params=query,
            timeout=(CONNECT_TIMEOUT_S, READ_TIMEOUT_S),
        )
    except requests.RequestException as error:
        return Failure(Unavailable(f"{where}: {type(error).__name__}"))
    if response.status_code == requests.codes.ok:
        return _decode(response)
    return Failure(_error_of(response, where, listener))


def _decode(response: requests.Response) -> Result[RoutePreview, CtlError]:
    try:
        return Success(msgspec.json.decode(response.content, type=RoutePreview))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Failure(UnexpectedAnswer(response.status_code, str(error)))


def _error_of(response: requests.Response, where: str, listener: str) -> CtlError:
    if response.status_code == requests.codes.too_many_requests:
        return Unavailable(f"{where} was asked a moment ago; try again")
    try:
        body: Any = response.json()
        reason = str(body["error"])
    except (ValueError, KeyError, TypeError):
        # An earlier version of the balancer has no such page.
        return UnexpectedAnswer(response.status_code, f"{where} has no {ROUTE_PATH}")
    if response.status_code == requests.codes.service_unavailable:
        return Unavailable(f"{where}: {reason}")
    if response.status_code == requests.codes.not_found:
        return wrong_input("LISTENER", listener, f"a declared listener; {reason}")
    return UnexpectedAnswer(response.status_code, reason)


def _lines(preview: RoutePreview) -> list[str]:
    target = f" to {preview.server}" if preview.server is not None else ""
    lines = [f"{preview.outcome}{target}: {preview.reason}"]
    priority = "none" if preview.priority is None else str(preview.priority)
    lines.append(f"service {preview.service}, priority {priority}")
    age = preview.view_age
    current = "never known to be current" if age is None else f"{age:.1f} s old"
    lines.append(
        f"view revision {preview.revision}, configuration {preview.version}, {current}"
    )
    if preview.figures_age is None:
        lines.append("no current load figures of other balancers")
    else:
        lines.append(
            f"load figures of {preview.balancers} other balancers, "
            f"{preview.figures_age:.1f} s old"
        )
    return lines + _candidate_lines(preview)


def _candidate_lines(preview: RoutePreview) -> list[str]:
    ranked = sorted(preview.candidates, key=lambda c: c.share or 0.0, reverse=True)
    # The chosen one is always shown.
    ranked.sort(key=lambda c: c.server != preview.server)
    lines = [f"backend servers that may get new flows ({len(ranked)}):"]
    lines.extend(_candidate_line(candidate) for candidate in ranked[:MAX_LINES])
    if len(ranked) > MAX_LINES:
        lines.append(f"  and {len(ranked) - MAX_LINES} more; see --output json")
    return lines


def _candidate_line(candidate: Candidate) -> str:
    health = f"{candidate.health}, cold" if candidate.is_cold else candidate.health
    scope = "all balancers" if candidate.has_figures else "this balancer only"
    share = "" if candidate.share is None else f", share {candidate.share:.1%}"
    return (
        f"  {candidate.server} in {candidate.failure_domain}: {health}, "
        f"{candidate.flows} flows and {candidate.in_flight} requests in flight "
        f"({scope}), {candidate.slots} slots, weight {candidate.weight:.2f}{share}"
    )
