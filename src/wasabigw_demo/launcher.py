"""Development launcher: starts every process, disturbs them, and judges the run.

Only the launcher starts processes; all of them are on loopback.
"""

import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import FrameType

import requests

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw_demo import _processes
from wasabigw_demo._children import Children
from wasabigw_demo._layout import (
    BACKEND_RANGE,
    CONNECTIONS,
    PROBE_ADDRESS,
    SERVICE_RANGE,
    SLOTS,
    BackendPlace,
    CallerPlace,
    Layout,
    NodePlace,
    make_layout,
)
from wasabigw_demo._outcome import Observed, read_outcome
from wasabigw_demo._probes import ProbeResult, run_probes
from wasabigw_demo._report import print_report

TIME_LIMIT = Seconds(56.0)
"""Time from the start in which all traffic has to end."""
START_LIMIT = Seconds(25.0)
COMMAND_LIMIT = Seconds(12.0)
CHECK_PERIOD = Seconds(0.1)
HTTP_TIMEOUT = 1.0
SHOWN_LOG_LINES = 12
INTERRUPTED_CODE = 130

KILL_AT = Seconds(5.0)
PROBE_AT = Seconds(2.0)
DRAIN_AT = Seconds(12.0)
TRAFFIC_TIME = Seconds(22.0)
LONG_SECONDS = Seconds(19.0)
KILLED_BALANCER = 1
"""Index of the balancer that is killed: one of two in its failure domain."""
DRAINED_BACKEND = 1


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """What the command line of the launcher chooses.

    :param keep: whether the temporary folder is kept.
    """

    seed: int = 1
    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    keep: bool = False


class DemoFailedError(Exception):
    """The demonstration could not go on; the message says why."""


def run_demo(options: DemoOptions) -> int:
    """Run the demonstration; returns the exit code."""
    began = time.monotonic()
    signal.signal(signal.SIGTERM, _interrupt)
    with _folder(options.keep) as folder:
        layout = make_layout(folder)
        try:
            observed = _run(layout, options, Seconds(began + TIME_LIMIT))
        except DemoFailedError as error:
            print(f"\nThe demonstration stopped: {error}")
            return 1
        except KeyboardInterrupt:
            print("\nThe demonstration was interrupted; its processes were ended.")
            return INTERRUPTED_CODE
        passed = print_report(layout, read_outcome(layout, observed))
        print(f"\n{'PASSED' if passed else 'FAILED'} in {_since(began):.1f} s")
        return 0 if passed else 1


def _run(layout: Layout, options: DemoOptions, deadline: Seconds) -> Observed:
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    _processes.write_settings(layout)
    with ExitStack() as stack:
        children = stack.enter_context(Children(environment))
        _start_system(layout, children, options)
        _configure(layout, children)
        _start_backends(layout, children, options)
        return _run_traffic(layout, children, options, deadline)


def _start_system(layout: Layout, children: Children, options: DemoOptions) -> None:
    _say("creating the data folders of the voters")
    for voter in layout.voters:
        command = _processes.bootstrap_command(layout, voter)
        children.start(f"bootstrap {voter.id}", command, layout.log(voter.id))
    for voter in layout.voters:
        if children.wait(f"bootstrap {voter.id}", COMMAND_LIMIT) != 0:
            _fail(f"bootstrap of {voter.id} failed", layout, voter.id)
    _say("starting fabric, voters and balancers")
    children.start("fabric", _fabric_command(layout, options), layout.log("fabric"))
    nodes: list[NodePlace] = [*layout.voters, *layout.balancers]
    for node in nodes:
        path = _processes.settings_path(layout, node.id)
        command = _processes.run_command(path)
        children.start(node.id, command, layout.log(node.id))
    for node in nodes:
        _wait_for_port(layout, children, node.id, node.api)
    _wait_for_port(layout, children, "fabric", layout.fabric_control)


