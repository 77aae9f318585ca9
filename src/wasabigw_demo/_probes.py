"""Invalid input on each interface, and what comes back."""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

import requests
from returns.result import Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw_demo import _processes, wire
from wasabigw_demo._children import Children, Completed
from wasabigw_demo._layout import PROBE_ADDRESS, Layout
from wasabigw_demo.addresses import socket_address

COMMAND_LIMIT = Seconds(8.0)
HTTP_TIMEOUT = 3.0
ANSWER_TIMEOUT = 1.0
TRIES = 6
UNKNOWN_PORT = 9
SHOWN_TEXT = 110


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What an invalid input led to.

    :param clear: whether the answer was an error that says what was wrong.
    """

    name: str
    clear: bool
    answer: str


def run_probes(layout: Layout, children: Children) -> list[ProbeResult]:
    """Try each kind of invalid input."""
    probes: tuple[Callable[[], ProbeResult], ...] = (
        lambda: _bad_settings(layout, children),
        lambda: _unknown_service(layout, children),
        lambda: _unknown_address(layout),
        lambda: _malformed_packets(layout),
        lambda: _malformed_body(layout),
        lambda: _malformed_change(layout),
    )
    return [probe() for probe in probes]


def _bad_settings(layout: Layout, children: Children) -> ProbeResult:
    path = _processes.write_bad_settings(layout)
    command = _processes.run_command(path)
    done = children.run(command, COMMAND_LIMIT)
    return _failed_clearly("bad settings", done, "data_endpoint")


def _unknown_service(layout: Layout, children: Children) -> ProbeResult:
    done = children.run(_processes.remove_unknown_service(layout), COMMAND_LIMIT)
    return _failed_clearly("unknown service", done, _processes.UNKNOWN_SERVICE)


def _failed_clearly(name: str, done: Completed, mentions: str) -> ProbeResult:
    clear = done.code not in (None, 0) and mentions in done.output
    clear = clear and "Traceback" not in done.output
    return ProbeResult(name, clear, f"exit {done.code}: {_shown(done.output)}")


def _unknown_address(layout: Layout) -> ProbeResult:
    """A SYN to a port without a service is answered with RST."""
    name = "unknown service address"
    service = layout.services[0].endpoint
    unknown = Endpoint(service.address, UNKNOWN_PORT)
    local = Endpoint(PROBE_ADDRESS, 30_000)
    syn = wire.Segment(local, unknown, 1000, 0, wire.TcpFlag.SYN)
    data = wire.encapsulate(wire.Frame(wire.build_segment(syn)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(socket_address(layout.probe))
        probe.settimeout(ANSWER_TIMEOUT)
        for _ in range(TRIES):
            probe.sendto(data, socket_address(layout.fabric))
            try:
                answer = probe.recv(wire.MAX_FRAME_SIZE)
            except TimeoutError:
                continue
            decoded = wire.decapsulate(answer).bind(
                lambda frame: wire.parse_packet(frame.inner)
            )
            match decoded:
                case Success(wire.Segment() as segment):
                    refused = bool(segment.flags & wire.TcpFlag.RST)
                    return ProbeResult(name, refused, f"TCP {segment.flags!r}")
                case _:
                    return ProbeResult(name, False, f"unexpected: {decoded}")
    return ProbeResult(name, False, "no answer")


def _malformed_packets(layout: Layout) -> ProbeResult:
    """Broken frames are dropped, and each balancer still responds."""
    generator = random.Random(11)
    syn = wire.Segment(
        Endpoint(PROBE_ADDRESS, 30_001),
        layout.services[0].endpoint,
        1,
        0,
        wire.TcpFlag.SYN,
    )
    whole = wire.encapsulate(wire.Frame(wire.build_segment(syn)))
    broken = (
        b"",
        b"\x00",
        whole[:20],
        b"\x3f" + whole[1:],
        whole[:8] + b"\x4f" + whole[9:],
        generator.randbytes(200),
    )
    alive = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for balancer in layout.balancers:
            for data in broken:
                sender.sendto(data, socket_address(balancer.data))
            alive += _responds(balancer.api)
    answer = f"dropped; {alive} of {len(layout.balancers)} balancers respond"
    return ProbeResult("malformed packets", alive == len(layout.balancers), answer)


def _responds(api: Endpoint) -> bool:
    url = f"http://{endpoint_key(api)}{_processes.STATUS_PATH}"
    try:
        return requests.get(url, timeout=HTTP_TIMEOUT).ok
    except requests.RequestException:
        return False


def _malformed_body(layout: Layout) -> ProbeResult:
    api = layout.balancers[0].api
    body = b'{"id": "doc-1", "slots": "four"'
    url = f"http://{endpoint_key(api)}{_processes.ANNOUNCEMENTS_PATH}"
    return _post_malformed("malformed announcement", url, body)


def _malformed_change(layout: Layout) -> ProbeResult:
    url = f"http://{endpoint_key(layout.voters[0].api)}{_processes.CHANGES_PATH}"
    return _post_malformed("malformed change", url, b'{"request_id": 5}')


def _post_malformed(name: str, url: str, body: bytes) -> ProbeResult:
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {_processes.TOKEN}",
    }
    try:
        response = requests.post(url, body, headers=headers, timeout=HTTP_TIMEOUT)
    except requests.RequestException as error:
        return ProbeResult(name, False, type(error).__name__)
    clear = response.status_code == requests.codes.bad_request and bool(response.text)
    return ProbeResult(name, clear, f"{response.status_code} {_shown(response.text)}")


def _shown(text: str) -> str:
    return " ".join(text.split())[:SHOWN_TEXT]
