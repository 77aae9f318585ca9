"""File in which a relay stores its view, so that it has one after a restart."""

import os
import time
from dataclasses import dataclass

from returns.result import Failure, Result

from wasabigw.codec.views import decode_update
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.core.ids import Seconds
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.tasks.storage_files import replace_file
from wasabigw.tasks.view_names import VIEW_FILE_NAME
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

MAILBOX_CAPACITY = 64


@dataclass(frozen=True, slots=True)
class StoreView:
    """Store a view, encoded as an update that holds the full view."""

    data: bytes


class ViewFile(Task[StoreView]):
    """Task that owns the file, so that a slow disk does not delay other tasks.

    Of several queued views, only the newest is written.
    """

    def __init__(self, folder: str) -> None:
        super().__init__("view-file", Mailbox("view-file", MAILBOX_CAPACITY))
        self._folder = folder
        self._failing = False

    def run(self) -> None:
        """Write views until :class:`Stop` arrives."""
        while True:
            queued = [self._mailbox.get().unwrap(), *self._mailbox.drain()]
            views = [message for message in queued if isinstance(message, StoreView)]
            if views:
                self.receive(views[-1])
            if len(views) < len(queued):
                return

    def receive(self, message: StoreView) -> None:
        """Write a view; a failure is logged once until a write succeeds again."""
        try:
            os.makedirs(self._folder, exist_ok=True)
            replace_file(os.path.join(self._folder, VIEW_FILE_NAME), message.data)
        except OSError as error:
            if not self._failing:
                reason = error.strerror or str(error)
                log(BalancerEvent.VIEW_NOT_STORED, reason=reason)
            self._failing = True
            return
        self._failing = False


def read_view_file(folder: str) -> Result[ViewUpdate, str]:
    """View that an earlier process has stored, or why it can't be read."""
    try:
        with open(os.path.join(folder, VIEW_FILE_NAME), "rb") as file:
            return decode_update(file.read())
    except OSError as error:
        return Failure(error.strerror or str(error))


def view_file_age(folder: str) -> Seconds | None:
    """Time since the view was stored, by the wall clock; ``None`` if not known."""
    try:
        stored_at = os.stat(os.path.join(folder, VIEW_FILE_NAME)).st_mtime
    except OSError:
        return None
    return Seconds(time.time() - stored_at)


def make_view_file(folder: str) -> ViewFile:
    """Create the task that stores views in a folder, which is created if needed."""
    return ViewFile(folder)
