"""An answer to an opening is lost, and the copy opens the flow at another backend."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from deployment import (
    ZONES,
    CannotRunError,
    Deployment,
    configuration,
    route_host,
)
from flows import ACK, SYN, Backend, Consumer, Held, Packet

FLOWS = 12
LOST_IN = 4
"""One flow in this many loses the first answer to its opening: 3 datagrams in all."""
REQUESTS = 2
WORK = 0.3
"""Seconds that a request takes; more than 0.2 s, after which its data is sent again."""


def main(trouble: bool) -> int:
    """Run the case; 1 if the rule was broken."""
    lines: list[str] = []
    began = time.monotonic()

    def record(*words: object) -> None:
        line = f"{time.monotonic() - began:8.3f} " + " ".join(map(str, words))
        lines.append(line)

    deployment = Deployment(balancers=1)
    backends: list[Backend] = []
    broken = 0
    try:
        deployment.start_all()
        status, _, _ = deployment.operator(
            "PUT", "/configuration", configuration(1, ["svc-a"], 5), limit=30.0
        )
        if status != 200:
            raise CannotRunError("the configuration was not acknowledged")
        deployment.wait_ready()
        backends = [
            Backend(
                deployment,
                f"i-7f3a91c{n}",
                "svc-a",
                f"{deployment.net}.{131 + n}",
                ZONES[n],
                record,
                work=WORK,
            )
            for n in range(3)
        ]
        for backend in backends:
            backend.start()
        time.sleep(3.0)
        lost: set[int] = set()
        doomed: set[int] = set()

        def drop(packet: Packet) -> bool:
            """Lose the first answer to the opening of some flows."""
            is_lost = (
                packet.flags == SYN | ACK
                and packet.dport in doomed
                and packet.dport not in lost
            )
            if is_lost:
                lost.add(packet.dport)
                record("lost on its way: the answer to the opening of", packet.dport)
            return is_lost

        for backend in backends:
            backend.drop = drop
        consumer = Consumer(deployment, f"{deployment.net}.241", record)
        for number in range(FLOWS):
            flow = consumer.open(route_host(0), deployment.balancers[0])
            if trouble and number % LOST_IN == 1:
                doomed.add(flow.port)
            if not flow.connect():
                record("flow", flow.port, "does not open")
                continue
            opened = [b.name for b in backends if _holds(b, flow.port)]
            record("flow", flow.port, "is open; answered by", *opened)
            for turn in range(REQUESTS):
                answer = flow.request(f"request-{flow.port}-{turn}")
                record("request", turn, "on", flow.port, "answered", answer)
                flow.receive(0.3)
            home = [
                b.name for b in backends if (h := _held(b, flow.port)) and h.is_open
            ]
            record("flow", flow.port, "open at", *home, "reset", flow.was_reset)
            if flow.was_reset and home:
                broken += 1
        consumer.close()
        record("flows that were reset while their backend lives:", broken)
        if not trouble and broken == 0 and not any("answered b" in x for x in lines):
            raise CannotRunError("no request was answered")
    except CannotRunError as error:
        record("cannot run:", error)
        return _finish(lines, 2)
    finally:
        for backend in backends:
            backend.stop()
        deployment.close()
    return _finish(lines, 1 if broken else 0)


def _held(backend: Backend, port: int) -> Held | None:
    return next((h for key, h in backend.flows.items() if key[1] == port), None)


def _holds(backend: Backend, port: int) -> bool:
    return _held(backend, port) is not None


def _finish(lines: list[str], code: int) -> int:
    record = Path(__file__).with_name("record.txt")
    record.write_text("\n".join([*lines, f"exit {code}"]) + "\n")
    return code


if __name__ == "__main__":
    sys.exit(main(sys.argv[1] != "0"))
