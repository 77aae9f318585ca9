"""The soak knows each change that it sent, also one that was never answered."""

import socket
import unittest

from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw_soak.change_sender import ChangeSender, SendChange
from wasabigw_soak.control_calls import ControlCalls
from wasabigw_soak.documents import DocumentKind, DocumentSeries
from wasabigw_soak.traffic import Targets

WAIT = Seconds(5.0)


class UnansweredChange(unittest.TestCase):
    """Guards against breaks that are counted for a change the judge was not told of."""

    def test_a_change_under_way_is_among_the_changes(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as silent:
            address = f"127.0.0.1:{silent.getsockname()[1]}"
            targets: Mailbox[Targets] = Mailbox("targets")
            calls = [ControlCalls([address], "seed")]
            sender = ChangeSender(calls, DocumentSeries(1, 0), targets)
            with sender:
                sender.mailbox.post(SendChange(DocumentKind.VALID))
                self.assertIsInstance(targets.get(WAIT).unwrap(), Targets)
                with silent.accept()[0]:
                    (change,) = sender.changes
        self.assertIsNone(change.status)


if __name__ == "__main__":
    unittest.main()
