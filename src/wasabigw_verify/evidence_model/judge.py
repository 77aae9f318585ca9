"""Judge: compares what callers and backend servers see with what is true."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from wasabigw.core.tags.decisions import RefusalReason
from wasabigw.core.tags.packets import FlowId, FlowPacket
from wasabigw_verify.evidence_model.wire import BalancerReset, ServerPacket

CONTACT_WINDOW = 4.0
"""Seconds after an impairment in which a machine is not in touch."""
STEERING_SPAN = 2.0
STEERED_PACKETS = 3
"""Packets that reach other backend servers within the span while none reaches its own.

These are the limits of rule FLOW on the platform's pages.
"""

MOST_BYTES = 2**20
"""More than a caller sends on a flow; flows begin at sequence numbers further apart."""


class Fault(Enum):
    """What a balancer must not do."""

    LOST = "a balancer counted a live backend server as lost, and reset an open flow"
    REFUSED = "a balancer refused a packet of a flow that is open at a live server"
    FOREIGN_RESET = "another backend server reset a flow that is open at a live one"
    STEERED = "packets of an open flow reached only other backend servers"
    DROPPED_AT_STOP = "a planned stop lost packets that the balancer had taken"


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault, and what was seen."""

    fault: Fault
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:.3f} s: {self.fault.value}: {self.text}"


@dataclass(slots=True)
class OpenFlow:
    """A flow that is open at a backend server.

    :param last_packet: when a packet of it last reached a backend server.
    :param elsewhere: times of packets at other backend servers since one reached its
        own.
    """

    home: int
    first_sequence: int
    opened_at: float
    last_packet: float
    elsewhere: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Freed:
    """A caller whose backend server died, and how long it waited.

    :param waited: seconds from the death, or the request after it, until the flow
        ended; ``None`` if it had not by the end of the run.
    """

    flow: FlowId
    waited: float | None
    reason: str


class Judge:
    """Knows which flows are open where, and which boots live.

    :param in_touch: whether a boot lives and was not impaired lately.
    """

    def __init__(
        self, in_touch: Callable[[int, float], bool], idle_timeout: float
    ) -> None:
        self.findings: list[Finding] = []
        self.freed: list[Freed] = []
        self._in_touch = in_touch
        self._idle_timeout = idle_timeout
        self._open: dict[FlowId, OpenFlow] = {}
        self._orphans: dict[FlowId, float] = {}
        self._deaths: dict[int, float] = {}

    def flow_opened(
        self, flow: FlowId, first_sequence: int, boot: int, now: float
    ) -> None:
        """The end of the handshake has reached a backend server."""
        known = self._open.get(flow)
        if known is None or known.first_sequence != first_sequence:
            self._open[flow] = OpenFlow(boot, first_sequence, now, now)

    def flow_ended(self, flow: FlowId, first_sequence: int, boot: int) -> None:
        """A backend server has ended a flow."""
        known = self._open.get(flow)
        if known is not None and (known.home, known.first_sequence) == (
            boot,
            first_sequence,
        ):
            del self._open[flow]

    def flow_left(self, flow: FlowId, now: float, reason: str) -> None:
        """A caller has ended a flow."""
        self._open.pop(flow, None)
        since = self._orphans.pop(flow, None)
        if since is not None:
            self.freed.append(Freed(flow, now - since, reason))

    def request_sent(self, flow: FlowId, now: float) -> None:
        """A caller begins to wait for a response."""
        known = self._open.get(flow)
        if known is not None and known.home in self._deaths:
            self._orphans.setdefault(flow, now)

    def boot_died(self, boot: int, now: float) -> None:
        """A boot of a backend server has died."""
        self._deaths[boot] = now

    def caller_waits(self, flow: FlowId, now: float) -> None:
        """At the death of a backend server, a caller waits for a response."""
        known = self._open.get(flow)
        if known is not None and known.home in self._deaths:
            self._orphans.setdefault(flow, now)

    def packet_reached(self, packet: FlowPacket, boot: int, now: float) -> None:
        """A packet has reached a backend server."""
        flow = self._open.get(packet.flow)
        if flow is None or not _is_part_of(packet, flow):
            return
        flow.last_packet = now
        if flow.home == boot:
            flow.elsewhere.clear()
            return
        flow.elsewhere = [t for t in flow.elsewhere if now - t <= STEERING_SPAN]
        flow.elsewhere.append(now)
        if len(flow.elsewhere) >= STEERED_PACKETS and self._counts(flow, now):
            text = f"{_name(packet.flow)}, open at boot {flow.home}, at boot {boot}"
            self._find(Fault.STEERED, now, text)
            flow.elsewhere.clear()

    def reset_by_balancer(self, reset: BalancerReset, now: float) -> None:
        """A caller whose flow is open gets a reset of a balancer."""
        flow = self._open.get(reset.flow)
        if flow is not None and self._counts(flow, now):
            text = (
                f"{_name(reset.flow)}, open at boot {flow.home} since "
                f"{flow.opened_at:.3f} s, by {reset.sender}, {reset.reason.value}"
            )
            is_lost = reset.reason is RefusalReason.SERVER_LOST
            self._find(Fault.LOST if is_lost else Fault.REFUSED, now, text)

    def reset_by_server(self, reset: ServerPacket, now: float) -> None:
        """A caller whose flow is open gets a reset of a backend server."""
        flow = self._open.get(reset.flow)
        if flow is None or flow.home == reset.boot or not self._counts(flow, now):
            return
        text = f"{_name(reset.flow)}, open at boot {flow.home}, by boot {reset.boot}"
        self._find(Fault.FOREIGN_RESET, now, text)

    def balancer_stopped(self, name: str, dropped: int, now: float) -> None:
        """A balancer has stopped as planned."""
        if dropped:
            self._find(Fault.DROPPED_AT_STOP, now, f"{name}, {dropped} packets")

    def end(self) -> None:
        """Record the callers that still wait."""
        for flow in self._orphans:
            self.freed.append(Freed(flow, None, "still waits"))
        self._orphans.clear()

    def _counts(self, flow: OpenFlow, now: float) -> bool:
        is_idle = now - flow.last_packet >= self._idle_timeout
        return self._in_touch(flow.home, now) and not is_idle

    def _find(self, fault: Fault, now: float, text: str) -> None:
        self.findings.append(Finding(fault, now, text))


def _is_part_of(packet: FlowPacket, flow: OpenFlow) -> bool:
    """Whether a packet is not a late one of an earlier flow of the same port."""
    return 0 <= packet.sequence - flow.first_sequence <= MOST_BYTES


def _name(flow: FlowId) -> str:
    return f"flow {flow.caller & 0xFFFF}:{flow.caller_port}"
