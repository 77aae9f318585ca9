"""Structured logs: one JSON object per line, written by a separate task."""

import json
import os
import threading
import unittest
from unittest import mock

from wasabigw.runtime.task import Stop
from wasabigw.telemetry import json_lines
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.json_lines import make_json_lines


class Lines(unittest.TestCase):
    """Guards against lines that don't identify their process, and against blocking."""

    def setUp(self) -> None:
        reader, writer = os.pipe()
        self.reader = os.fdopen(reader, "rb")
        self.addCleanup(self.reader.close)
        self.enterContext(mock.patch.object(json_lines, "STANDARD_OUTPUT", writer))
        self.addCleanup(os.close, writer)

    def test_line_has_the_process_name_and_the_voter_id(self) -> None:
        with make_json_lines("core-1") as lines:
            fields = {"node": "10.0.0.1:7000", "revision": 3, "term": 2}
            lines.write(ControlEvent.VOTER_OPENED, fields)
            found = json.loads(self.reader.readline())
        self.assertEqual(found["node"], "core-1")
        self.assertEqual((found["voter"], found["revision"]), ("10.0.0.1:7000", 3))
        self.assertEqual(found["event"], "WGW-1000")

    def test_lines_dropped_by_a_full_queue_are_counted_in_the_log(self) -> None:
        # Writing to the output may block for seconds; tasks that log must not.
        lines = make_json_lines("core-1")
        for number in range(json_lines.QUEUE_CAPACITY + 5):
            lines.write(ControlEvent.SNAPSHOT_TAKEN, {"revision": number})
        lines.mailbox.drain()
        drained = list(lines.mailbox.drain())
        self.assertEqual(len(drained), json_lines.QUEUE_CAPACITY)
        lines.write(ControlEvent.SNAPSHOT_TAKEN, {"revision": 9})
        lines.mailbox.post(Stop())
        thread = threading.Thread(target=lines.run)
        thread.start()
        written = [json.loads(self.reader.readline()) for _ in range(2)]
        thread.join()
        self.assertEqual(written[0]["revision"], 9)
        self.assertEqual(written[1], {"node": "core-1", "left_out": 5})


if __name__ == "__main__":
    unittest.main()
