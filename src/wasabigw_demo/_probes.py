"""Probes that send invalid input to each interface and check the response."""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

import requests
from returns.result import Success

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import Seconds
from wasabigw_demo import _processes, wire
from wasabigw_demo._children import Children, CompletedCommand
from wasabigw_demo._layout import PROBE_ADDRESS, Layout
from wasabigw_demo.addresses import socket_address

COMMAND_TIMEOUT = Seconds(8.0)
HTTP_TIMEOUT = 3.0
ANSWER_TIMEOUT = 1.0
MAX_ATTEMPTS = 6
UNKNOWN_PORT = 9
MAX_SHOWN_TEXT = 110


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Response to one kind of invalid input.

    :param clear: whether the response was an error that names the problem.
    """

    name: str
    clear: bool
    answer: str


def run_probes(layout: Layout, children: Children) -> list[ProbeResult]:
    """Run all probes."""
    probes: tuple[Callable[[], ProbeResult], ...] = (
        lambda: _probe_settings(layout, children),
        lambda: _probe_unknown_service(layout, children),
        lambda: _probe_unknown_address(layout),
        lambda: _probe_malformed_packets(layout),
        lambda: _probe_malformed_announcement(layout),
        lambda: _probe_malformed_change(layout),
    )
    return [probe() for probe in probes]


def _probe_settings(layout: Layout, children: Children) -> ProbeResult:
    path = _processes.write_invalid_settings(layout)
    command = _processes.run_command(path)
    completed = children.run(command, COMMAND_TIMEOUT)
    return _command_result("bad settings", completed, "data_endpoint")


def _probe_unknown_service(layout: Layout, children: Children) -> ProbeResult:
    completed = children.run(_processes.remove_unknown_service(layout), COMMAND_TIMEOUT)
    return _command_result("unknown service", completed, _processes.UNKNOWN_SERVICE)


def _command_result(
    name: str, completed: CompletedCommand, expected_text: str
) -> ProbeResult:
    clear = completed.code not in (None, 0) and expected_text in completed.output
    clear = clear and "Traceback" not in completed.output
    return ProbeResult(
        name, clear, f"exit {completed.code}: {_shorten(completed.output)}"
    )


def _probe_unknown_address(layout: Layout) -> ProbeResult:
    """Send a SYN to a port without a service, which must be answered with RST."""
    name = "unknown service address"
    service = layout.services[0].endpoint
    unknown = Endpoint(service.address, UNKNOWN_PORT)
    local = Endpoint(PROBE_ADDRESS, 30_000)
    syn = wire.Segment(local, unknown, 1000, 0, wire.TcpFlag.SYN)
    data = wire.encapsulate(wire.Frame(wire.build_segment(syn)))
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(socket_address(layout.probe))
        probe.settimeout(ANSWER_TIMEOUT)
        for _ in range(MAX_ATTEMPTS):
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


def _probe_malformed_packets(layout: Layout) -> ProbeResult:
    """Send malformed frames, after which each balancer must still respond."""
    generator = random.Random(11)
    syn = wire.Segment(
        Endpoint(PROBE_ADDRESS, 30_001),
        layout.services[0].endpoint,
        1,
        0,
        wire.TcpFlag.SYN,
    )
    valid_frame = wire.encapsulate(wire.Frame(wire.build_segment(syn)))
    malformed_frames = (
        b"",
        b"\x00",
        valid_frame[:20],
        b"\x3f" + valid_frame[1:],
        valid_frame[:8] + b"\x4f" + valid_frame[9:],
        generator.randbytes(200),
    )
    responding = 0
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for balancer in layout.balancers:
            for data in malformed_frames:
                sender.sendto(data, socket_address(balancer.data))
            responding += _responds(balancer.api)
    answer = f"dropped; {responding} of {len(layout.balancers)} balancers respond"
    return ProbeResult("malformed packets", responding == len(layout.balancers), answer)


def _responds(api: Endpoint) -> bool:
    url = f"http://{endpoint_key(api)}{_processes.STATUS_PATH}"
    try:
        return requests.get(url, timeout=HTTP_TIMEOUT).ok
    except requests.RequestException:
        return False


def _probe_malformed_announcement(layout: Layout) -> ProbeResult:
    api = layout.balancers[0].api
    body = b'{"id": "doc-1", "slots": "four"'
    url = f"http://{endpoint_key(api)}{_processes.ANNOUNCEMENTS_PATH}"
    return _post_malformed("malformed announcement", url, body)


def _probe_malformed_change(layout: Layout) -> ProbeResult:
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
    return ProbeResult(name, clear, f"{response.status_code} {_shorten(response.text)}")


def _shorten(text: str) -> str:
    return " ".join(text.split())[:MAX_SHOWN_TEXT]
