"""The limits in the settings apply where the settings page says."""

import http.client
import unittest
from typing import Any

from returns.result import Failure

from tests.test_packet_task import node
from tests.test_settings import balancer, control
from wasabigw.codec.messages import encode
from wasabigw.core.cluster import Endpoint
from wasabigw.core.commands import CandidatesReleased
from wasabigw.core.ids import (
    BackendServerId,
    BucketNumber,
    Incarnation,
    NodeId,
    RequestId,
    Revision,
    ServiceId,
)
from wasabigw.core.log_messages import ReportRequest
from wasabigw.roles import BalancerProcess, ControlProcess, make_process
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.settings import settings_from
from wasabigw.tasks.http_balancer import BalancerApiSettings, make_balancer_server
from wasabigw.tasks.limits import DEFAULT_LIMITS, ProcessLimits
from wasabigw.tasks.packet_task import (
    PacketTaskOutputs,
    PacketTaskSettings,
    make_packet_task,
)

LIMITS = {
    "flow_cache_entries": 11,
    "flow_records": 12,
    "mailbox_messages": 16,
    "request_body_bytes": 600_000,
    "http_threads": 2,
    "http_queue": 3,
    "trace_file_bytes": 4_096,
}
LOOPBACK = Endpoint("127.0.0.1", 0)


class Limits(unittest.TestCase):
    """Guards against limits in the settings that have no effect."""

    def test_settings_reach_the_processes_of_both_roles(self) -> None:
        for value in (balancer(), control()):
            settings = settings_from({**value, "limits": LIMITS}).unwrap()
            process: Any = make_process(settings, "token")
            if isinstance(process, BalancerProcess):
                found = process.settings.limits
            else:
                assert isinstance(process, ControlProcess)
                found = process.limits
            self.assertEqual(found, ProcessLimits(**LIMITS))

    def test_defaults_of_the_settings_are_those_of_the_tasks(self) -> None:
        process: Any = make_process(settings_from(control()).unwrap(), "token")
        self.assertEqual(process.limits, DEFAULT_LIMITS)

    def test_tables_and_mailbox_of_the_packet_task_are_limited(self) -> None:
        mailbox: Mailbox[Any] = Mailbox("unused")
        settings = PacketTaskSettings(
            node("n0"), LOOPBACK, limits=ProcessLimits(**LIMITS)
        )
        task = make_packet_task(settings, PacketTaskOutputs(mailbox, mailbox, mailbox))
        self.addCleanup(task._socket.close)
        self.assertEqual(task._state.cache.limit, LIMITS["flow_cache_entries"])
        self.assertEqual(task._state.records.limit, LIMITS["flow_records"])
        posts: list[Any] = [task.mailbox.post(None) for _ in range(17)]  # type: ignore[arg-type]
        self.assertIsInstance(posts.pop(), Failure)
        self.assertFalse([post for post in posts if isinstance(post, Failure)])

    def test_no_limit_is_too_small_for_the_largest_batch_of_reports(self) -> None:
        # A batch that is refused for its size would be retried endlessly.
        name, buckets = "n" * 63, tuple(BucketNumber(n) for n in range(256))
        report = CandidatesReleased(
            ServiceId(name), BackendServerId(name), buckets, Revision(10**9)
        )
        request = ReportRequest(
            RequestId("r" * 32), NodeId(name), Incarnation("i" * 32), (report,) * 256
        )
        smallest = settings_from(
            {**control(), "limits": {"request_body_bytes": len(encode(request))}}
        )
        self.assertIn("524288", str(smallest.failure()))
        self.assertLess(len(encode(request)), 524_288)

    def test_larger_bodies_are_refused_and_the_server_keeps_running(self) -> None:
        packets: Mailbox[Any] = Mailbox("packets")
        settings = BalancerApiSettings(LOOPBACK, "secret", ProcessLimits(**LIMITS))
        with make_balancer_server(packets, settings, dict) as server:
            for size, status in ((600_001, 413), (600_000, 400)):
                address = (server.endpoint.address, server.endpoint.port)
                connection = http.client.HTTPConnection(*address, timeout=20)
                connection.request("POST", "/v1/announcements", b" " * size)
                self.assertEqual(connection.getresponse().status, status)
                connection.close()
