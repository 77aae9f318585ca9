"""File in which a relay keeps its view, so that it has one when it starts."""

import os
from dataclasses import dataclass

from returns.result import Failure, Result

from wasabigw.codec.views import decode_update
from wasabigw.core.delivery_view import ViewUpdate
from wasabigw.runtime.mailbox import Mailbox
from wasabigw.runtime.task import Task
from wasabigw.tasks.storage_files import replace_file
from wasabigw.tasks.view_names import VIEW_FILE_NAME
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log

CAPACITY = 64


@dataclass(frozen=True, slots=True)
class StoreView:
    """Keep a view, encoded as an update that has all of it."""

    data: bytes


class ViewFile(Task[StoreView]):
    """Task that owns the file; a slow disk delays nobody else.

    Of several views that wait, only the newest is written.
    """

    def __init__(self, folder: str) -> None:
        super().__init__("view-file", Mailbox("view-file", CAPACITY))
        self._folder = folder
        self._failing = False

    def run(self) -> None:
        """Write views until :class:`Stop` arrives."""
        while True:
            waiting = [self._mailbox.get().unwrap(), *self._mailbox.drain()]
            views = [message for message in waiting if isinstance(message, StoreView)]
            if views:
                self.receive(views[-1])
            if len(views) < len(waiting):
                return

    def receive(self, message: StoreView) -> None:
        """Write a view; after a failure the next one is written anew."""
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
    """View that an earlier process has kept, or why there is none."""
    try:
        with open(os.path.join(folder, VIEW_FILE_NAME), "rb") as file:
            return decode_update(file.read())
    except OSError as error:
        return Failure(error.strerror or str(error))


def make_view_file(folder: str) -> ViewFile:
    """Task that keeps views in a folder, which is created if needed."""
    return ViewFile(folder)
