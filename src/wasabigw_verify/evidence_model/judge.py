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
"""Packets that reach other backend servers within a span while none reaches its own.

These are the limits of rule FLOW on the platform's pages.
"""

MOST_BYTES = 2**20
"""More than a caller sends on a flow; flows begin at sequence numbers further apart."""


class Contact(Enum):
    """Whether a backend server lives and is in touch."""

    DEAD = "it has ended"
    IMPAIRED = "it, its host or its links were impaired within the contact window"
    IN_TOUCH = "none of these"


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
    :param last_own: when a packet of it last reached its own backend server.
    :param elsewhere: times of packets at other backend servers since then.
    """

    home: int
    first_sequence: int
    opened_at: float
    last_packet: float
    last_own: float
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

    Rule FLOW excuses flows whose backend server was impaired within the contact window,
    or whose links were, and flows that are idle. Findings of the first kind are kept
    apart. The rule also excuses balancers that are not in touch; the judge does not.

    :param contact: contact of a boot.
    """

    def __init__(
        self, contact: Callable[[int, float], Contact], idle_timeout: float
    ) -> None:
        self.findings: list[Finding] = []
        self.excused: list[Finding] = []
        self.freed: list[Freed] = []
        self._contact = contact
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
            self._open[flow] = OpenFlow(boot, first_sequence, now, now, now)

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
        known = self._open.pop(flow, None)
        if known is not None:
            self._judge_steering(flow, known, now)
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
        if flow.home != boot:
            flow.elsewhere.append(now)
        self._judge_steering(packet.flow, flow, now)
        if flow.home == boot:
            flow.last_own = now
            flow.elsewhere.clear()

    def reset_by_balancer(self, reset: BalancerReset, now: float) -> None:
        """A caller whose flow is open gets a reset of a balancer."""
        flow = self._open.get(reset.flow)
        if flow is not None:
            text = (
                f"{_name(reset.flow)}, open at boot {flow.home} since "
                f"{flow.opened_at:.3f} s, by {reset.sender}, {reset.reason.value}"
            )
            is_lost = reset.reason is RefusalReason.SERVER_LOST
            fault = Fault.LOST if is_lost else Fault.REFUSED
            self._find_at(flow, fault, now, text)

    def reset_by_server(self, reset: ServerPacket, now: float) -> None:
        """A caller whose flow is open gets a reset of a backend server."""
        flow = self._open.get(reset.flow)
        if flow is None or flow.home == reset.boot:
            return
        text = f"{_name(reset.flow)}, open at boot {flow.home}, by boot {reset.boot}"
        self._find_at(flow, Fault.FOREIGN_RESET, now, text)

    def balancer_stopped(self, name: str, dropped: int, now: float) -> None:
        """A balancer has stopped as planned."""
        if dropped:
            text = f"{name}, {dropped} packets"
            self.findings.append(Finding(Fault.DROPPED_AT_STOP, now, text))

    def end(self, now: float) -> None:
        """Judge the flows that are still open, and record the callers that wait."""
        for name, open_flow in self._open.items():
            self._judge_steering(name, open_flow, now)
        for flow in self._orphans:
            self.freed.append(Freed(flow, None, "still waits"))
        self._orphans.clear()

    def _judge_steering(self, name: FlowId, flow: OpenFlow, now: float) -> None:
        """Find a span in which packets reached other backend servers only.

        Any span of that length since the last packet at its own one counts.
        """
        if now - flow.last_own < STEERING_SPAN:
            return
        times = flow.elsewhere
        later = times[STEERED_PACKETS - 1 :]
        if any(b - a <= STEERING_SPAN for a, b in zip(times, later, strict=False)):
            text = f"{_name(name)}, open at boot {flow.home}"
            self._find_at(flow, Fault.STEERED, now, text)
            times.clear()

    def _find_at(self, flow: OpenFlow, fault: Fault, now: float, text: str) -> None:
        """Record what was done to an open flow, unless its backend server has ended."""
        contact = self._contact(flow.home, now)
        if contact is Contact.DEAD or now - flow.last_packet >= self._idle_timeout:
            return
        is_excused = contact is Contact.IMPAIRED
        record = self.excused if is_excused else self.findings
        record.append(Finding(fault, now, text))


def _is_part_of(packet: FlowPacket, flow: OpenFlow) -> bool:
    """Whether a packet is not a late one of an earlier flow of the same port."""
    return 0 <= packet.sequence - flow.first_sequence <= MOST_BYTES


def _name(flow: FlowId) -> str:
    return f"flow {flow.caller & 0xFFFF}:{flow.caller_port}"
