"""Tests of the main loop of a process: changed settings and signals."""

import os
import signal
import socket
import threading
import unittest
from unittest import mock

from returns.result import Failure, Result, Success

from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.runtime import supervision
from wasabigw.runtime.mailbox import SelectableMailbox
from wasabigw.runtime.selector_task import SelectorTask
from wasabigw.runtime.supervision import ProcessRequest, ProcessRequests, supervise
from wasabigw.tasks.light_http import LightServer
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


class _FailingTask(SelectorTask[str]):
    """A task with an HTTP server that fails at its first message."""

    def __init__(self) -> None:
        super().__init__("failing", SelectableMailbox("failing"))
        self.server = LightServer(Endpoint("127.0.0.1", 0), self._selector, print)
        self._resources.enter_context(self.server)

    def receive(self, message: str) -> None:
        raise ValueError(message)


class FailedTasks(unittest.TestCase):
    """Guards against a process that seems ready although its task has ended."""

    def test_sockets_of_a_task_that_failed_are_closed(self) -> None:
        failed = threading.Event()
        hook = self.enterContext(mock.patch.object(threading, "excepthook"))
        hook.side_effect = lambda _: failed.set()
        with _FailingTask() as task:
            address = task.server.endpoint.address, task.server.endpoint.port
            task.mailbox.post("unexpected")
            self.assertTrue(failed.wait(10.0))
            with self.assertRaises(ConnectionRefusedError):
                socket.create_connection(address, timeout=10.0)


if __name__ == "__main__":
    unittest.main()
