"""Caller stand-in: ``python -m wasabigw_demo.caller``."""

import random
import signal
import threading
from contextlib import ExitStack
from pathlib import Path
from types import FrameType
from typing import Annotated

import typer

from wasabigw.core.ids import Seconds
from wasabigw.core.states import Protocol
from wasabigw_demo.addresses import parse_endpoint
from wasabigw_demo.caller_app import REQUEST_TIMEOUT, CallerApplication
from wasabigw_demo.host import Host
from wasabigw_demo.plan import Target, Workload, plan_flows
from wasabigw_demo.records import RecordKind, RecordWriter

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def parse_target(text: str) -> Target:
    """Parse a target from ``name=tcp:address:port``.

    :raises typer.BadParameter: if the text is not of that form.
    """
    name, _, rest = text.partition("=")
    protocol, _, endpoint = rest.partition(":")
    if not name or protocol.upper() not in Protocol.__members__:
        message = f"{text!r} must be written as name=tcp:address:port"
        raise typer.BadParameter(message)
    return Target(name, Protocol[protocol.upper()], parse_endpoint(endpoint))


@application.command()
def main(
    name: Annotated[str, typer.Option(help="Name in records and request ids.")],
    address: Annotated[str, typer.Option(help="Inner address.")],
    fabric: Annotated[str, typer.Option(help="Endpoint of the fabric.")],
    listen: Annotated[str, typer.Option(help="Geneve endpoint to bind.")],
    target: Annotated[
        list[str],
        typer.Option(help="name=tcp:address:port of a service; may be repeated."),
    ],
    record: Annotated[Path, typer.Option(help="File for its records.")],
    duration: Annotated[
        float, typer.Option(help="Seconds in which flows are opened.")
    ] = 25.0,
    short_rate: Annotated[float, typer.Option(help="Short flows per second.")] = 5.0,
    datagram_rate: Annotated[float, typer.Option(help="UDP flows per second.")] = 2.0,
    long_flows: Annotated[int, typer.Option(help="Number of long downloads.")] = 6,
    long_seconds: Annotated[
        float, typer.Option(help="Duration of each in seconds.")
    ] = 22.0,
    request_timeout: Annotated[
        float,
        typer.Option(help="Seconds to wait for an answer in addition to its spread."),
    ] = REQUEST_TIMEOUT,
    seed: Annotated[int, typer.Option(help="Seed of the random numbers.")] = 1,
) -> None:
    """Open flows and check each answer; exits with 1 unless all are correct."""
    workload = Workload(
        Seconds(duration), short_rate, datagram_rate, long_flows, long_seconds
    )
    plans = plan_flows(name, [parse_target(text) for text in target], workload, seed)
    done = threading.Event()
    _install_signals(done)
    with ExitStack() as stack:
        records = stack.enter_context(RecordWriter(record))
        records.write(
            RecordKind.SUMMARY,
            planned_flows=len(plans),
            planned_requests=sum(len(plan.requests) for plan in plans),
        )
        caller = CallerApplication(
            name, address, plans, records, seed, done, Seconds(request_timeout)
        )
        host_seed = random.Random(f"{seed}:{name}:host").getrandbits(32)
        host = Host(
            name,
            parse_endpoint(listen),
            parse_endpoint(fabric),
            caller,
            records,
            host_seed,
        )
        stack.enter_context(host)
        done.wait()
    raise typer.Exit(1 if caller.failures else 0)


def _install_signals(done: threading.Event) -> None:
    def stop(number: int, frame: FrameType | None) -> None:
        done.set()

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)


if __name__ == "__main__":
    application()