def _configure(layout: Layout, children: Children) -> None:
    _say("putting the configuration in with wasabigwctl")
    for command in (
        _processes.apply_configuration(layout),
        _processes.wait_in_force(layout),
    ):
        done = children.run(command, COMMAND_LIMIT)
        if done.code != 0:
            text = done.output.strip()
            raise DemoFailedError(f"{' '.join(command)}: exit {done.code}\n{text}")
    _say("the configuration is in force")


def _start_backends(layout: Layout, children: Children, options: DemoOptions) -> None:
    for backend in layout.backends:
        command = _backend_command(layout, backend, options)
        children.start(backend.id, command, layout.log(backend.id))
    for backend in layout.backends:
        _wait_until(
            lambda control=backend.control: _is_announced(control),  # type: ignore[misc]
            f"no balancer accepted the announcements of {backend.id}",
            layout,
            backend.id,
        )
    done = children.run(_processes.wait_in_force(layout), COMMAND_LIMIT)
    if done.code != 0:
        raise DemoFailedError(f"backend servers not in force: {done.output.strip()}")
    _say(f"{len(layout.backends)} backend servers are announced and in force")


def _run_traffic(
    layout: Layout, children: Children, options: DemoOptions, deadline: Seconds
) -> Observed:
    began = Seconds(time.monotonic())
    for caller in layout.callers:
        command = _caller_command(layout, caller, options)
        children.start(caller.name, command, layout.log(caller.name))
    _say(f"{len(layout.callers)} callers open flows for {TRAFFIC_TIME:.0f} s")
    _sleep_until(began + PROBE_AT)
    probes = run_probes(layout, children)
    _say(f"tried {len(probes)} kinds of invalid input")
    _sleep_until(began + KILL_AT)
    killed = _kill_balancer(layout, children)
    _sleep_until(began + DRAIN_AT)
    drained = layout.backends[DRAINED_BACKEND].id
    children.signal(drained, signal.SIGTERM)
    _say(f"draining {drained}")
    for caller in layout.callers:
        children.wait(caller.name, Seconds(deadline - time.monotonic()))
    _say("callers have ended")
    code = children.wait(drained, Seconds(deadline - time.monotonic()))
    return _observed(layout, children, probes, killed, code)


def _observed(
    layout: Layout,
    children: Children,
    probes: list[ProbeResult],
    killed: str,
    drained_code: int | None,
) -> Observed:
    expected = {killed, layout.backends[DRAINED_BACKEND].id}
    expected |= {caller.name for caller in layout.callers}
    expected |= {f"bootstrap {voter.id}" for voter in layout.voters}
    ended = children.ended()
    unexpected = {name: code for name, code in ended.items() if name not in expected}
    return Observed(probes, drained_code, unexpected)


def _kill_balancer(layout: Layout, children: Children) -> str:
    killed = layout.balancers[KILLED_BALANCER].id
    children.signal(killed, signal.SIGKILL)
    url = f"http://{endpoint_key(layout.fabric_control)}/gone"
    requests.post(url, params={"balancer": killed}, timeout=HTTP_TIMEOUT)
    _say(f"killed {killed}; the fabric notices after its health check")
    return killed


def _fabric_command(layout: Layout, options: DemoOptions) -> list[str]:
    hosts = [(place.inner.address, place.geneve) for place in layout.backends]
    hosts += [(caller.address, caller.geneve) for caller in layout.callers]
    hosts.append((PROBE_ADDRESS, layout.probe))
    return [
        *_module("wasabigw_demo.fabric"),
        *("--listen", endpoint_key(layout.fabric)),
        *("--control", endpoint_key(layout.fabric_control)),
        *_repeat(
            "--balancer",
            [f"{place.id}={endpoint_key(place.data)}" for place in layout.balancers],
        ),
        *_repeat(
            "--host",
            [f"{inner}={endpoint_key(endpoint)}" for inner, endpoint in hosts],
        ),
        *("--service", SERVICE_RANGE),
        *("--backend-server", BACKEND_RANGE),
        *("--record", str(layout.record("fabric"))),
        *("--drop", str(options.drop)),
        *("--duplicate", str(options.duplicate)),
        *("--delay", str(options.delay)),
        *("--seed", str(options.seed)),
    ]


