"""Starts the programs of the deploy file on loopback addresses, for the cases."""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("recife", "fortaleza", "salvador")
REGION = "nordeste"
HEARTBEAT_MS = 1200
REDIRECTS = 2
BOUNDS = {
    "seed-lag-s": 3,
    "address-reuse-s": 2,
    "contact-window-ms": 4000,
    "ack-timeout-ms": 5000,
    "catch-up-s": 4,
    "drain-ms": 3000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "configuration-apply-ms": 3000,
    "regression-window-ms": 250,
    "max-stretch-ms": 12000,
    "warmup-multiplier": 1.5,
    "cold-slack": 5,
    "evacuation-deadline-ms": 5000,
    "recovery-s": 12,
    "flow-ms": 2000,
    "max-flow-s": 60,
}


class CannotRunError(Exception):
    """The case could not be run; nothing is known about the rule."""


def _free_ports(kind: socket.SocketKind, count: int) -> int:
    """First of ``count`` consecutive ports that are free at the usual address."""
    for _ in range(200):
        first = random.SystemRandom().randint(20_000, 31_000)
        sockets = []
        try:
            for port in range(first, first + count):
                found = socket.socket(socket.AF_INET, kind)
                sockets.append(found)
                found.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for found in sockets:
                found.close()
    raise CannotRunError("no free ports")


