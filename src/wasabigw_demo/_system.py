"""Running processes of a demonstration or of a fault scenario."""

import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from types import TracebackType
from typing import Any, Self

import requests

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw_demo import _processes
from wasabigw_demo._children import Children
from wasabigw_demo._commands import (
    BackendServerOptions,
    TrafficOptions,
    backend_server_command,
    caller_command,
    fabric_command,
    relay_command,
)
from wasabigw_demo._layout import BackendServerPlace, Layout, NodePlace, VoterPlace

START_TIMEOUT = Seconds(25.0)
COMMAND_TIMEOUT = Seconds(12.0)
POLL_INTERVAL = Seconds(0.1)
HTTP_TIMEOUT = 1.0
MAX_SHOWN_LOG_LINES = 12
DEFAULT_OPTIONS = BackendServerOptions()
FABRIC = "fabric"
RELAY = "relay"


class DemoFailedError(Exception):
    """The run cannot continue, for the reason given in the message."""


class System(AbstractContextManager["System"]):
    """Starts, signals and stops the processes of a layout.

    :param print_step: called with a line for each step.
    """

    def __init__(
        self, layout: Layout, options: TrafficOptions, print_step: Callable[[str], None]
    ) -> None:
        self._layout = layout
        self._options = options
        self._print_step = print_step
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self._children = Children(environment)
        self._expected_ends = {f"bootstrap {voter.id}" for voter in layout.voters}
        self._expected_ends |= {caller.name for caller in layout.callers}

    @property
    def layout(self) -> Layout:
        """Layout of the processes."""
        return self._layout

    @property
    def children(self) -> Children:
        """Child processes of the run."""
        return self._children

    def print_step(self, text: str) -> None:
        """Print a step of the run."""
        self._print_step(text)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._children.stop_all()

    def start_all_but_callers(self) -> None:
        """Start all processes except the callers, with the configuration in force."""
        _processes.write_settings(self._layout)
        self.start_nodes()
        self._configure()
        self._start_backend_servers()

    def start_callers(self) -> None:
        """Start the callers, which generate the traffic."""
        layout = self._layout
        for caller in layout.callers:
            command = caller_command(layout, caller, self._options)
            self._children.start(caller.name, command, layout.log(caller.name))
        seconds = self._options.traffic_seconds
        self._print_step(
            f"{len(layout.callers)} callers open flows for {seconds:.0f} s"
        )

    def wait_for_callers(self, timeout: Seconds) -> None:
        """Wait until the callers have ended or the timeout has passed."""
        deadline = time.monotonic() + timeout
        for caller in self._layout.callers:
            self._children.wait(caller.name, Seconds(deadline - time.monotonic()))

    def start_node(self, node: NodePlace) -> None:
        """Start a voter or balancer, and wait until it responds."""
        self.launch_node(node)
        self.wait_until_responding(node.id, node.api)

    def launch_node(self, node: NodePlace) -> None:
        """Start a voter or balancer without waiting for it."""
        path = _processes.settings_path(self._layout, node.id)
        command = _processes.run_command(path)
        self._children.start(node.id, command, self._layout.log(node.id))
        self._expected_ends.discard(node.id)

    def start_backend_server(
        self, place: BackendServerPlace, start: BackendServerOptions = DEFAULT_OPTIONS
    ) -> None:
        """Start a backend server."""
        command = backend_server_command(self._layout, place, self._options, start)
        self._children.start(place.id, command, self._layout.log(place.id))
        self._expected_ends.discard(place.id)

    def expect_end(self, name: str) -> None:
        """Expect that a process ends by itself."""
        self._expected_ends.add(name)

    def terminate(self, name: str, signal_number: signal.Signals) -> None:
        """Send a process a signal that ends it; waits for the end after SIGKILL."""
        self._expected_ends.add(name)
        self._children.signal(name, signal_number)
        if signal_number is signal.SIGKILL:
            self._children.wait(name, COMMAND_TIMEOUT)

    def run_tool(self, *arguments: str, timeout: Seconds = COMMAND_TIMEOUT) -> str:
        """Run wasabigwctl, which must succeed; returns its output."""
        command = _processes.tool_command(self._layout, *arguments)
        done = self._children.run(command, timeout)
        if done.code != 0:
            text = f"wasabigwctl {' '.join(arguments)}: exit {done.code}"
            raise DemoFailedError(f"{text}\n{done.output.strip()}")
        return done.output

    def launch_tool(self, name: str, command: list[str]) -> None:
        """Start wasabigwctl without waiting for it."""
        self._expected_ends.add(name)
        self._children.start(name, command, self._layout.log(name))

    def notify_fabric(self, command: str, balancer: str) -> None:
        """Notify the fabric that a balancer is ``gone`` or ``back``."""
        url = f"http://{endpoint_key(self._layout.fabric_control)}/{command}"
        requests.post(url, params={"balancer": balancer}, timeout=HTTP_TIMEOUT)

    def unexpected_ends(self) -> dict[str, int]:
        """Exit codes of processes that ended without having been told to."""
        ended = self._children.ended()
        return {n: code for n, code in ended.items() if n not in self._expected_ends}

    def wait_until_responding(self, name: str, endpoint: Endpoint) -> None:
        """Wait until a process responds to status queries."""

        def responds() -> bool:
            if name in self._children.ended():
                self.fail(f"{name} ended at its start", name)
            return fetch_json(endpoint, _processes.STATUS_PATH) is not None

        self.wait_until(responds, f"{name} does not respond", name)

    def wait_until(
        self,
        condition: Callable[[], bool],
        problem: str,
        name: str,
        timeout: Seconds = START_TIMEOUT,
    ) -> None:
        """Wait until a condition holds.

        :param name: process whose log is shown if the timeout passes.
        """
        deadline = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > deadline:
                self.fail(problem, name)
            time.sleep(POLL_INTERVAL)

    def fail(self, problem: str, name: str) -> None:
        """Abort the run, with the end of the log of a process in the message.

        :raises DemoFailedError: always.
        """
        log = self._layout.log(name)
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        raise DemoFailedError("\n".join([problem, *lines[-MAX_SHOWN_LOG_LINES:]]))

    def bootstrap(self, voters: Sequence[VoterPlace], is_new_cluster: bool) -> None:
        """Create the data folders of voters."""
        layout = self._layout
        for voter in voters:
            command = _processes.bootstrap_command(layout, voter, is_new_cluster)
            name = f"bootstrap {voter.id}"
            self._children.start(name, command, layout.log(voter.id))
        for voter in voters:
            if self._children.wait(f"bootstrap {voter.id}", COMMAND_TIMEOUT) != 0:
                self.fail(f"bootstrap of {voter.id} failed", voter.id)

    def start_nodes(self) -> None:
        """Start the fabric, the voters and the balancers."""
        layout = self._layout
        self._print_step("creating the data folders of the voters")
        self.bootstrap(layout.voters, is_new_cluster=True)
        self._print_step("starting fabric, voters and balancers")
        command = fabric_command(layout, self._options)
        self._children.start(FABRIC, command, layout.log(FABRIC))
        if layout.relay_control is not None:
            self._children.start(RELAY, relay_command(layout), layout.log(RELAY))
            self.wait_until_responding(RELAY, layout.relay_control)
        nodes: list[NodePlace] = [*layout.voters, *layout.balancers]
        for node in nodes:
            self.launch_node(node)
        for node in nodes:
            self.wait_until_responding(node.id, node.api)
        self.wait_until_responding(FABRIC, layout.fabric_control)

    def _configure(self) -> None:
        self._print_step("putting the configuration in with wasabigwctl")
        self.run_tool("apply", "--answers", str(_processes.answers_path(self._layout)))
        self.run_tool("in-force", "--wait")
        self._print_step("the configuration is in force")

    def _start_backend_servers(self) -> None:
        layout = self._layout
        for backend_server in layout.backend_servers:
            self.start_backend_server(backend_server)
        for backend_server in layout.backend_servers:
            self.wait_for_announcement(backend_server)
        self.run_tool("in-force", "--wait")
        count = len(layout.backend_servers)
        self._print_step(f"{count} backend servers are announced and in force")

    def wait_for_announcement(self, backend_server: BackendServerPlace) -> None:
        """Wait until a balancer accepts a backend server."""

        def is_announced() -> bool:
            status = fetch_json(backend_server.control, "/status")
            return bool(status and status.get("accepted"))

        problem = f"no balancer accepted the announcements of {backend_server.id}"
        self.wait_until(is_announced, problem, backend_server.id)


def fetch_json(endpoint: Endpoint, path: str) -> dict[str, Any] | None:
    """JSON object from a process; ``None`` if it does not respond.

    Any other response gives an empty object.
    """
    try:
        response = requests.get(f"http://{endpoint_key(endpoint)}{path}", timeout=1.0)
        value = response.json()
    except requests.JSONDecodeError:
        return {}
    except requests.RequestException:
        return None
    return value if isinstance(value, dict) else {}
