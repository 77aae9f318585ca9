"""Tasks, each of which has a thread, a mailbox, and its own state and sockets."""

import threading
from abc import ABC, abstractmethod
from types import TracebackType
from typing import Generic, Self, TypeVar

from returns.result import Success

from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox

Message = TypeVar("Message")

STOP_TIMEOUT = Seconds(5.0)
"""How long to wait for the thread of a task to end after :class:`Stop`."""


class Stop:
    """Message that ends a task."""


class Task(ABC, Generic[Message]):
    """A thread that handles the messages of its mailbox one after the other.

    Entering the context starts the thread; exiting it stops the thread and waits up
    to :data:`STOP_TIMEOUT` for its end. Subclasses that own a socket override
    :meth:`run`.
    """

    def __init__(self, name: str, mailbox: Mailbox[Message | Stop]) -> None:
        self._name = name
        self._mailbox = mailbox
        self._thread = threading.Thread(target=self._main, name=name, daemon=True)

    @property
    def name(self) -> str:
        """Name of the task and of its thread."""
        return self._name

    @property
    def mailbox(self) -> Mailbox[Message | Stop]:
        """Mailbox to which other tasks post messages for this task."""
        return self._mailbox

    @abstractmethod
    def receive(self, message: Message) -> None:
        """Handle one message, in the thread of the task."""

    def open(self) -> None:
        """Acquire the resources of the task, in its own thread."""

    def close(self) -> None:
        """Release the resources of the task, in its own thread."""

    def run(self) -> None:
        """Handle messages until :class:`Stop` arrives."""
        while True:
            outcome = self._mailbox.get()
            if not isinstance(outcome, Success):
                continue
            message = outcome.unwrap()
            if isinstance(message, Stop):
                return
            self.receive(message)

    def __enter__(self) -> Self:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._mailbox.post(Stop())
        self._thread.join(STOP_TIMEOUT)

    def request_stop(self) -> None:
        """Request the thread to stop, without waiting for its end."""
        self._mailbox.post(Stop())

    def _main(self) -> None:
        self.open()
        try:
            self.run()
        finally:
            self.close()
