"""Mailboxes, which are the only means of communication between tasks."""

import queue
import socket
from collections.abc import Iterator
from contextlib import AbstractContextManager, suppress
from dataclasses import dataclass
from types import TracebackType
from typing import Generic, TypeVar

from returns.result import Failure, Result, Success

from wasabigw.core.ids import Seconds

Message = TypeVar("Message")

MAILBOX_CAPACITY = 65_536
"""Default capacity of a mailbox in messages; beyond it a post fails."""


@dataclass(frozen=True, slots=True)
class MailboxFull:
    """A message was not accepted because the mailbox is full."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplyTimeout:
    """No message arrived within the timeout."""

    waited: Seconds


class Mailbox(Generic[Message]):
    """Bounded queue of messages for one task.

    :param name: name for log events and errors.
    :param capacity: maximum number of queued messages.
    """

    def __init__(self, name: str, capacity: int = MAILBOX_CAPACITY) -> None:
        self._name = name
        self._queue: queue.Queue[Message] = queue.Queue(capacity)

    @property
    def name(self) -> str:
        """Name for log events and errors."""
        return self._name

    def post(self, message: Message) -> Result[None, MailboxFull]:
        """Queue a message without blocking."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            return Failure(MailboxFull(self._name))
        return Success(None)

    def get(self, timeout: Seconds | None = None) -> Result[Message, ReplyTimeout]:
        """Wait for the next message; without ``timeout``, wait indefinitely."""
        try:
            return Success(self._queue.get(timeout=timeout))
        except queue.Empty:
            return Failure(ReplyTimeout(timeout or Seconds(0.0)))

    def drain(self) -> Iterator[Message]:
        """Remove and yield the queued messages without waiting for more."""
        for _ in range(self._queue.qsize()):
            try:
                yield self._queue.get_nowait()
            except queue.Empty:
                return


class SelectableMailbox(Mailbox[Message], AbstractContextManager["Mailbox[Message]"]):
    """Mailbox that a task can select on together with its sockets.

    A post makes :meth:`fileno` readable, after which the task calls :meth:`drain`.
    """

    def __init__(self, name: str, capacity: int = MAILBOX_CAPACITY) -> None:
        super().__init__(name, capacity)
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """File descriptor that is readable while messages are queued."""
        return self._reader.fileno()

    def post(self, message: Message) -> Result[None, MailboxFull]:
        """Queue a message and wake up the task."""
        result = super().post(message)
        # If the socket buffer is full, the task has been woken up already; if the
        # socket is closed, the task has ended.
        with suppress(OSError):
            self._writer.send(b"\0")
        return result

    def drain(self) -> Iterator[Message]:
        """Clear the readiness of the descriptor, then yield the queued messages."""
        with suppress(BlockingIOError):
            self._reader.recv(4096)
        return super().drain()

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._reader.close()
        self._writer.close()
