"""Fault scenarios of operators: concurrent changes, and changes that are resent."""

import json
import signal
import time
from typing import Any

from wasabigw.ctl.errors import ExitCode
from wasabigw_demo import _processes
from wasabigw_demo._faults_control import set_priority
from wasabigw_demo._scenario import FaultRun, Scenario
from wasabigw_demo._system import COMMAND_TIMEOUT, DemoFailedError

ROUNDS = 3
OPERATORS = ("operator-1", "operator-2")
TOOL_START_TIME = 0.6
"""Seconds that wasabigwctl takes to start, until just before it sends its change."""


def _run_concurrent_changes(run: FaultRun) -> None:
    run.sleep_until(1.0)
    for number in range(ROUNDS):
        revision = run.control.configuration_revision()
        codes = _run_one_round(run, number, str(revision))
        after = run.control.configuration_revision()
        won = {*codes.values()} == {ExitCode.SUCCESS, ExitCode.CONFLICT}
        detail = f"exit {' and '.join(map(str, codes.values()))}"
        run.check(f"exactly one of two changes wins ({number + 1})", won, detail)
        winner = next((n for n, code in codes.items() if code == 0), OPERATORS[0])
        wanted = _round_priority(number, winner)
        priority = run.control.priority()
        run.check(
            f"the winner's change is in force ({number + 1})",
            priority == wanted and after > revision,
            f"{winner}: {priority}",
        )


def _run_one_round(run: FaultRun, number: int, revision: str) -> dict[str, int | None]:
    children = run.system.children
    for name in OPERATORS:
        priority = str(_round_priority(number, name))
        change = ("service", "update", "documents", "--priority", priority)
        command = _processes.tool_command(
            run.layout, *change, "--expected-revision", revision
        )
        run.system.launch_tool(name, command)
    return {name: children.wait(name, COMMAND_TIMEOUT) for name in OPERATORS}


def _round_priority(number: int, operator: str) -> int:
    return 10 + number * len(OPERATORS) + OPERATORS.index(operator)


def _resend(run: FaultRun) -> None:
    run.sleep_until(1.0)
    revision = str(run.control.configuration_revision())
    first = _update(run, 5, "resent-1", revision)
    leader = run.control.leader()
    run.system.terminate(leader.id, signal.SIGKILL)
    run.print_step(f"killed {leader.id} after a change; resending it")
    second = _update(run, 5, "resent-1", revision)
    same = first["revision"] == second["revision"]
    detail = f"revisions {first['revision']} and {second['revision']}"
    run.check("the resent change gets its first answer", same, detail)
    now = run.control.configuration_revision()
    run.check("it did not take effect again", now == first["configuration_revision"])
    run.system.start_node(leader)
    _resend_in_flight(run)


def _resend_in_flight(run: FaultRun) -> None:
    """Kill the leader during a change, so that wasabigwctl itself resends it."""
    revision = run.control.configuration_revision()
    change = ("service", "update", "documents", "--priority", "6", "--output", "json")
    identity = ("--request-id", "resent-2", "--expected-revision", str(revision))
    command = _processes.tool_command(run.layout, *change, *identity)
    leader = run.control.leader()
    run.system.launch_tool("operator-1", command)
    time.sleep(TOOL_START_TIME)
    run.system.terminate(leader.id, signal.SIGKILL)
    run.print_step(f"killed {leader.id} during a change")
    code = run.system.children.wait("operator-1", COMMAND_TIMEOUT)
    run.check("the tool learns the outcome", code == ExitCode.SUCCESS, f"exit {code}")
    after = run.control.configuration_revision()
    again = _update(run, 6, "resent-2", str(revision))
    last = run.control.configuration_revision()
    once = last == after == again["configuration_revision"] > revision
    run.check("the change took effect once", once, f"revisions {after} and {last}")
    run.system.start_node(leader)
    set_priority(run, 7)


def _update(
    run: FaultRun, priority: int, request_id: str, revision: str
) -> dict[str, Any]:
    change = ("service", "update", "documents", "--priority", str(priority))
    identity = ("--request-id", request_id, "--expected-revision", revision)
    output = run.system.run_tool(*change, *identity, "--output", "json")
    lines = [line for line in output.splitlines() if line.startswith("{")]
    try:
        value = json.loads(output[output.index("{") : output.rindex("}") + 1])
    except ValueError as error:
        raise DemoFailedError(f"no JSON in {lines or output!r}") from error
    return dict(value)


SCENARIOS = (
    Scenario(
        "racing-operators",
        "two tools change the same revision at once",
        _run_concurrent_changes,
    ),
    Scenario("resend", "a change resent after the leader was killed", _resend),
)
