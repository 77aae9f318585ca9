"""A draining balancer sends its flow records to the API of the new home."""

import threading
import unittest

from wasabigw.core.cluster import Endpoint
from wasabigw.core.flows.handover import HandedRecord, Handover
from wasabigw.core.ids import BackendServerId, BootId, BucketNumber, NodeId, Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.tasks.handover_sender import make_handover_sender
from wasabigw.tasks.http_balancer import BalancerApiSettings, make_balancer_server
from wasabigw.tasks.messages import HandoverRequest, HandoverTaken, SendHandoverRequest

BACKEND = BackendServerId("b1")


class Sending(unittest.TestCase):
    """Guards against altered records, and a sender that stops after a failed call."""

    def test_records_arrive_after_a_failed_handover_to_another_balancer(self) -> None:
        record = HandedRecord("06" * 13, BucketNumber(3), Seconds(1.5), True)
        handover = Handover(
            NodeId("n1"), BACKEND, BootId("x"), (record,), True, 7, (BucketNumber(3),)
        )
        packets: Mailbox[HandoverRequest] = Mailbox("packets")
        received: list[Handover] = []

        def accept_handover() -> None:
            message = packets.get(Seconds(20.0)).unwrap()
            received.append(message.handover)
            message.reply.post(HandoverTaken(BACKEND))

        thread = threading.Thread(target=accept_handover)
        thread.start()
        settings = BalancerApiSettings(Endpoint("127.0.0.1", 0), "secret")
        server = make_balancer_server(packets, settings, Handover)
        with server, make_handover_sender() as sender:
            sender.mailbox.post(SendHandoverRequest(Endpoint("127.0.0.1", 1), handover))
            sender.mailbox.post(SendHandoverRequest(server.endpoint, handover))
            thread.join(20.0)
        self.assertEqual(received, [handover])
