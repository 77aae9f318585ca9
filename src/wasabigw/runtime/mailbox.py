"""Mailboxes: the only way in which tasks reach each other."""

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
"""Messages that wait in one mailbox; at the limit a post fails."""


@dataclass(frozen=True, slots=True)
class MailboxFull:
    """A message was not accepted because the receiver is too far behind."""

    name: str


@dataclass(frozen=True, slots=True)
class ReplyTimeout:
    """No reply arrived in time."""

    waited: Seconds


class Mailbox(Generic[Message]):
    """Bounded queue of messages with one receiver.

    :param name: shown in errors.
    :param capacity: messages that may wait.
    """

    def __init__(self, name: str, capacity: int = MAILBOX_CAPACITY) -> None:
        self._name = name
        self._queue: queue.Queue[Message] = queue.Queue(capacity)

    @property
    def name(self) -> str:
        """Name that is shown in errors."""
        return self._name

    def post(self, message: Message) -> Result[None, MailboxFull]:
        """Add a message without waiting."""
        try:
            self._queue.put_nowait(message)
        except queue.Full:
            return Failure(MailboxFull(self._name))
        return Success(None)

    def get(self, timeout: Seconds | None = None) -> Result[Message, ReplyTimeout]:
        """Wait for the next message; without a timeout, for as long as it takes."""
        try:
            return Success(self._queue.get(timeout=timeout))
        except queue.Empty:
            return Failure(ReplyTimeout(timeout or Seconds(0.0)))

    def drain(self) -> Iterator[Message]:
        """Messages that wait now, without waiting for more."""
        for _ in range(self._queue.qsize()):
            try:
                yield self._queue.get_nowait()
            except queue.Empty:
                return


class SelectableMailbox(Mailbox[Message], AbstractContextManager["Mailbox[Message]"]):
    """Mailbox of a task that waits for its sockets at the same time.

    A post makes :meth:`fileno` readable; the task calls :meth:`drain`.
    """

    def __init__(self, name: str, capacity: int = MAILBOX_CAPACITY) -> None:
        super().__init__(name, capacity)
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def fileno(self) -> int:
        """Descriptor that is readable while messages wait."""
        return self._reader.fileno()

    def post(self, message: Message) -> Result[None, MailboxFull]:
        """Add a message and wake the task."""
        result = super().post(message)
        # A full buffer means that the task has been woken already; a closed
        # socket means that it has ended.
        with suppress(OSError):
            self._writer.send(b"\0")
        return result

    def drain(self) -> Iterator[Message]:
        """Messages that wait now; resets the descriptor first."""
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
