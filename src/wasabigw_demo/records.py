"""Record files of the stand-ins, as JSON lines."""

import json
from collections.abc import Iterator
from contextlib import AbstractContextManager
from enum import Enum
from pathlib import Path
from types import TracebackType
from typing import Any, Self


class RecordKind(Enum):
    """Kind of a record."""

    REQUEST = "request"
    FLOW = "flow"
    SPAN = "span"
    ANNOUNCEMENT = "announcement"
    SUMMARY = "summary"
    OPENED = "opened"
    PACKETS = "packets"
    STRAY = "stray"


class RecordWriter(AbstractContextManager["RecordWriter"]):
    """Appends JSON lines to a file, and flushes each of them."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._file = path.open("a", encoding="utf-8", buffering=1)

    def write(self, kind: RecordKind, **fields: Any) -> None:
        """Append one record."""
        self._file.write(json.dumps({"kind": kind.value, **fields}) + "\n")

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc_value: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._file.close()


def read_records(path: Path, kind: RecordKind) -> Iterator[dict[str, Any]]:
    """Records of one kind; an incomplete last line is skipped.

    A killed process can leave one.
    """
    if not path.exists():
        return
    with path.open(encoding="utf-8") as lines:
        for line in lines:
            if not line.endswith("\n"):
                return
            record = json.loads(line)
            if record["kind"] == kind.value:
                yield record
