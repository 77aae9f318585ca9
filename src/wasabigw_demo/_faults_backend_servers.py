"""Fault scenarios of backend servers and of failure domains."""

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
from wasabigw_demo._commands import BackendServerOptions
from wasabigw_demo._layout import FAILURE_DOMAINS, BackendServerPlace
from wasabigw_demo._outcome import Check
from wasabigw_demo._record_checks import backend_records, read_traffic
from wasabigw_demo._scenario import DEFAULT_TRAFFIC, FaultRun, Scenario
from wasabigw_demo._system import HTTP_TIMEOUT
from wasabigw_demo.records import RecordKind
from wasabigw_demo.server_app import ServerCommand

KILLED_SERVER = 1
KILLED_FEED_SERVER = 3
FEW_CONNECTIONS = 40
"""Announced connections; so few that the ramp limits the load of the callers."""
RATE_WINDOW = 10.0
"""Seconds in which as many flows may be opened as a backend server may hold."""
FIRST_STEP_CONNECTIONS = math.ceil(FEW_CONNECTIONS / FULL_STEP)
OUT_DOMAIN = FAILURE_DOMAINS[1]


def _take_failure_domain_out(run: FaultRun) -> None:
    places = [p for p in run.layout.backend_servers if p.failure_domain == OUT_DOMAIN]
    run.allow_broken_flows(*(place.id for place in places))
    run.sleep_until(3.0)
    out_at = time.monotonic()
    run.system.run_tool("failure-domain", "out", OUT_DOMAIN)
    in_force_at = time.monotonic()
    run.print_step(
        f"{OUT_DOMAIN} is out of service, in force after {in_force_at - out_at:.1f} s"
    )
    run.sleep_until(8.5)
    back_at = time.monotonic()
    run.system.run_tool("failure-domain", "back", OUT_DOMAIN)
    run.print_step(f"{OUT_DOMAIN} is back")
    run.check_at_end(lambda: _check_no_packets(run, places, out_at, back_at))
    run.check_at_end(lambda: _check_served_elsewhere(run, out_at, back_at))
    run.check_at_end(lambda: _check_served_again(run, places, back_at))


def _check_no_packets(
    run: FaultRun, places: list[BackendServerPlace], out_at: float, back_at: float
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


def _check_served_elsewhere(run: FaultRun, out_at: float, back_at: float) -> Check:
    attempts = read_traffic(run.layout).attempts
    opened = [a for a in attempts if out_at < a["opened_at"] < back_at]
    complete = sum(attempt["outcome"] == "complete" for attempt in opened)
    detail = f"{complete} of {len(opened)} attempts"
    return Check("service goes on elsewhere", complete > 0, detail)


def _check_served_again(
    run: FaultRun, places: list[BackendServerPlace], since: float
) -> Check:
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
    places = [
        run.layout.backend_servers[KILLED_SERVER],
        run.layout.backend_servers[KILLED_FEED_SERVER],
    ]
    run.allow_broken_flows(*(place.id for place in places))
    run.sleep_until(4.0)
    for place in places:
        run.system.terminate(place.id, signal.SIGKILL)
    run.print_step(f"killed {' and '.join(place.id for place in places)}")


def _restart_cold(run: FaultRun) -> None:
    place = run.layout.backend_servers[KILLED_SERVER]
    run.allow_broken_flows(place.id)
    run.sleep_until(3.0)
    run.system.terminate(place.id, signal.SIGKILL)
    started_at = time.monotonic()
    start = BackendServerOptions(True, FIRST_STEP_CONNECTIONS, boot=2)
    run.system.start_backend_server(place, start)
    run.system.wait_for_announcement(place)
    run.print_step(f"killed {place.id} and started it cold")
    run.sleep_until(11.0)
    _command(place, ServerCommand.TURN_READY)
    run.check_at_end(lambda: _check_ramp_step(run, place, started_at))
    run.check_at_end(lambda: _check_ramp_rate(run, place, started_at))


def _check_ramp_step(
    run: FaultRun, place: BackendServerPlace, started_at: float
) -> Check:
    """Check its open connections against a ramp whose steps last their minimum time."""
    opened = backend_records(run.layout, place.id, RecordKind.OPENED)
    later = [record for record in opened if record["at"] > started_at]
    over = [r for r in later if r["open_connections"] > _max_open(r["at"], started_at)]
    peak = max((record["open_connections"] for record in later), default=0)
    detail = f"{len(later)} opened, at most {peak} at once, {len(over)} above the step"
    return Check("load within the step of the ramp", bool(later) and not over, detail)


def _check_ramp_rate(
    run: FaultRun, place: BackendServerPlace, started_at: float
) -> Check:
    """Check new flows against the token bucket of each step."""
    opened = backend_records(run.layout, place.id, RecordKind.OPENED)
    times = [r["at"] - started_at for r in opened if r["at"] > started_at]
    over = [n for n, at in enumerate(times, 1) if n > _max_opened(at)]
    in_first_step = sum(at < RAMP_STEP_TIME for at in times)
    detail = (
        f"{in_first_step} in the first {RAMP_STEP_TIME:.0f} s, {len(over)} too early"
    )
    return Check("new flows within the rate of the ramp", not over, detail)


def _max_opened(seconds: float) -> float:
    """Most flows that all steps up to a time allow, with one second's burst each."""
    total = 0.0
    for number, step in enumerate(RAMP_STEPS):
        rate = FEW_CONNECTIONS * step / FULL_STEP / RATE_WINDOW
        within = min(max(0.0, seconds - number * RAMP_STEP_TIME), RAMP_STEP_TIME)
        if step == RAMP_STEPS[-1]:
            within = max(0.0, seconds - number * RAMP_STEP_TIME)
        if within > 0:
            total += rate * within + max(1.0, rate)
    return total


def _max_open(at: float, started_at: float) -> int:
    held = int((at - started_at) / RAMP_STEP_TIME)
    step = RAMP_STEPS[min(held, len(RAMP_STEPS) - 1)]
    return math.ceil(FEW_CONNECTIONS * step / FULL_STEP)


def _lie(run: FaultRun) -> None:
    place = run.layout.backend_servers[KILLED_SERVER]
    run.sleep_until(3.0)
    _command(place, ServerCommand.LIE)
    _command(place, ServerCommand.TURN_COLD)
    run.print_step(f"{place.id} is cold, and announces that it is ready and idle")
    run.sleep_until(11.0)
    for command in (ServerCommand.TURN_READY, ServerCommand.TELL_TRUTH):
        _command(place, command)


def _command(place: BackendServerPlace, command: ServerCommand) -> None:
    url = f"http://{endpoint_key(place.control)}/command"
    requests.post(url, params={"name": command.value}, timeout=HTTP_TIMEOUT)


SCENARIOS = (
    Scenario(
        "domain-out",
        "a failure domain out of service and back",
        _take_failure_domain_out,
        traffic=replace(DEFAULT_TRAFFIC, traffic_seconds=18.0, long_seconds=15.0),
    ),
    Scenario("backend-kill", "SIGKILL of two backend servers", _kill),
    Scenario(
        "backend-cold",
        "a backend server killed and restarted cold",
        _restart_cold,
        connections=FEW_CONNECTIONS,
        traffic=replace(DEFAULT_TRAFFIC, traffic_seconds=16.0, short_rate=3.0),
    ),
    Scenario(
        "backend-lie",
        "a cold backend server that lies about its load",
        _lie,
    ),
)
