"""Fault scenarios of control voters: kill, pause, data loss and a missed log."""

import shutil
import signal
import threading
import time
from typing import Any

import requests

from wasabigw.core.cluster import Applied
from wasabigw.core.ids import Seconds
from wasabigw.ctl.errors import ExitCode
from wasabigw_demo import _processes
from wasabigw_demo._control import ControlResponse, wait_for_views
from wasabigw_demo._layout import VoterPlace
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import read_traffic
from wasabigw_demo._scenario import FaultRun, Scenario
from wasabigw_demo._system import COMMAND_TIMEOUT

PAUSE_DURATION = Seconds(5.0)
OBSERVATION_TIME = Seconds(2.0)
VIEW_TIMEOUT = Seconds(12.0)
ADMISSION_TIMEOUT = Seconds(12.0)
MISSED_CHANGES = 600
NOT_ACCEPTED_CODES = (ExitCode.UNAVAILABLE, ExitCode.OUTCOME_UNKNOWN)


def set_priority(run: FaultRun, priority: int, *options: str) -> None:
    """Change the priority with wasabigwctl; it must be accepted and in force."""
    arguments = ("service", "update", "documents", "--priority", str(priority))
    run.system.run_tool(*arguments, *options)


def _kill_leader(run: FaultRun) -> None:
    run.sleep_until(1.0)
    set_priority(run, 5)
    leader = run.control.leader()
    other = run.control.followers()[0]
    run.system.terminate(leader.id, signal.SIGKILL)
    started_at = time.monotonic()
    successor = run.control.leader()
    seconds = time.monotonic() - started_at
    run.print_step(f"killed {leader.id}; {successor.id} leads after {seconds:.1f} s")
    run.check("another voter leads", successor.id != leader.id, f"{seconds:.1f} s")
    run.check("the accepted change is there", run.control.priority() == 5)
    set_priority(run, 6)
    run.system.start_node(leader)
    run.system.terminate(other.id, signal.SIGKILL)
    run.print_step(f"{leader.id} is back; killed {other.id}")
    set_priority(run, 7)
    run.check("the returned voter counts", run.control.priority() == 7)
    run.system.start_node(other)


def _pause_leader(run: FaultRun) -> None:
    run.sleep_until(1.0)
    set_priority(run, 5)
    old = run.control.leader()
    stale = run.control.configuration_revision()
    run.system.children.signal(old.id, signal.SIGSTOP)
    run.control.set_paused(old, True)
    paused_at = time.monotonic()
    run.print_step(f"paused {old.id}")
    successor = run.control.leader()
    set_priority(run, 6)
    accepted = run.control.configuration_revision()
    time.sleep(max(0.0, paused_at + PAUSE_DURATION - time.monotonic()))
    answers: list[ControlResponse | None] = []
    outcomes: list[Any] = []
    calls = (
        lambda: answers.append(run.control.query_state(old)),
        lambda: outcomes.append(run.control.try_priority(old, 9, stale)),
    )
    threads = [threading.Thread(target=call, daemon=True) for call in calls]
    for thread in threads:
        thread.start()
    time.sleep(0.3)
    run.system.children.signal(old.id, signal.SIGCONT)
    run.print_step(f"{old.id} continues; {successor.id} leads")
    until = time.monotonic() + OBSERVATION_TIME
    while time.monotonic() < until:
        answers.append(run.control.query_state(old))
    for thread in threads:
        thread.join()
    run.control.set_paused(old, False)
    current = [a for a in answers if a is not None and a.status == requests.codes.ok]
    wrong = [a for a in current if a.body["configuration_revision"] < accepted]
    detail = f"{len(answers)} asked, {len(wrong)} answered with an old state"
    run.check("the paused leader does not answer as current", not wrong, detail)
    lost = isinstance(outcomes[0], Applied)
    run.check("it accepts no change on an old revision", not lost, outcomes[0])
    run.check("the accepted changes are there", run.control.priority() == 6)
    set_priority(run, 7)


