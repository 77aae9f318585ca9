"""A small deployment of the project's own programs on loopback addresses.

Each simulated machine has a loopback address of its own. The programs are started with
the commands of the deploy file, from the root of the repository.
"""

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"recife": "nordeste", "fortaleza": "nordeste", "salvador": "nordeste"}
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
    "evacuation-deadline-ms": 5000,
    "recovery-s": 12,
    "flow-ms": 2000,
    "max-flow-s": 60,
}
HEARTBEAT_INTERVAL_MS = 1200


class Program:
    """One process of the system, which can be killed, stopped and started again."""

    def __init__(
        self, role: str, arguments: list[str], settings: dict[str, Any], folder: Path
    ) -> None:
        self.name = f"{settings['node-name']}-{role}"
        self.settings = settings
        self._command = ["python3", "-S", "target/app/main.py", role, *arguments]
        self._file = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        self._file.write_text(json.dumps(self.settings))
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = "target/deps"
        environment["WASABIGW_CONFIG"] = str(self._file)
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self._process.wait()

    def wait(self, limit_s: float) -> bool:
        """Wait for the end of the process; ``False`` if it goes on."""
        assert self._process is not None
        try:
            self._process.wait(limit_s)
        except subprocess.TimeoutExpired:
            return False
        return True

    def lose_disk(self) -> None:
        """Empty the data directory of a process that has ended."""
        folder = Path(self.settings["data-directory"])
        shutil.rmtree(folder)
        folder.mkdir()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None


class Deployment:
    """Control VMs, their relays, and entry VMs.

    :param cores: number of control VMs, one zone each.
    :param fronts: number of entry VMs, one zone each in turn.
    """

    def __init__(self, cores: int = 3, fronts: int = 2) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._temporary.name)
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        first = _free_ports(f"{self.net}.11", 20)
        self.packet_port, self.readiness_port = first, first + 1
        self.control_port, self._internal = first + 2, first + 3
        self._metrics = first + 7
        zones = list(ZONES)
        self.core_addresses = [f"{self.net}.{11 + n}" for n in range(cores)]
        self.front_addresses = [f"{self.net}.{31 + n}" for n in range(fronts)]
        self.controls: list[Program] = []
        self.relays: list[Program] = []
        self.balancers: list[Program] = []
        for number, address in enumerate(self.core_addresses):
            zone = zones[number % len(zones)]
            self.controls.append(self._control(number, address, zone))
            self.relays.append(self._relay(number, address, zone))
        for number, address in enumerate(self.front_addresses):
            zone = zones[number % len(zones)]
            self.balancers.append(self._balancer(number, address, zone))

    @property
    def programs(self) -> list[Program]:
        """All processes of the system."""
        return [*self.controls, *self.relays, *self.balancers]

    def start(self) -> None:
        """Start all processes; the settings of later starts are no first ones."""
        for program in self.programs:
            program.start()
        time.sleep(0.3)
        for program in self.programs:
            program.settings["bootstrap"] = False

    def add_core(self, zone: str) -> tuple[Program, Program]:
        """Start a further control VM with an empty disk, and its relay."""
        number = len(self.core_addresses)
        address = f"{self.net}.{11 + number}"
        programs = (
            self._control(number, address, zone),
            self._relay(number, address, zone),
        )
        for program in programs:
            program.settings["bootstrap"] = False
            program.start()
        self.core_addresses.append(address)
        self.controls.append(programs[0])
        self.relays.append(programs[1])
        return programs

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for program in self.programs:
            program.kill()
        self._temporary.cleanup()

    def wait_until_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until all entry VMs answer their readiness query with 200."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if all(self.is_ready(address) for address in self.front_addresses):
                return True
            time.sleep(0.2)
        return False

    def is_ready(self, front_address: str) -> bool:
        """Whether an entry VM is ready."""
        query = f"GET /readiness HTTP/1.1\r\nHost: {front_address}\r\n\r\n"
        try:
            with socket.create_connection(
                (front_address, self.readiness_port), timeout=1.0
            ) as connection:
                connection.sendall(query.encode())
                return b" 200 " in connection.recv(4096).split(b"\r\n", 1)[0] + b" "
        except OSError:
            return False

    def _settings(
        self, name: str, role: str, klass: str, address: str, zone: str
    ) -> dict[str, Any]:
        return {
            "node-name": name,
            "role": role,
            "machine-class": klass,
            "serves": [],
            "ip-address": address,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {},
            "internal-port-range": [self._internal, self._internal + 3],
            "seeds": [f"{s}:{self.control_port}" for s in self.core_addresses[:3]],
            "bootstrap": True,
            "counts-toward-tolerance": klass == "core",
            "limits": {
                "cpu-share": 0.645,
                "cpu-speed-factor": 1,
                "memory-mb": 296,
                "file-descriptors": 4096,
                "link-mbps": 1000.0,
                "disk-mb": 128 if klass == "core" else 0,
            },
            "data-directory": None,
            "discovery": "registration",
            "entry": "announcement",
            "heartbeat-interval-ms": HEARTBEAT_INTERVAL_MS,
            "contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "recover",
                "flows",
                "places",
            ],
            "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "config_mode": "highest",
            "hash-function": "steady",
            "deployment-form": "echo",
        }

    def _control(self, number: int, address: str, zone: str) -> Program:
        name = f"core-{zone}-{number + 1}"
        settings = self._settings(name, "control", "core", address, zone)
        settings["serves"] = ["control_plane"]
        settings["listen"] = {"control": f"{address}:{self.control_port}"}
        settings["data-directory"] = self._data_folder(f"{name}-control")
        return Program("control", [str(self._metrics)], settings, self.folder)

    def _relay(self, number: int, address: str, zone: str) -> Program:
        name = f"core-{zone}-{number + 1}"
        settings = self._settings(name, "relay", "core", address, zone)
        data = settings["data-directory"] = self._data_folder(f"{name}-relay")
        arguments = [str(self._metrics + 1), address, str(self._internal), data]
        return Program("relay", arguments, settings, self.folder)

    def _balancer(self, number: int, address: str, zone: str) -> Program:
        name = f"frontend-{zone}-{number + 1}"
        settings = self._settings(name, "balancer", "frontend", address, zone)
        settings["serves"] = ["frontend"]
        settings["listen"] = {
            "datagram-address": f"{address}:{self.packet_port}",
            "readiness-address": f"{address}:{self.readiness_port}",
        }
        return Program("balancer", [str(self._metrics + 2)], settings, self.folder)

    def _data_folder(self, name: str) -> str:
        folder = self.folder / "data" / name
        folder.mkdir(parents=True)
        return str(folder)


def _free_ports(address: str, count: int) -> int:
    """First of ``count`` consecutive ports that are free at an address."""
    for _ in range(200):
        first = random.randint(20_000, 30_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((address, port))
            except OSError:
                continue
            return first
    raise OSError("no free ports")
