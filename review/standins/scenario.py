"""What the cases share: the configuration, the servers and the record."""

import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from standins.calls import Heartbeat, order
from standins.deployment import HEARTBEAT_INTERVAL_MS, Deployment
from standins.flows import Client, Server

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST, HOST_PORT = "127.198.18.1", 8443
SERVER_PORT = 8080
TIME_LIMIT_S = 115


class NotRun(Exception):  # noqa: N818 - not an error of the system
    """The case could not run, for example because the system did not start."""


def with_trouble() -> bool:
    """Whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Record of what was sent, answered and run.

    :ivar path: the file of the record.
    """

    def __init__(self, case: Path) -> None:
        self._began = time.monotonic()
        self.path = case / "record.txt"
        self._file = self.path.open("w", encoding="utf-8")

    def write(self, text: str, at: float | None = None) -> None:
        """Write a line with its time since the start of the case."""
        seconds = (time.monotonic() if at is None else at) - self._began
        self._file.write(f"{seconds:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def run_case(
    case: Path, play: Callable[[Deployment, Record], bool], **size: int
) -> int:
    """Play a case on a new deployment; returns the exit code.

    :param play: returns whether the rule held.
    """
    record = Record(case)
    deployment = Deployment(**size)
    try:
        record.write(f"start, trouble={with_trouble()}")
        deployment.start()
        if not deployment.wait_until_ready():
            raise NotRun("the entry VMs did not get ready")
        held = play(deployment, record)
        ended = [p.name for p in deployment.programs if not p.is_running]
        record.write(f"processes that ended by themselves: {ended}")
        record.write("the rule held" if held else "the rule was BROKEN")
        return HELD if held else BROKEN
    except Exception as error:
        record.write(f"not run: {type(error).__name__}: {error}")
        return NOT_RUN
    finally:
        deployment.close()
        record.close()


def configuration(version: int, services: Sequence[str]) -> dict[str, Any]:
    """A configuration whose one route leads to the first of the services."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-a3hwrr6",
                "host": HOST,
                "path-prefix": f"/{HOST_PORT}/",
                "route-type": "safe",
                "timeout-ms": 1500,
                "target-latency-ms": 250,
                "priority": 2,
                "service": services[0],
                "max-attempts": 2,
            }
        ],
        "services": [
            {
                "name": name,
                "health-check-path": "/health",
                "max-connections": 2000,
                "protocol": "h1",
                "tls": False,
                "cold-period-s": 2.0,
                "warmup-per-s": 0.0,
            }
            for name in sorted(services)
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def send_order(
    deployment: Deployment, record: Record, method: str, path: str, body: Any = None
) -> float:
    """Send an order of the operator; returns when it was acknowledged."""
    addresses, port = deployment.core_addresses, deployment.control_port
    answer = order(addresses, port, method, path, body, limit_s=10.0)
    now = time.monotonic()
    version = body["version"] if body else ""
    record.write(f"operator: {method} {path} {version} -> {answer.status}", now)
    if not answer.is_success:
        raise NotRun(f"{method} {path} was not acknowledged")
    return now


def start_server(
    deployment: Deployment,
    record: Record,
    name: str,
    number: int,
    service: str,
    slots: int = 4,
    work_s: Callable[[], float] | None = None,
) -> tuple[Server, Heartbeat]:
    """Start a server and its reports; it lies in the zone of its number."""
    address = f"{deployment.net}.{101 + number}"
    caller_port = deployment.packet_port
    server = Server(name, address, SERVER_PORT, caller_port, service, slots, work_s)
    server.start()
    zone = ("recife", "fortaleza", "salvador")[number % 3]
    body = {
        "service": service,
        "address": f"{address}:{SERVER_PORT}",
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "cold-remaining-ms": 0,
        "born": round(time.time() * 1000),
    }
    heartbeat = Heartbeat(
        name,
        body,
        deployment.core_addresses,
        deployment.control_port,
        HEARTBEAT_INTERVAL_MS / 1000,
    )
    if heartbeat.report() is None:
        raise NotRun(f"the server {name} was not registered")
    record.write(f"server {name} of {service} at {address}:{SERVER_PORT} registered")
    heartbeat.start()
    return server, heartbeat


def make_client(deployment: Deployment, number: int) -> Client:
    """Make a client whose packets go to the entry VMs."""
    return Client(
        f"{deployment.net[: deployment.net.rindex('.')]}.{251}.{1 + number}",
        deployment.packet_port,
        deployment.front_addresses,
        HOST,
        HOST_PORT,
    )


def main(
    case_file: str, play: Callable[[Deployment, Record], bool], **size: int
) -> None:
    """Play the case in the folder of a file and end with its exit code.

    A signal or the time limit ends the case, and with it all processes.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(TIME_LIMIT_S)
    sys.exit(run_case(Path(case_file).resolve().parent, play, **size))


def _stop(number: int, _frame: object) -> None:
    raise NotRun(f"ended by {signal.Signals(number).name}")
