"""The running processes of a demonstration or of a fault scenario."""

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
    BackendOptions,
    TrafficOptions,
    backend_command,
    caller_command,
    fabric_command,
    relay_command,
)
from wasabigw_demo._layout import BackendPlace, Layout, NodePlace, VoterPlace

START_LIMIT = Seconds(25.0)
COMMAND_LIMIT = Seconds(12.0)
CHECK_PERIOD = Seconds(0.1)
HTTP_TIMEOUT = 1.0
SHOWN_LOG_LINES = 12
FIRST_START = BackendOptions()
FABRIC = "fabric"
RELAY = "relay"


class DemoFailedError(Exception):
    """The run could not go on; the message says why."""


class System(AbstractContextManager["System"]):
    """Starts, disturbs and ends the processes of a layout.

    :param say: receives a line for each step.
    """

    def __init__(
        self, layout: Layout, options: TrafficOptions, say: Callable[[str], None]
    ) -> None:
        self._layout = layout
        self._options = options
        self._say = say
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self._children = Children(environment)
        self._expected_ends = {f"bootstrap {voter.id}" for voter in layout.voters}
        self._expected_ends |= {caller.name for caller in layout.callers}

    @property
    def layout(self) -> Layout:
        """What is started."""
        return self._layout

    @property
    def children(self) -> Children:
        """The processes."""
        return self._children

    def say(self, text: str) -> None:
        """Show what happens."""
        self._say(text)

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._children.stop_all()

    def start_everything(self) -> None:
        """Start all processes but the callers, and put the configuration in force."""
        _processes.write_settings(self._layout)
        self.start_nodes()
        self._configure()
        self._start_backends()

    def start_callers(self) -> None:
        """Start the traffic."""
        layout = self._layout
        for caller in layout.callers:
            command = caller_command(layout, caller, self._options)
            self._children.start(caller.name, command, layout.log(caller.name))
        seconds = self._options.traffic_seconds
        self._say(f"{len(layout.callers)} callers open flows for {seconds:.0f} s")

    def wait_for_callers(self, limit: Seconds) -> None:
        """Wait until the callers have ended, at most for a time."""
        deadline = time.monotonic() + limit
        for caller in self._layout.callers:
            self._children.wait(caller.name, Seconds(deadline - time.monotonic()))

    def start_node(self, node: NodePlace) -> None:
        """Start a voter or balancer, and wait until it responds."""
        self.launch_node(node)
        self.wait_for_port(node.id, node.api)

    def launch_node(self, node: NodePlace) -> None:
        """Start a voter or balancer."""
        path = _processes.settings_path(self._layout, node.id)
        command = _processes.run_command(path)
        self._children.start(node.id, command, self._layout.log(node.id))
        self._expected_ends.discard(node.id)

    def start_backend(
        self, place: BackendPlace, start: BackendOptions = FIRST_START
    ) -> None:
        """Start a backend server."""
        command = backend_command(self._layout, place, self._options, start)
        self._children.start(place.id, command, self._layout.log(place.id))
        self._expected_ends.discard(place.id)

    def expect_end(self, name: str) -> None:
        """Note that a process ends by itself."""
        self._expected_ends.add(name)

    def end(self, name: str, number: signal.Signals) -> None:
        """Send a signal that ends a process."""
        self._expected_ends.add(name)
        self._children.signal(name, number)
        if number is signal.SIGKILL:
            self._children.wait(name, COMMAND_LIMIT)

    def tool(self, *arguments: str, limit: Seconds = COMMAND_LIMIT) -> str:
        """Output of a run of wasabigwctl that must succeed."""
        command = _processes.tool_command(self._layout, *arguments)
        done = self._children.run(command, limit)
        if done.code != 0:
            text = f"wasabigwctl {' '.join(arguments)}: exit {done.code}"
            raise DemoFailedError(f"{text}\n{done.output.strip()}")
        return done.output

    def start_tool(self, name: str, command: list[str]) -> None:
        """Start a run of wasabigwctl without waiting for it."""
        self._expected_ends.add(name)
        self._children.start(name, command, self._layout.log(name))

    def tell_fabric(self, command: str, balancer: str) -> None:
        """Tell the fabric that a balancer is ``gone`` or ``back``."""
        url = f"http://{endpoint_key(self._layout.fabric_control)}/{command}"
        requests.post(url, params={"balancer": balancer}, timeout=HTTP_TIMEOUT)

    def unexpected_ends(self) -> dict[str, int]:
        """Exit codes of processes that ended although nobody ended them."""
        ended = self._children.ended()
        return {n: code for n, code in ended.items() if n not in self._expected_ends}

    def wait_for_port(self, name: str, endpoint: Endpoint) -> None:
        """Wait until a process responds."""

        def responds() -> bool:
            if name in self._children.ended():
                self.fail(f"{name} ended at its start", name)
            return fetch(endpoint, _processes.STATUS_PATH) is not None

        self.wait_until(responds, f"{name} does not respond", name)

    def wait_until(
        self,
        condition: Callable[[], bool],
        problem: str,
        name: str,
        limit: Seconds = START_LIMIT,
    ) -> None:
        """Wait until a condition holds.

        :param name: process whose log is shown if it does not.
        """
        deadline = time.monotonic() + limit
        while not condition():
            if time.monotonic() > deadline:
                self.fail(problem, name)
            time.sleep(CHECK_PERIOD)

    def fail(self, problem: str, name: str) -> None:
        """Give up, and show the end of the log of a process.

        :raises DemoFailedError: always.
        """
        log = self._layout.log(name)
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        raise DemoFailedError("\n".join([problem, *lines[-SHOWN_LOG_LINES:]]))

    def bootstrap(self, voters: Sequence[VoterPlace], is_new_cluster: bool) -> None:
        """Create the data folders of voters."""
        layout = self._layout
        for voter in voters:
            command = _processes.bootstrap_command(layout, voter, is_new_cluster)
            name = f"bootstrap {voter.id}"
            self._children.start(name, command, layout.log(voter.id))
        for voter in voters:
            if self._children.wait(f"bootstrap {voter.id}", COMMAND_LIMIT) != 0:
                self.fail(f"bootstrap of {voter.id} failed", voter.id)

    def start_nodes(self) -> None:
        """Start the fabric, the voters and the balancers."""
        layout = self._layout
        self._say("creating the data folders of the voters")
        self.bootstrap(layout.voters, is_new_cluster=True)
        self._say("starting fabric, voters and balancers")
        command = fabric_command(layout, self._options)
        self._children.start(FABRIC, command, layout.log(FABRIC))
        if layout.relay_control is not None:
            self._children.start(RELAY, relay_command(layout), layout.log(RELAY))
            self.wait_for_port(RELAY, layout.relay_control)
        nodes: list[NodePlace] = [*layout.voters, *layout.balancers]
        for node in nodes:
            self.launch_node(node)
        for node in nodes:
            self.wait_for_port(node.id, node.api)
        self.wait_for_port(FABRIC, layout.fabric_control)

    def _configure(self) -> None:
        self._say("putting the configuration in with wasabigwctl")
        self.tool("apply", "--answers", str(_processes.answers_path(self._layout)))
        self.tool("in-force", "--wait")
        self._say("the configuration is in force")

    def _start_backends(self) -> None:
        layout = self._layout
        for backend in layout.backends:
            self.start_backend(backend)
        for backend in layout.backends:
            self.wait_for_announcement(backend)
        self.tool("in-force", "--wait")
        count = len(layout.backends)
        self._say(f"{count} backend servers are announced and in force")

    def wait_for_announcement(self, backend: BackendPlace) -> None:
        """Wait until a balancer accepts a backend server."""

        def is_announced() -> bool:
            status = fetch(backend.control, "/status")
            return bool(status and status.get("accepted"))

        problem = f"no balancer accepted the announcements of {backend.id}"
        self.wait_until(is_announced, problem, backend.id)


def fetch(endpoint: Endpoint, path: str) -> dict[str, Any] | None:
    """JSON answer of a process; ``None`` if it does not respond.

    An answer that is not a JSON object gives an empty one.
    """
    try:
        response = requests.get(f"http://{endpoint_key(endpoint)}{path}", timeout=1.0)
        value = response.json()
    except requests.JSONDecodeError:
        return {}
    except requests.RequestException:
        return None
    return value if isinstance(value, dict) else {}
