"""A control VM is replaced as planned; 1.5 s later another one loses its disk."""

import http.client
import json
import signal
import time

from standins.calls import call
from standins.deployment import Deployment, Program
from standins.scenario import (
    NotRun,
    Record,
    configuration,
    main,
    send_order,
    with_trouble,
)

SUCCESSOR_LEAD_S = 12.0
"""How long the successor runs before the removal; catch-up-s is 4."""
LOSS_AFTER_S = 1.5
"""Time from the end of the removed machine to the loss of the disk."""
DOWN_S = 1.0
GRACE_S = 6.0
RECOVERY_S = 12.0
READ_S = 40.0
"""For how long the configuration is read back, after recovery-s."""
VERSION = 7


def play(deployment: Deployment, record: Record) -> bool:
    """Replace the leader, take the disk of a follower, and read the configuration."""
    document = configuration(VERSION, ["huvo11a"])
    send_order(deployment, record, "PUT", "/configuration", document)
    time.sleep(5.0)  # longer than contact-window-ms
    removed = _leader(deployment)
    lost = (removed + 1) % 3
    zone = deployment.controls[removed].settings["zone"]
    deployment.add_core(zone)
    record.write(f"successor started in {zone}, with an empty disk at a new address")
    time.sleep(SUCCESSOR_LEAD_S)
    if _leader(deployment) != removed:
        raise NotRun("the leader has changed without a disturbance")
    left = [a for n, a in enumerate(deployment.core_addresses) if n != removed]
    _remove(deployment, removed, record)
    time.sleep(LOSS_AFTER_S)
    if with_trouble():
        _lose_disk(deployment, lost, left, record)
    time.sleep(RECOVERY_S)
    return _read_back(deployment, left, record)


def _machine(deployment: Deployment, number: int) -> tuple[Program, Program]:
    return deployment.controls[number], deployment.relays[number]


def _leader(deployment: Deployment) -> int:
    """Number of the first control VM that answers a read without a redirect."""
    for number, address in enumerate(deployment.core_addresses[:3]):
        connection = http.client.HTTPConnection(
            address, deployment.control_port, timeout=1.0
        )
        try:
            connection.request("GET", "/configuration")
            if connection.getresponse().status == 200:
                return number
        except OSError:
            continue
        finally:
            connection.close()
    raise NotRun("none of the first control VMs answered a read")


def _remove(deployment: Deployment, number: int, record: Record) -> None:
    """Stop both processes of a machine with SIGTERM, for good."""
    address = deployment.core_addresses[number]
    programs = _machine(deployment, number)
    record.write(f"SIGTERM to the machine {address}")
    for program in programs:
        program.send(signal.SIGTERM)
    ended = [program.wait(GRACE_S) for program in programs]
    if not all(ended):
        raise NotRun("the removed machine did not end within grace-s")
    record.write(f"the machine {address} has ended and never comes back")


def _lose_disk(
    deployment: Deployment, number: int, left: list[str], record: Record
) -> None:
    """Kill both processes of a machine and start them again with empty disks."""
    address = deployment.core_addresses[number]
    programs = _machine(deployment, number)
    for program in programs:
        program.kill()
        program.lose_disk()
    record.write(f"the machine {address} is down and has lost its disk")
    time.sleep(DOWN_S)
    for program in programs:
        program.settings["seeds"] = [f"{a}:{deployment.control_port}" for a in left]
        program.start()
    record.write(f"the machine {address} is back, with an empty disk")


def _read_back(deployment: Deployment, addresses: list[str], record: Record) -> bool:
    """Read until a node answers with the acknowledged version."""
    until = time.monotonic() + READ_S
    number = 0
    while time.monotonic() < until:
        address = addresses[number % len(addresses)]
        answer = call(address, deployment.control_port, "GET", "/configuration")
        version = json.loads(answer.body)["version"] if answer.is_success else None
        record.write(f"GET /configuration at {address} -> {answer.status} {version}")
        if version == VERSION:
            return True
        number += 1
        time.sleep(0.5)
    return False


if __name__ == "__main__":
    main(__file__, play)
