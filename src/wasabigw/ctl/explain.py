"""Command ``explain``: the history of a flow, a version or anything else in logs."""

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
"""Keys that every line has."""
STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A line of a log.

    :param fields: what the event says besides its name and time.
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
            help="Flow (ADDRESS:PORT>ADDRESS:PORT), or its first part; id or tag=N of "
            "a backend server; version=N, revision=N or any FIELD=VALUE."
        ),
    ],
    files: Annotated[
        list[str], typer.Argument(help="Log files of all processes; - for the input.")
    ],
    around: Annotated[
        float,
        typer.Option(
            "--around",
            min=0,
            help="Show also what processes came to believe, so many "
            "seconds before the first and after the last line.",
        ),
    ] = 0.0,
    output: OutputOption = Output.TEXT,
) -> None:
    """Show what all processes decided about a flow or another subject, in order."""
    for name in files:
        if name != STANDARD_INPUT and not Path(name).is_file():
            exit_with_error(output, wrong_input("FILES", name, "log files that exist"))
    records = sorted(read_records(_lines(files)), key=lambda record: record.time)
    found = select(records, subject, around)
    if not found:
        exit_with_error(
            output, wrong_input("SUBJECT", subject, "something the logs speak of")
        )
    encoded = [_encoded(record) for record in found]
    show_result(output, describe(found), {"records": encoded})


def read_records(lines: Iterable[str]) -> Iterator[LogRecord]:
    """Records of the lines that are events; what stands before the JSON is ignored.

    Collectors of logs often put their own time and the name of the process there.
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
    """Records about a subject, and what was believed around them."""
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
    """Whether a record is about a subject."""
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
    """One line for each record: time since the first, process, and what it says."""
    texts = {f"WGW-{d.number:04d}": d.template for _, d in event_definitions()}
    begun = records[0].time
    return [
        f"{record.time - begun:+9.3f} s  {record.node}  {record.event}  "
        f"{_text(record, texts.get(record.event))}"
        for record in records
    ]


def _text(record: LogRecord, text: str | None) -> str:
    if text is not None:
        try:
            return text.format(node=record.node, **record.fields)
        except (KeyError, ValueError, IndexError):
            # The line is of another version of the program.
            pass
    shown = ", ".join(f"{key} {value}" for key, value in record.fields.items())
    return f"{record.name}: {shown}"


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