def _backend_command(
    layout: Layout, place: BackendPlace, options: DemoOptions
) -> list[str]:
    local = [
        balancer
        for balancer in layout.balancers
        if balancer.failure_domain == place.failure_domain
    ]
    return [
        *_module("wasabigw_demo.backend_server"),
        *("--name", place.id),
        *("--service", place.service.id),
        *("--failure-domain", place.failure_domain),
        *("--address", endpoint_key(place.inner)),
        *("--fabric", endpoint_key(layout.fabric)),
        *("--listen", endpoint_key(place.geneve)),
        *("--control", endpoint_key(place.control)),
        *_repeat("--balancer", [endpoint_key(balancer.api) for balancer in local]),
        *("--record", str(layout.record(place.id))),
        *("--slots", str(SLOTS)),
        *("--connections", str(CONNECTIONS)),
        *("--seed", str(options.seed)),
    ]


def _caller_command(
    layout: Layout, caller: CallerPlace, options: DemoOptions
) -> list[str]:
    targets = [
        f"{service.id}={service.protocol.name.lower()}:{endpoint_key(service.endpoint)}"
        for service in layout.services
    ]
    return [
        *_module("wasabigw_demo.caller"),
        *("--name", caller.name),
        *("--address", caller.address),
        *("--fabric", endpoint_key(layout.fabric)),
        *("--listen", endpoint_key(caller.geneve)),
        *_repeat("--target", targets),
        *("--record", str(layout.record(caller.name))),
        *("--duration", str(TRAFFIC_TIME)),
        *("--long-seconds", str(LONG_SECONDS)),
        *("--seed", str(options.seed)),
    ]


def _module(name: str) -> list[str]:
    return [sys.executable, "-m", name]


def _repeat(option: str, values: list[str]) -> list[str]:
    return [word for value in values for word in (option, value)]


def _is_announced(control: Endpoint) -> bool:
    url = f"http://{endpoint_key(control)}/status"
    try:
        status = requests.get(url, timeout=HTTP_TIMEOUT).json()
    except requests.RequestException:
        return False
    return bool(status.get("accepted"))


def _wait_for_port(
    layout: Layout, children: Children, name: str, endpoint: Endpoint
) -> None:
    def responds() -> bool:
        if name in children.ended():
            _fail(f"{name} ended at its start", layout, name)
        try:
            url = f"http://{endpoint_key(endpoint)}{_processes.STATUS_PATH}"
            requests.get(url, timeout=HTTP_TIMEOUT)
        except requests.RequestException:
            return False
        return True

    _wait_until(responds, f"{name} does not respond", layout, name)


def _wait_until(
    condition: Callable[[], bool], problem: str, layout: Layout, name: str
) -> None:
    limit = time.monotonic() + START_LIMIT
    while not condition():
        if time.monotonic() > limit:
            _fail(problem, layout, name)
        time.sleep(CHECK_PERIOD)


def _fail(problem: str, layout: Layout, name: str) -> None:
    log = layout.log(name)
    lines = log.read_text(errors="replace").splitlines() if log.exists() else []
    raise DemoFailedError("\n".join([problem, *lines[-SHOWN_LOG_LINES:]]))


@contextmanager
def _folder(keep: bool) -> Iterator[Path]:
    if keep:
        folder = Path(tempfile.mkdtemp(prefix="wasabigw-demo-"))
        print(f"settings, records and logs are kept in {folder}")
        yield folder
        return
    with tempfile.TemporaryDirectory(prefix="wasabigw-demo-") as name:
        yield Path(name)


def _sleep_until(at: float) -> None:
    time.sleep(max(0.0, at - time.monotonic()))


def _since(began: float) -> float:
    return time.monotonic() - began


def _say(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def _interrupt(number: int, frame: FrameType | None) -> None:
    raise KeyboardInterrupt