def _kill_majority(run: FaultRun) -> None:
    run.sleep_until(1.0)
    set_priority(run, 5)
    revision = run.control.configuration_revision()
    killed = run.control.followers()
    for voter in killed:
        run.system.terminate(voter.id, signal.SIGKILL)
    run.print_step(f"killed {killed[0].id} and {killed[1].id}")
    started_at = time.monotonic()
    request = ("--request-id", "without-majority", "--expected-revision", str(revision))
    update = ("service", "update", "documents", "--priority", "6", *request)
    command = _processes.tool_command(run.layout, "--time-limit", "4", *update)
    completed = run.system.children.run(command, COMMAND_TIMEOUT)
    text = f"exit {completed.code}"
    run.check("no change is accepted", completed.code in NOT_ACCEPTED_CODES, text)
    wait_for_views(run.system, False, VIEW_TIMEOUT)
    stale_at = time.monotonic()
    time.sleep(max(0.0, 6.0 - (stale_at - started_at)))
    ended_at = time.monotonic()
    for voter in killed:
        run.system.launch_node(voter)
    seconds = wait_for_views(run.system, True, VIEW_TIMEOUT)
    run.print_step(f"both voters are back; all views are fresh after {seconds:.1f} s")
    before = run.control.priority()
    run.check("the change before the loss is there", before in (5, 6), before)
    set_priority(run, 6, *request)
    run.check("the resent change is accepted", run.control.priority() == 6)
    run.check_at_end(lambda: _check_served_between(run, stale_at, ended_at))


def _check_served_between(run: FaultRun, start: float, end: float) -> Check:
    attempts = read_traffic(run.layout).attempts
    opened = [a for a in attempts if start < a["opened_at"] < end]
    complete = sum(attempt["outcome"] == "complete" for attempt in opened)
    detail = f"{complete} of {len(opened)} attempts in {end - start:.1f} s"
    return Check("new flows are served without a leader", complete > 0, detail)


def _empty_voter(run: FaultRun) -> None:
    run.sleep_until(1.0)
    set_priority(run, 5)
    emptied = run.control.followers()[0]
    run.system.terminate(emptied.id, signal.SIGKILL)
    folder = _processes.data_folder(run.layout, emptied)
    shutil.rmtree(folder)
    run.system.launch_node(emptied)
    run.system.expect_end(emptied.id)
    code = run.system.children.wait(emptied.id, COMMAND_TIMEOUT)
    run.check("an empty data folder is refused", code == 4, f"exit {code}")
    leader = run.control.leader()
    known = _count_admissions(run, leader, emptied)
    run.system.bootstrap((emptied,), is_new_cluster=False)
    run.system.start_node(emptied)
    run.system.wait_until(
        lambda: _count_admissions(run, leader, emptied) > known,
        f"{emptied.id} was not admitted",
        emptied.id,
        ADMISSION_TIMEOUT,
    )
    run.system.terminate(leader.id, signal.SIGKILL)
    run.print_step(
        f"{emptied.id} was admitted with a new data folder; killed {leader.id}"
    )
    started_at = time.monotonic()
    run.control.leader()
    seconds = time.monotonic() - started_at
    run.check("the other two go on", True, f"new leader after {seconds:.1f} s")
    run.check("the accepted change is there", run.control.priority() == 5)
    set_priority(run, 6)
    run.system.start_node(leader)
    run.check("changes are accepted", run.control.priority() == 6)


def _count_admissions(run: FaultRun, leader: VoterPlace, voter: VoterPlace) -> int:
    text = run.layout.log(leader.id).read_text(errors="replace")
    return text.count(f"voter {voter.id} is admitted")


def _miss_changes(run: FaultRun) -> None:
    run.sleep_until(1.0)
    behind, other = run.control.followers()
    balancer = run.layout.balancers[1]
    run.system.terminate(behind.id, signal.SIGKILL)
    run.system.terminate(balancer.id, signal.SIGKILL)
    run.system.notify_fabric("gone", balancer.id)
    started_at = time.monotonic()
    last = run.control.set_priorities(MISSED_CHANGES)
    seconds = time.monotonic() - started_at
    run.print_step(f"{MISSED_CHANGES} changes in {seconds:.1f} s without {behind.id}")
    run.system.start_node(behind)
    run.system.start_node(balancer)
    run.system.terminate(other.id, signal.SIGKILL)
    run.print_step(f"{behind.id} is back; killed {other.id}")
    run.check("all changes are there", run.control.priority() == last, last)
    set_priority(run, 6)
    run.check("the voter that was behind counts", run.control.priority() == 6)
    wait_for_views(run.system, True, VIEW_TIMEOUT)
    run.system.notify_fabric("back", balancer.id)
    run.system.start_node(other)


SCENARIOS = (
    Scenario("leader-kill", "SIGKILL of the control leader, its return", _kill_leader),
    Scenario("leader-pause", "SIGSTOP of the leader for 5 s, SIGCONT", _pause_leader),
    Scenario(
        "majority-kill", "SIGKILL of two of three voters, their return", _kill_majority
    ),
    Scenario(
        "voter-empty",
        "emptied data folder of a voter, then loss of the leader",
        _empty_voter,
    ),
    Scenario(
        "voter-behind",
        f"a voter and a balancer restarted {MISSED_CHANGES} changes behind",
        _miss_changes,
    ),
)