class Deployment:
    """Control VMs with a relay each, and balancers, each on an address of its own."""

    def __init__(self, controls: int = 3, balancers: int = 2) -> None:
        generator = random.SystemRandom()
        self.net = f"127.{generator.randint(10, 190)}.{generator.randint(1, 250)}"
        self.folder = Path(tempfile.mkdtemp(prefix="wasabigw-review-"))
        tcp = _free_ports(socket.SOCK_STREAM, 8)
        self.control_port, self.readiness_port, self.internal = tcp, tcp + 1, tcp + 2
        self.packet_port = _free_ports(socket.SOCK_DGRAM, 1)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.controls = [f"{self.net}.{11 + n}" for n in range(controls)]
        self.balancers = [f"{self.net}.{51 + n}" for n in range(balancers)]

    def zone(self, address: str) -> str:
        """Zone of a machine."""
        number = int(address.rpartition(".")[2])
        return ZONES[(number - 11) % 3 if number < 50 else (number - 51) % 3]

    def settings(self, role: str, address: str, first: bool) -> dict[str, Any]:
        """Settings as the platform writes them."""
        is_core = role != "balancer"
        zone = self.zone(address)
        listen = {}
        if role == "control":
            listen = {"control": f"{address}:{self.control_port}"}
        elif role == "balancer":
            listen = {
                "datagram-address": f"{address}:{self.packet_port}",
                "readiness-address": f"{address}:{self.readiness_port}",
            }
        folder = self.folder / "data" / f"{role}-{address}"
        return {
            "node-name": f"{'core' if is_core else 'frontend'}-{zone}-{address}",
            "role": role,
            "machine-class": "core" if is_core else "frontend",
            "serves": {"control": ["control_plane"], "balancer": ["frontend"]}.get(
                role, []
            ),
            "ip-address": address,
            "zone": zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "internal-port-range": [self.internal, self.internal + 5],
            "seeds": [f"{a}:{self.control_port}" for a in self.controls[:3]],
            "bootstrap": first,
            "counts-toward-tolerance": is_core,
            "limits": {
                "cpu-share": 0.645,
                "cpu-speed-factor": 1,
                "memory-mb": 296,
                "file-descriptors": 4096,
                "link-mbps": 1000.0,
                "disk-mb": 128 if is_core else 0,
            },
            "data-directory": str(folder) if is_core else None,
            "discovery": "registration",
            "entry": "announcement",
            "heartbeat-interval-ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "recover", "flows", "places"],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash-function": "steady",
            "deployment-form": "echo",
        }

    def start(self, role: str, address: str, first: bool = False) -> None:
        """Start one program with the command of the deploy file."""
        settings = self.settings(role, address, first)
        if settings["data-directory"]:
            os.makedirs(settings["data-directory"], exist_ok=True)
        path = self.folder / f"{role}-{address}.json"
        path.write_text(json.dumps(settings))
        values = {
            "{{ip-address}}": address,
            "{{internal-port-range.0}}": str(self.internal),
            "{{data-directory}}": settings["data-directory"] or "",
        }
        words = self._roles[role]["run"].split()
        environment = {
            "PATH": os.environ["PATH"],
            "LANG": "C.UTF-8",
            "WASABIGW_CONFIG": str(path),
            "PYTHONPATH": "target/deps",
        }
        with (self.folder / f"{role}-{address}.log").open("ab") as log:
            self.processes[f"{role}-{address}"] = subprocess.Popen(
                [values.get(word, word) for word in words],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def start_all(self) -> None:
        """Start the whole system for the first time."""
        for address in self.controls:
            self.start("relay", address, first=True)
            self.start("control", address, first=True)
        for address in self.balancers:
            self.start("balancer", address, first=True)

    def signal(self, role: str, address: str, number: int) -> None:
        """Send a signal to a program that this deployment started."""
        process = self.processes[f"{role}-{address}"]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait(10)

    def is_running(self, role: str, address: str) -> bool:
        """Whether a program still runs."""
        return self.processes[f"{role}-{address}"].poll() is None

    def log_text(self, role: str, address: str) -> str:
        """What a program has written."""
        return (self.folder / f"{role}-{address}.log").read_text(errors="replace")

    def wait_ready(self, timeout: float = 30.0) -> None:
        """Wait until all balancers say that they are ready."""
        end = time.monotonic() + timeout
        for address in self.balancers:
            while not self.is_ready(address):
                if time.monotonic() > end:
                    raise CannotRunError(f"balancer {address} does not get ready")
                time.sleep(0.1)

    def is_ready(self, address: str) -> bool:
        """Whether a balancer answers the readiness probe with 200."""
        host = f"{address}:{self.readiness_port}"
        try:
            return call(host, "GET", "/readiness", timeout=0.5)[0] == 200
        except OSError:
            return False

    def operator(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        nodes: list[str] | None = None,
        limit: float = 15.0,
    ) -> tuple[int, bytes, str]:
        """Call as an operator does: other nodes after a failure, a 5xx or a second.

        :returns: status, body and the node that gave the final answer; status 0 if
            none did within ``limit``.
        """
        end = time.monotonic() + limit
        pause = 0.05
        while time.monotonic() < end:
            for node in nodes or self.controls:
                host = f"{node}:{self.control_port}"
                try:
                    status, answer, host = follow(host, method, path, body)
                except (OSError, http.client.HTTPException):
                    continue
                if status < 500 and status not in (307, 408, 429):
                    return status, answer, host
            time.sleep(pause)
            pause = min(2 * pause, 0.5)
        return 0, b"", ""

    def close(self) -> None:
        """End all programs and remove their files."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(
    host: str,
    method: str,
    path: str,
    body: bytes | None = None,
    timeout: float = 1.0,
) -> tuple[int, bytes, str]:
    """One HTTP request; returns status, body and the header Location."""
    connection = http.client.HTTPConnection(host, timeout=timeout)
    try:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read(), response.getheader("Location") or ""
    finally:
        connection.close()


def follow(
    host: str, method: str, path: str, body: bytes | None = None, timeout: float = 1.0
) -> tuple[int, bytes, str]:
    """One call that follows a 307 twice; returns status, body and the last host."""
    status, answer, location = call(host, method, path, body, timeout)
    for _ in range(REDIRECTS):
        if status != 307 or not location:
            break
        host = location.split("/")[2]
        status, answer, location = call(host, method, path, body, timeout)
    return status, answer, host


def route_host(index: int) -> str:
    """Address of the route of a service, which only packets name; nobody binds it."""
    return f"127.198.0.{1 + index}"


def configuration(version: int, services: list[str], idle_routes: int = 0) -> bytes:
    """Configuration with a route for each service, and routes that nobody uses."""
    routes = [_route(route_host(n), name) for n, name in enumerate(services)]
    routes += [
        _route(f"127.199.{n // 250}.{1 + n % 250}", services[0])
        for n in range(idle_routes)
    ]
    document = {
        "version": version,
        "routes": routes,
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
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 262144,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
    return json.dumps(document, separators=(",", ":")).encode()


def _route(host: str, service: str) -> dict[str, Any]:
    return {
        "name": f"r-{host.replace('.', '-')}",
        "host": host,
        "path-prefix": "/8443/",
        "route-type": "unsafe",
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    }
