"""The judge of open flows finds a planted break, and none where it is allowed."""

import unittest
from collections.abc import Sequence

from wasabigw.core.ids import Seconds
from wasabigw_soak.judge import judge
from wasabigw_soak.observations import (
    Arrival,
    BootNumber,
    Fault,
    FaultCause,
    FaultScope,
    FlowHistory,
    HeldFlow,
    History,
    MachineName,
    Reset,
    ResetSender,
    Sent,
    ServerBoot,
)
from wasabigw_soak.verdict import BreakShape, Verdict

BALANCER, OTHER_BALANCER = MachineName("frontend-1"), MachineName("frontend-2")
MACHINE, OTHER_MACHINE = MachineName("server-1"), MachineName("server-2")
OWN, OTHER = BootNumber(1), BootNumber(2)
OPENED_AT = Seconds(10.0)
END = Seconds(50.0)


def fault(
    machine: MachineName,
    since: float,
    until: float,
    cause: FaultCause = FaultCause.RESTART,
) -> Fault:
    """Fault of a balancer or of the machine of a backend server."""
    is_server = machine in (MACHINE, OTHER_MACHINE)
    scope = FaultScope.SERVER if is_server else FaultScope.BALANCER
    return Fault(scope, machine, Seconds(since), Seconds(until), cause)


def reset(at: float, sender: ResetSender = ResetSender.BALANCER) -> Reset:
    """Reset that a caller received."""
    return Reset(Seconds(at), sender, BALANCER)


def arrivals(boot: BootNumber, *times: float) -> list[Arrival]:
    """Packets that reached a boot of a backend server."""
    return [Arrival(Seconds(at), boot, BALANCER) for at in times]


class FlowJudge(unittest.TestCase):
    """Guards against a soak that passes although open flows were reset or moved."""

    def judge(
        self,
        resets: Sequence[Reset] = (),
        arrived: Sequence[Arrival] = (),
        faults: Sequence[Fault] = (),
        boot_ends_at: float = float("inf"),
        pause_from: float = 20.0,
    ) -> Verdict:
        """Judge a flow that is used every second, but for a pause until the end."""
        sent = [
            Sent(Seconds(at), BALANCER)
            for at in range(int(OPENED_AT), int(END))
            if at <= pause_from
        ]
        flow = HeldFlow(
            *("caller:1", OWN, OPENED_AT, END),
            *(tuple(sent), tuple(arrived), tuple(resets)),
        )
        start, endless = Seconds(0.0), Seconds(float("inf"))
        boots = (
            ServerBoot(OWN, "i-1", MACHINE, start, Seconds(boot_ends_at)),
            ServerBoot(OTHER, "i-2", OTHER_MACHINE, start, endless),
        )
        held = FlowHistory((flow,), boots)
        return judge(History((), (), (), tuple(faults), END, held))

    def assert_breaks(self, shape: BreakShape | None, verdict: Verdict) -> None:
        expected = [] if shape is None else [shape]
        self.assertEqual([item.shape for item in verdict.breaks], expected)
        for checked in (BreakShape.FLOW_RESET, BreakShape.FLOW_STEERED):
            self.assertEqual(verdict.checks[checked], 1)

    def test_a_reset_of_a_balancer_while_the_backend_server_lives(self) -> None:
        self.assert_breaks(BreakShape.FLOW_RESET, self.judge([reset(20.0)]))

    def test_a_reset_of_another_backend_server(self) -> None:
        verdict = self.judge([reset(20.0, ResetSender.OTHER_SERVER)])
        self.assert_breaks(BreakShape.FLOW_RESET, verdict)

    def test_a_reset_of_the_own_backend_server_is_allowed(self) -> None:
        verdict = self.judge([reset(20.0, ResetSender.OWN_SERVER)])
        self.assert_breaks(None, verdict)

    def test_a_reset_after_the_crash_of_the_backend_server_is_allowed(self) -> None:
        self.assert_breaks(None, self.judge([reset(20.0)], boot_ends_at=19.9))

    def test_a_reset_before_the_flow_is_open_is_allowed(self) -> None:
        self.assert_breaks(None, self.judge([reset(9.9)]))

    def test_a_fault_excuses_a_reset_for_the_contact_window(self) -> None:
        for machine in (BALANCER, MACHINE):
            with self.subTest(machine=machine):
                recent = fault(machine, 15.0, 17.0, FaultCause.LOSS)
                verdict = self.judge([reset(20.0)], faults=[recent])
                self.assert_breaks(None, verdict)
                self.assertEqual(verdict.excused.total(), 1)
                old = fault(machine, 14.0, 15.9, FaultCause.LOSS)
                verdict = self.judge([reset(20.0)], faults=[old])
                self.assert_breaks(BreakShape.FLOW_RESET, verdict)

    def test_a_fault_of_other_machines_does_not_excuse_a_reset(self) -> None:
        faults = [fault(OTHER_BALANCER, 18.0, 19.0), fault(OTHER_MACHINE, 18.0, 19.0)]
        verdict = self.judge([reset(20.0)], faults=faults)
        self.assert_breaks(BreakShape.FLOW_RESET, verdict)

    def test_a_planned_stop_does_not_excuse_a_reset(self) -> None:
        stop = fault(BALANCER, 18.0, 25.0, FaultCause.STOP)
        verdict = self.judge([reset(20.0)], faults=[stop])
        self.assert_breaks(BreakShape.FLOW_RESET, verdict)

    def test_a_reset_of_a_flow_that_was_idle_for_too_long_is_allowed(self) -> None:
        self.assert_breaks(None, self.judge([reset(35.5)]))
        self.assert_breaks(BreakShape.FLOW_RESET, self.judge([reset(34.5)]))

    def test_packets_reach_another_backend_server_for_the_flow_time(self) -> None:
        moved = [
            *arrivals(OWN, 10.0, 15.0),
            *arrivals(OTHER, 15.1, 16.0, 17.0),
            *arrivals(OWN, 17.2),
        ]
        self.assert_breaks(BreakShape.FLOW_STEERED, self.judge(arrived=moved))

    def test_packets_that_reach_their_own_backend_server_in_between(self) -> None:
        mixed = [
            *arrivals(OTHER, 15.1, 16.0),
            *arrivals(OWN, 16.5),
            *arrivals(OTHER, 17.0, 17.5),
            *arrivals(OWN, 18.0),
        ]
        self.assert_breaks(None, self.judge(arrived=mixed))

    def test_two_packets_elsewhere_are_allowed(self) -> None:
        # Both copies of an opening may reach other backend servers.
        copies = arrivals(OTHER, 10.1, 10.5)
        self.assert_breaks(None, self.judge(arrived=copies))

    def test_packets_elsewhere_before_the_flow_is_open_are_allowed(self) -> None:
        early = arrivals(OTHER, 9.0, 9.2, 9.6)
        self.assert_breaks(None, self.judge(arrived=early))

    def test_a_planned_stop_does_not_excuse_packets_elsewhere(self) -> None:
        moved = arrivals(OTHER, 15.1, 15.2, 15.3)
        stop = fault(BALANCER, 14.0, 20.0, FaultCause.STOP)
        verdict = self.judge(arrived=moved, faults=[stop])
        self.assert_breaks(BreakShape.FLOW_STEERED, verdict)

    def test_a_fault_excuses_packets_elsewhere(self) -> None:
        moved = arrivals(OTHER, 15.1, 15.2, 15.3)
        paused = fault(BALANCER, 14.0, 16.0, FaultCause.PAUSE)
        self.assert_breaks(None, self.judge(arrived=moved, faults=[paused]))


if __name__ == "__main__":
    unittest.main()
