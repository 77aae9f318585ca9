"""Scenarios: backend servers that are killed, cold or lying, and domains moved."""

import math
import signal
import time
from dataclasses import replace

import requests

from wasabigw.core.cluster import endpoint_key
from wasabigw.core.timing import (
    FULL_STEP,
    IN_FORCE_BOUND,
    RAMP_STEP_TIME,
    RAMP_STEPS,
)
from wasabigw_demo._commands import BackendOptions
from wasabigw_demo._layout import ZONES, BackendPlace
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import backend_records, read_traffic
from wasabigw_demo._scenario import TRAFFIC, FaultRun, Scenario
from wasabigw_demo._system import HTTP_TIMEOUT
from wasabigw_demo.records import RecordKind
from wasabigw_demo.server_app import ServerCommand

KILLED = 1
FEED = 3
SMALL_LIMIT = 40
"""Announced connections, so few that the ramp bounds the load of the callers."""
OPENING_WINDOW = 10.0
"""Seconds in which as many flows may open as a backend server may hold."""
STEP_1_CONNECTIONS = math.ceil(SMALL_LIMIT / FULL_STEP)
OUT = ZONES[1]


def _take_domain_out(run: FaultRun) -> None:
    places = [p for p in run.layout.backends if p.failure_domain == OUT]
    run.may_break(*(place.id for place in places))
    run.at(3.0)
    out_at = time.monotonic()
    run.system.tool("failure-domain", "out", OUT)
    accepted_by = time.monotonic()
    run.say(f"{OUT} is out of service, in force after {accepted_by - out_at:.1f} s")
    run.at(8.5)
    back_at = time.monotonic()
    run.system.tool("failure-domain", "back", OUT)
    run.say(f"{OUT} is back")
    run.check_later(lambda: _no_packets(run, places, out_at, back_at))
    run.check_later(lambda: _served_elsewhere(run, out_at, back_at))
    run.check_later(lambda: _served_again(run, places, back_at))


def _no_packets(
    run: FaultRun, places: list[BackendPlace], out_at: float, back_at: float
) -> Check:
    times = [
        record["at"] - out_at
        for place in places
        for record in backend_records(run.layout, place.id, RecordKind.PACKETS)
        if out_at < record["at"] < back_at
    ]
    last = max(times, default=0.0)
    detail = f"last packet {last:.2f} s after the start of the command"
    name = f"no packets later than {IN_FORCE_BOUND:.0f} s"
    return Check(name, last <= IN_FORCE_BOUND, detail)


def _served_elsewhere(run: FaultRun, out_at: float, back_at: float) -> Check:
    attempts = read_traffic(run.layout).attempts
    opened = [a for a in attempts if out_at < a["opened_at"] < back_at]
    complete = sum(attempt["outcome"] == "complete" for attempt in opened)
    detail = f"{complete} of {len(opened)} attempts"
    return Check("service goes on elsewhere", complete > 0, detail)


def _served_again(run: FaultRun, places: list[BackendPlace], since: float) -> Check:
    opened = [
        record
        for place in places
        for record in backend_records(run.layout, place.id, RecordKind.OPENED)
        if record["at"] > since
    ]
    return Check(
        "its backend servers serve again", bool(opened), f"{len(opened)} flows"
    )


def _kill(run: FaultRun) -> None:
    places = [run.layout.backends[KILLED], run.layout.backends[FEED]]
    run.may_break(*(place.id for place in places))
    run.at(4.0)
    for place in places:
        run.system.end(place.id, signal.SIGKILL)
    run.say(f"killed {' and '.join(place.id for place in places)}")


def _restart_cold(run: FaultRun) -> None:
    place = run.layout.backends[KILLED]
    run.may_break(place.id)
    run.at(3.0)
    run.system.end(place.id, signal.SIGKILL)
    started_at = time.monotonic()
    start = BackendOptions(True, STEP_1_CONNECTIONS, boot=2)
    run.system.start_backend(place, start)
    run.system.wait_for_announcement(place)
    run.say(f"killed {place.id} and started it cold")
    run.at(11.0)
    _command(place, ServerCommand.TURN_READY)
    run.check_later(lambda: _within_step(run, place, started_at))
    run.check_later(lambda: _within_rate(run, place, started_at))


def _within_step(run: FaultRun, place: BackendPlace, started_at: float) -> Check:
    """By its own records, with the least time that each step is held."""
    opened = backend_records(run.layout, place.id, RecordKind.OPENED)
    later = [record for record in opened if record["at"] > started_at]
    over = [r for r in later if r["open_connections"] > _most_open(r["at"], started_at)]
    peak = max((record["open_connections"] for record in later), default=0)
    detail = f"{len(later)} opened, at most {peak} at once, {len(over)} above the step"
    return Check("load within the step of the ramp", bool(later) and not over, detail)


def _within_rate(run: FaultRun, place: BackendPlace, started_at: float) -> Check:
    """New flows, against the token bucket of each step."""
    opened = backend_records(run.layout, place.id, RecordKind.OPENED)
    times = [r["at"] - started_at for r in opened if r["at"] > started_at]
    over = [n for n, at in enumerate(times, 1) if n > _most_opened(at)]
    early = sum(at < RAMP_STEP_TIME for at in times)
    detail = f"{early} in the first {RAMP_STEP_TIME:.0f} s, {len(over)} too early"
    return Check("new flows within the rate of the ramp", not over, detail)


def _most_opened(seconds: float) -> float:
    """Flows that all steps up to a time may have opened, with one second's burst."""
    total = 0.0
    for number, step in enumerate(RAMP_STEPS):
        rate = SMALL_LIMIT * step / FULL_STEP / OPENING_WINDOW
        within = min(max(0.0, seconds - number * RAMP_STEP_TIME), RAMP_STEP_TIME)
        if step == RAMP_STEPS[-1]:
            within = max(0.0, seconds - number * RAMP_STEP_TIME)
        if within > 0:
            total += rate * within + max(1.0, rate)
    return total


def _most_open(at: float, started_at: float) -> int:
    held = int((at - started_at) / RAMP_STEP_TIME)
    step = RAMP_STEPS[min(held, len(RAMP_STEPS) - 1)]
    return math.ceil(SMALL_LIMIT * step / FULL_STEP)


def _lie(run: FaultRun) -> None:
    place = run.layout.backends[KILLED]
    run.at(3.0)
    _command(place, ServerCommand.LIE)
    _command(place, ServerCommand.TURN_COLD)
    run.say(f"{place.id} is cold, and announces that it is ready and idle")
    run.at(11.0)
    for command in (ServerCommand.TURN_READY, ServerCommand.TELL_TRUTH):
        _command(place, command)


def _command(place: BackendPlace, command: ServerCommand) -> None:
    url = f"http://{endpoint_key(place.control)}/command"
    requests.post(url, params={"name": command.value}, timeout=HTTP_TIMEOUT)


SCENARIOS = (
    Scenario(
        "domain-out",
        "a failure domain out of service and back",
        _take_domain_out,
        traffic=replace(TRAFFIC, traffic_seconds=18.0, long_seconds=15.0),
    ),
    Scenario("backend-kill", "SIGKILL of two backend servers", _kill),
    Scenario(
        "backend-cold",
        "a backend server killed and restarted cold",
        _restart_cold,
        connections=SMALL_LIMIT,
        traffic=replace(TRAFFIC, traffic_seconds=16.0, short_rate=3.0),
    ),
    Scenario("backend-lie", "a cold backend server that lies about its load", _lie),
)
