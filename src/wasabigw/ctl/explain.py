"""Command ``explain``: the history of a flow or other subject from log files."""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from wasabigw.ctl.console import Output, exit_with_error, show_result
from wasabigw.ctl.errors import wrong_input
from wasabigw.ctl.options import OutputOption
from wasabigw.telemetry.catalogue import event_definitions

REQUIRED_KEYS = frozenset({"time", "severity", "event", "name", "node"})
"""Keys of each log line of an event."""
STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A log line of an event.

    :param fields: values of the event template, by field name.
    """

    time: float
    node: str
    event: str
    name: str
    fields: dict[str, Any]


def explain(
    subject: Annotated[
        str,
        typer.Argument(
            help="Flow (ADDRESS:PORT>ADDRESS:PORT) or its caller (ADDRESS:PORT); id or "
            "tag=N of a backend server; version=N, revision=N or any FIELD=VALUE."
        ),
    ],
    files: Annotated[
        list[str],
        typer.Argument(help="Log files of all processes; - for standard input."),
    ],
    around: Annotated[
        float,
        typer.Option(
            "--around",
            min=0,
            help="Also show other changes that these processes and the control VMs "
            "logged up to this many seconds before the first and after the last line.",
        ),
    ] = 0.0,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show the decisions of all processes on a flow or other subject, in order."""
    for name in files:
        if name != STANDARD_INPUT and not Path(name).is_file():
            exit_with_error(output, wrong_input("FILES", name, "log files that exist"))
    records = sorted(read_records(_lines(files)), key=lambda record: record.time)
    found = select(records, subject, around)
    if not found:
        exit_with_error(
            output,
            wrong_input("SUBJECT", subject, "a subject that occurs in the log files"),
        )
    encoded = [_encoded(record) for record in found]
    show_result(output, describe(found), {"records": encoded})


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Parse the lines that are events; text before the JSON object is ignored.

    Log collectors often prefix lines with their own time and the process name.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            found = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(found, dict) and found.keys() >= REQUIRED_KEYS:
            rest = {k: v for k, v in found.items() if k not in REQUIRED_KEYS}
            yield LogRecord(
                float(found["time"]), found["node"], found["event"], found["name"], rest
            )


def select(
    records: list[LogRecord], subject: str, around: float = 0.0
) -> list[LogRecord]:
    """Select the records about a subject, and records of other changes around them.

    :param around: seconds before the first and after the last record about the
        subject. Within them, records that are not about a flow are selected if they
        are from the control plane or a process with records about the subject.
    """
    about = [record for record in records if is_about(record, subject)]
    if not about or around <= 0:
        return about
    nodes = {record.node for record in about}
    begin, end = about[0].time - around, about[-1].time + around
    return [
        record
        for record in records
        if is_about(record, subject)
        or (
            begin <= record.time <= end
            and "flow" not in record.fields
            and (record.node in nodes or record.event.startswith("WGW-1"))
        )
    ]


def is_about(record: LogRecord, subject: str) -> bool:
    """Whether a field of a record names the subject or, for FIELD=VALUE, equals it."""
    key, separator, wanted = subject.partition("=")
    if separator:
        return str(record.fields.get(key)) == wanted
    for value in record.fields.values():
        text = str(value)
        if text == subject or text.startswith(f"{subject}>"):
            return True
        if f"{subject} " in text or f"'{subject}'" in text:
            return True
    return False


def describe(records: list[LogRecord]) -> list[str]:
    """One line for each record: time since the first, process, number and text."""
    templates = {f"WGW-{d.number:04d}": d.template for _, d in event_definitions()}
    start = records[0].time
    return [
        f"{record.time - start:+9.3f} s  {record.node}  {record.event}  "
        f"{_text(record, templates.get(record.event))}"
        for record in records
    ]


def _text(record: LogRecord, template: str | None) -> str:
    if template is not None:
        try:
            return template.format(node=record.node, **record.fields)
        except (KeyError, ValueError, IndexError):
            # Another version of wasabigw wrote the line, with other fields.
            pass
    fields = ", ".join(f"{key} {value}" for key, value in record.fields.items())
    return f"{record.name}: {fields}"


def _lines(files: list[str]) -> Iterator[str]:
    for name in files:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from file


def _encoded(record: LogRecord) -> dict[str, Any]:
    return {
        "time": record.time,
        "node": record.node,
        "event": record.event,
        "name": record.name,
        **record.fields,
    }
