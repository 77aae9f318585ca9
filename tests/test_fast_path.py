"""The fast path gives the same packets as the events, or leaves the packet to them."""

import struct
import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from tests.flow_simulation import (
    DOMAINS,
    SEATS,
    Simulation,
    add_candidate,
    make_simulation,
    set_domain,
)
from wasabigw.codec import geneve, ipv4
from wasabigw.core.cluster import Endpoint
from wasabigw.core.flows import cache
from wasabigw.core.flows.decisions import ReturnToCaller, SendToBackend
from wasabigw.core.flows.keys import address_number, flow_key
from wasabigw.core.flows.routing import handle
from wasabigw.core.flows.state import BalancerState
from wasabigw.core.ids import Seconds
from wasabigw.core.states import CandidateReason, FailureDomainState, Protocol
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.fast_path import FastPath
from wasabigw.tasks.messages import PacketDropReason
from wasabigw.tasks.packet_events import ServiceFragment, classify, prepare_rewrites
from wasabigw.tasks.packet_output import Packet, PacketOutput, execute

CALLERS = tuple(0x0A090000 + number for number in range(200))
SERVICE = address_number("10.0.0.1")
FABRIC = Endpoint("127.0.0.1", 1)


class FakeSocket:
    """Records the frames that are sent."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def sendto(self, frame: bytes, address: Any) -> None:
        self.sent.append(bytes(frame))


def tcp_or_udp(
    protocol: int, source: tuple[int, int], destination: tuple[int, int], flags: int
) -> bytes:
    """Frame without Geneve options.

    Its checksums are not valid; the test checks that both paths change them equally.
    """
    ports = struct.pack("!HH", source[1], destination[1])
    if protocol == ipv4.PROTOCOL_TCP:
        transport = ports + struct.pack("!IIHHHH", 1, 2, 5 << 12 | flags, 9, 77, 0)
    else:
        transport = ports + struct.pack("!HH", 11, flags) + b"abc"
    total = 20 + len(transport)
    header = struct.pack(
        "!BBHHHBBHII",
        *(0x45, 0, total, 1, 0x4000, 9, protocol, 99, source[0], destination[0]),
    )
    return geneve.PLAIN_HEADER + header + transport


def balancer_state(sim: Simulation) -> BalancerState:
    """State of a balancer with several candidates and cached bindings."""
    state = sim.balancers[next(iter(sim.balancers))].state
    state.routes.prepare = prepare_rewrites
    for target in state.routes.targets.values():
        target.to_backend, target.to_caller = prepare_rewrites(target)
    protocol = sim.protocol.value
    for number, caller in enumerate(CALLERS[:100]):
        flow = flow_key(protocol, caller, 5000, SERVICE, 80)
        targets = [t for t in state.routes.targets.values() if t.service == SEATS]
        expires = Seconds(sim.now + number % 3 - 1)
        cache.store_binding(state.cache, flow, targets[number % len(targets)], expires)
    return state


def frames(state: BalancerState, protocol: int) -> st.SearchStrategy[bytes]:
    """Frames of callers and backend servers, some of them with damaged bytes."""
    backends = [(t.address, t.port) for t in state.routes.targets.values()]
    callers = [(caller, 5000) for caller in CALLERS]
    flags = st.sampled_from((0, ipv4.ACK, ipv4.ACK, ipv4.SYN, ipv4.FIN, ipv4.RST))
    plain = st.one_of(
        st.builds(
            tcp_or_udp,
            st.just(protocol),
            st.sampled_from(callers),
            st.just((SERVICE, 80)),
            flags,
        ),
        st.builds(
            tcp_or_udp,
            st.just(protocol),
            st.sampled_from(backends),
            st.sampled_from(callers),
            flags,
        ),
    )
    damage = st.lists(st.tuples(st.integers(0, 43), st.integers(0, 255)), max_size=2)
    return st.one_of(plain, st.builds(damaged, plain, damage))


def damaged(frame: bytes, changes: list[tuple[int, int]]) -> bytes:
    """Frame with some bytes replaced."""
    buffer = bytearray(frame)
    for offset, value in changes:
        buffer[offset % len(buffer)] = value
    return bytes(buffer)


def by_events(state: BalancerState, frame: bytes, now: Seconds) -> list[bytes] | None:
    """Frames that the events send to the fabric; ``None`` if there is no delivery."""
    buffer = bytearray(frame)
    header = geneve.parse(buffer, len(frame)).unwrap()
    segment = ipv4.parse(buffer, header.inner, len(frame)).unwrap()
    event = classify(segment, state.routes, False, now)
    if isinstance(event, (PacketDropReason, ServiceFragment)):
        return None
    decisions = handle(event, state)
    if not isinstance(decisions[0], (SendToBackend, ReturnToCaller)):
        return None
    sock: Any = FakeSocket()
    output = PacketOutput(sock, FABRIC, Mailbox("r"), Mailbox("h"))
    execute(decisions[0], output, Packet(buffer, header, segment, None))
    sent: list[bytes] = sock.sent
    return sent


class FastPathEquivalence(unittest.TestCase):
    """Guards against a fast path that rewrites packets differently from the events."""

    def check(self, sim: Simulation) -> None:
        state = balancer_state(sim)
        fast = FastPath(state)
        fast.now = sim.time()
        rewritten = 0

        @given(frames(state, sim.protocol.value))
        def run(frame: bytes) -> None:
            nonlocal rewritten
            fast.seen = 0
            buffer = bytearray(2048)
            buffer[: len(frame)] = frame
            if not fast.rewrite(buffer, len(frame)):
                self.assertEqual(buffer[: len(frame)], frame)
                return
            rewritten += 1
            expected = by_events(state, frame, sim.time())
            self.assertEqual(expected, [bytes(buffer[: len(frame)])])

        run()
        self.assertGreater(rewritten, 10)

    def test_single_and_several_candidates(self) -> None:
        sim = make_simulation(1)
        sim.step(1.0)
        self.check(sim)
        sim.commit(add_candidate(SEATS, "b1", CandidateReason.FORMER))
        sim.step(4.0)
        self.check(sim)

    def test_udp_uses_cached_bindings_only(self) -> None:
        self.check(make_simulation(2, protocol=Protocol.UDP))

    def test_failure_domain_out_of_service(self) -> None:
        sim = make_simulation(3)
        sim.commit(set_domain(DOMAINS[1], FailureDomainState.OUT_OF_SERVICE))
        sim.step(4.0)
        self.check(sim)

    def test_each_32nd_packet_is_left_as_a_sample(self) -> None:
        state = balancer_state(make_simulation(4))
        fast = FastPath(state)
        frame = tcp_or_udp(6, (0x7F000001, 1), (SERVICE, 80), ipv4.ACK)
        samples = 0
        for _ in range(320):
            buffer = bytearray(frame.ljust(64, b"\0"))
            fast.rewrite(buffer, len(frame))
            samples += fast.sampled
        self.assertEqual(samples, 10)
