"""A replaced control VM is taken away without SIGTERM, and another loses its disk."""

import json
import shutil
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import BOUNDS, CannotRunError, Deployment, configuration

SUCCESSOR_TIME = 12.0
"""Seconds for which the successor runs before the removal; catch-up-s is 4."""
GAP = 1.0
"""Seconds from the removal to the loss of the other disk."""
DOWN = 0.5
READ_TIME = 30.0
"""Seconds for which the configuration is read, from recovery-s on."""
ROLES = ("relay", "control")
VERSION = 5


def main(trouble: bool) -> int:
    """Run the case; 1 if the rule was broken."""
    lines: list[str] = []
    began = time.monotonic()

    def record(*words: object) -> None:
        line = f"{time.monotonic() - began:8.3f} " + " ".join(map(str, words))
        lines.append(line)

    deployment = Deployment(balancers=1)
    try:
        deployment.start_all()
        _declare(deployment, 1)
        deployment.wait_ready()
        _, _, host = deployment.operator("GET", "/configuration")
        removed = host.partition(":")[0]
        index = deployment.controls.index(removed)
        # In the zone of the machine that it replaces.
        successor = f"{deployment.net}.{14 + index}"
        _start(deployment, successor)
        record("the successor", successor, "starts, in", deployment.zone(successor))
        time.sleep(SUCCESSOR_TIME)
        _declare(deployment, VERSION)
        record("acknowledged: version", VERSION, "; the leader is", removed)
        lost, kept = (a for a in deployment.controls if a != removed)
        _signal(deployment, removed, signal.SIGKILL)
        record("removed for good, without SIGTERM:", removed)
        time.sleep(GAP)
        if trouble:
            _signal(deployment, lost, signal.SIGKILL)
            for role in ROLES:
                shutil.rmtree(deployment.folder / "data" / f"{role}-{lost}")
            record("loses its disk:", lost)
            time.sleep(DOWN)
            _start(deployment, lost)
            record("back at its address, empty:", lost)
        back_at = time.monotonic()
        nodes = [lost, kept, successor]
        time.sleep(BOUNDS["recovery-s"])
        code = _read(deployment, nodes, back_at, record)
        for node in nodes:
            running = [deployment.is_running(role, node) for role in ROLES]
            record("processes of", node, "run:", *running)
            elections = [
                json.loads(text)
                for text in deployment.log_text("control", node).splitlines()
                if '"ELECTION_FAILED"' in text
            ]
            if elections:
                record("last election at", node, ":", elections[-1]["missing"])
    except CannotRunError as error:
        record("cannot run:", error)
        code = 2
    finally:
        deployment.close()
    lines.append(f"exit {code}")
    Path(__file__).with_name("record.txt").write_text("\n".join(lines) + "\n")
    return code


def _read(deployment: Deployment, nodes, back_at: float, record) -> int:
    """Read the configuration at all nodes again and again; 1 if it never comes."""
    end = time.monotonic() + READ_TIME
    while time.monotonic() < end:
        status, body, host = deployment.operator(
            "GET", "/configuration", nodes=nodes, limit=3.0
        )
        after = f"{time.monotonic() - back_at:.1f} s after the last loss"
        record("read:", status or "no answer but 503, 307 or silence", host, after)
        if status == 200:
            version = json.loads(body)["version"]
            record("version read back:", version)
            return 0 if version >= VERSION else 1
    return 1


def _declare(deployment: Deployment, version: int) -> None:
    body = configuration(version, ["svc-a", "svc-b"], 10)
    status, _, _ = deployment.operator("PUT", "/configuration", body, limit=30.0)
    if status != 200:
        raise CannotRunError(f"version {version} was not acknowledged")


def _start(deployment: Deployment, address: str) -> None:
    for role in ROLES:
        deployment.start(role, address)


def _signal(deployment: Deployment, address: str, number: int) -> None:
    for role in ROLES:
        deployment.signal(role, address, number)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] != "0"))
