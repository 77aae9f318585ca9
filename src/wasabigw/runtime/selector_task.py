"""Tasks that wait for sockets and for their mailbox with one selector."""

import selectors
from contextlib import ExitStack
from types import TracebackType

from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import SelectableMailbox
from wasabigw.runtime.task import Message, Stop, Task


class SelectorTask(Task[Message]):
    """A task whose sockets are registered with a callback as their data.

    A callback is called with the ready events. ``_resources`` holds the contexts of
    the sockets, which are closed after the thread has ended.
    """

    def __init__(self, name: str, mailbox: SelectableMailbox[Message | Stop]) -> None:
        super().__init__(name, mailbox)
        self._selectable = mailbox
        self._selector = selectors.DefaultSelector()
        self._resources = ExitStack()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        super().__exit__(exc_type, exc_value, traceback)
        self._resources.close()
        self._selector.close()
        self._selectable.__exit__(exc_type, exc_value, traceback)

    def run(self) -> None:
        """Wait for sockets and messages until :class:`Stop` arrives.

        An error that ends the task closes its sockets: routers and callers would wait
        for answers at sockets that nobody reads, and take the process to be ready.
        """
        try:
            self._run_until_stop()
        except BaseException:
            self._resources.close()
            raise

    def _run_until_stop(self) -> None:
        self._selector.register(self._selectable, selectors.EVENT_READ, None)
        while True:
            for key, events in self._selector.select(self._time_to_next()):
                if key.data is not None:
                    key.data(events)
                elif self._receive_messages():
                    return
            self._handle_due()

    def _time_to_next(self) -> Seconds | None:
        """Longest time to wait; ``None`` if the task has no deadline of its own.

        Deadlines of a few milliseconds that change with each packet are kept here, as
        a message of the timer service costs more than a packet.
        """
        return None

    def _handle_due(self) -> None:
        """Handle what is due; called after each wait."""

    def _receive_messages(self) -> bool:
        """Handle the queued messages; ``True`` if :class:`Stop` is among them."""
        for message in self._selectable.drain():
            if isinstance(message, Stop):
                return True
            self.receive(message)
        return False
