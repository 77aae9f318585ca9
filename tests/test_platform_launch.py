"""Start of a process on the platform, and reloading of its settings."""

import json
import os
import signal
import tempfile
import threading
import unittest
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from returns.result import Result, Success

from tests.test_platform_formats import FRONTEND
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import Seconds
from wasabigw.runtime import supervision
from wasabigw.telemetry import json_lines, log_events
from wasabigw_platform import launch
from wasabigw_platform.settings import SETTINGS_VARIABLE, PlatformSettings, WaitForStop

METRICS_PORT = 9150
RUN_TIME = 0.3
"""Seconds until the process is told to stop; it checks its settings many times."""


class Launch(unittest.TestCase):
    """Guards against reloading settings that have not changed."""

    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = Path(folder) / "settings.json"
        self.write(FRONTEND)
        self.started: list[PlatformSettings] = []
        self.changed: list[PlatformSettings] = []
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, number, signal.getsignal(number))
        self.addCleanup(log_events.use_sink, log_events.write_to_absl)
        silent = self.enterContext(open(os.devnull, "wb"))
        output = mock.patch.object(json_lines, "STANDARD_OUTPUT", silent.fileno())
        self.enterContext(output)
        period = mock.patch.object(supervision, "CHECK_PERIOD", Seconds(0.01))
        self.enterContext(period)
        variable = {SETTINGS_VARIABLE: str(self.path)}
        self.enterContext(mock.patch.dict(os.environ, variable))

    def write(self, fields: object) -> None:
        self.path.write_text(json.dumps(fields))

    def launch(self, meanwhile: Callable[[], None]) -> None:
        """Run a stub role that calls ``meanwhile`` before it waits for the stop."""

        def run(settings: PlatformSettings, wait: WaitForStop) -> Result[None, str]:
            self.started.append(settings)
            meanwhile()
            stop = threading.Timer(RUN_TIME, os.kill, (os.getpid(), signal.SIGTERM))
            stop.start()
            wait(self.changed.append)
            return Success(None)

        role = mock.patch.object(
            launch, "import_module", return_value=SimpleNamespace(run=run)
        )
        with role:
            self.assertEqual(launch.launch("relay", METRICS_PORT), 0)

    def test_unchanged_settings_are_not_reloaded(self) -> None:
        # Settings that were read again without the metrics port of the command line
        # differed from the first ones, and the first check reloaded them.
        self.launch(lambda: None)
        self.assertEqual(self.changed, [])
        metrics = Endpoint("10.1.0.10", METRICS_PORT)
        self.assertEqual([found.metrics for found in self.started], [metrics])

    def test_changed_seeds_are_reloaded_once_and_other_settings_stay(self) -> None:
        seeds = ["10.3.0.9:8166"]
        self.launch(lambda: self.write(FRONTEND | {"seeds": seeds}))
        (found,) = self.changed
        self.assertEqual(found.seeds, (Endpoint("10.3.0.9", 7720),))
        self.assertEqual(found.metrics, self.started[0].metrics)


if __name__ == "__main__":
    unittest.main()
