"""Tests of the main loop of a process: changed settings and signals."""

import os
import signal
import threading
import unittest
from unittest import mock

from returns.result import Failure, Result, Success

from wasabigw.core.ids import Seconds
from wasabigw.runtime import supervision
from wasabigw.runtime.supervision import ProcessRequest, ProcessRequests, supervise
from wasabigw.telemetry.events_daemon import DaemonEvent

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TIMEOUT = Seconds(5.0)


class ChangedSettings(unittest.TestCase):
    """Guards against processes that keep using outdated settings, such as old seeds."""

    def setUp(self) -> None:
        self.requests = ProcessRequests()
        self.applied: list[int] = []
        self.log = self.enterContext(mock.patch.object(supervision, "log"))

    def supervise(self, *reads: Result[int, str]) -> None:
        """Supervise until all ``reads`` have been returned, without pauses."""
        self.enterContext(mock.patch.object(supervision, "CHECK_PERIOD", Seconds(0)))
        remaining = list(reads)

        def read() -> Result[int, str]:
            found = remaining.pop(0)
            if not remaining:
                self.requests.post(ProcessRequest.STOP)
            return found

        supervise(self.requests, read, 1, self.applied.append)

    def events(self) -> list[DaemonEvent]:
        return [call.args[0] for call in self.log.call_args_list]

    def test_a_change_without_a_signal_is_applied_once(self) -> None:
        self.supervise(Success(1), Success(2), Success(2), Success(3))
        self.assertEqual(self.applied, [2, 3])

    def test_invalid_settings_are_logged_once_and_not_applied(self) -> None:
        self.supervise(Failure("no JSON"), Failure("no JSON"), Success(2))
        self.assertEqual(self.applied, [2])
        expected = [DaemonEvent.SETTINGS_REFUSED, DaemonEvent.SETTINGS_RELOADED]
        self.assertEqual(self.events(), expected)

    def test_a_stop_is_handled_without_another_read(self) -> None:
        self.requests.post(ProcessRequest.STOP)
        supervise(self.requests, mock.Mock(side_effect=AssertionError), 1, print)


class Signals(unittest.TestCase):
    """Guards against a signal that kills the process instead of being queued."""

    def setUp(self) -> None:
        for number in SIGNALS:
            handler = signal.getsignal(number)
            self.addCleanup(signal.signal, number, handler)
        self.requests = ProcessRequests()
        self.requests.install()

    def test_each_signal_is_a_request(self) -> None:
        stop, reload = ProcessRequest.STOP, ProcessRequest.RELOAD
        for number, expected in zip(SIGNALS, (stop, stop, reload), strict=True):
            os.kill(os.getpid(), number)
            self.assertIs(self.requests.next(TIMEOUT), expected)

    def test_a_signal_wakes_up_a_waiting_main_thread(self) -> None:
        timer = threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGHUP))
        timer.start()
        self.addCleanup(timer.join)
        self.assertIs(self.requests.next(TIMEOUT), ProcessRequest.RELOAD)


if __name__ == "__main__":
    unittest.main()
