"""Backend server stand-in: ``python -m wasabigw_demo.backend_server``."""

import random
import signal
import threading
from contextlib import ExitStack
from pathlib import Path
from types import FrameType
from typing import Annotated, Any

import cherrypy
import typer
from returns.result import Result, Success

from wasabigw.codec import messages
from wasabigw.core.ids import (
    BackendServerId,
    BootId,
    FailureDomainId,
    Seconds,
    ServiceId,
)
from wasabigw.runtime.mailbox import Mailbox, ReplyTimeout
from wasabigw_demo import control_http
from wasabigw_demo.addresses import parse_endpoint
from wasabigw_demo.announcer import Announcer
from wasabigw_demo.host import Host
from wasabigw_demo.records import RecordKind, RecordWriter
from wasabigw_demo.server_app import (
    COLD_CONNECTIONS,
    ServerApplication,
    ServerCommand,
    ServerIdentity,
    ServerSettings,
    ServerStatus,
    StatusQuery,
)

CONTROL_REPLY_TIMEOUT = Seconds(2.0)

application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class ControlEndpoint:
    """HTTP handlers of the control endpoint."""

    def __init__(self, host: Mailbox[Any]) -> None:
        self._host = host

    @control_http.exposed("GET")
    def status(self) -> Any:
        """``GET /status``: state, connections and requests."""
        result = query_status(self._host)
        if isinstance(result, Success):
            return messages.to_json(result.unwrap())
        raise cherrypy.HTTPError(503, "the backend server did not reply in time")

    @control_http.exposed("POST")
    def command(self, name: str = "") -> Any:
        """``POST /command?name=NAME``: one of :class:`ServerCommand`."""
        names = [command.value for command in ServerCommand]
        if name not in names:
            control_http.reject(f"unknown command {name!r}; use one of {names}")
        self._host.post(ServerCommand(name))
        return {"accepted": name}


def query_status(host: Mailbox[Any]) -> Result[ServerStatus, ReplyTimeout]:
    """Query the status of the application on a host."""
    reply: Mailbox[ServerStatus] = Mailbox("status")
    host.post(StatusQuery(reply))
    return reply.get(CONTROL_REPLY_TIMEOUT)


@application.command()
def main(
    name: Annotated[str, typer.Option(help="Id of the backend server.")],
    service: Annotated[str, typer.Option(help="Id of its service.")],
    failure_domain: Annotated[str, typer.Option(help="Its failure domain.")],
    address: Annotated[str, typer.Option(help="Inner address:port it serves.")],
    fabric: Annotated[str, typer.Option(help="Endpoint of the fabric.")],
    listen: Annotated[str, typer.Option(help="Geneve endpoint to bind.")],
    control: Annotated[str, typer.Option(help="HTTP control endpoint to bind.")],
    balancer: Annotated[
        list[str], typer.Option(help="HTTP endpoint of a balancer; may be repeated.")
    ],
    record: Annotated[Path, typer.Option(help="File for its records.")],
    slots: Annotated[int, typer.Option(help="Announced slots.")] = 4,
    connections: Annotated[int, typer.Option(help="Announced connections.")] = 2000,
    cold: Annotated[bool, typer.Option(help="Start cold.")] = False,
    cold_connections: Annotated[
        int, typer.Option(help="Connections accepted while cold.")
    ] = COLD_CONNECTIONS,
    shed: Annotated[bool, typer.Option(help="Answer requests as shed.")] = False,
    lie: Annotated[bool, typer.Option(help="Announce ready and idle.")] = False,
    boot: Annotated[int, typer.Option(help="Number of this boot.")] = 1,
    seed: Annotated[int, typer.Option(help="Seed of the random numbers.")] = 1,
) -> None:
    """Serve requests behind the balancers until SIGTERM (drain) or SIGINT (stop)."""
    generator = random.Random(f"{seed}:{name}:{boot}")
    identity = ServerIdentity(
        id=BackendServerId(name),
        service=ServiceId(service),
        failure_domain=FailureDomainId(failure_domain),
        endpoint=parse_endpoint(address),
        boot_id=BootId(generator.randbytes(8).hex()),
        slots=slots,
        connections=connections,
    )
    settings = ServerSettings(cold, cold_connections, shed, lie)
    announcer = Announcer([parse_endpoint(text) for text in balancer])
    with ExitStack() as stack:
        records = stack.enter_context(RecordWriter(record))
        server = ServerApplication(identity, settings, records, announcer.mailbox)
        host = Host(
            name,
            parse_endpoint(listen),
            parse_endpoint(fabric),
            server,
            records,
            generator.getrandbits(32),
        )
        announcer.report_to(host.mailbox)
        _install_signals(host.mailbox, announcer.ended)
        stack.enter_context(announcer)
        stack.enter_context(host)
        endpoint = ControlEndpoint(host.mailbox)
        stack.enter_context(control_http.serve(endpoint, parse_endpoint(control)))
        announcer.ended.wait()
        match query_status(host.mailbox):
            case Success(status):
                records.write(RecordKind.SUMMARY, **messages.to_json(status))


def _install_signals(host: Mailbox[Any], stop_requested: threading.Event) -> None:
    def drain(number: int, frame: FrameType | None) -> None:
        host.post(ServerCommand.DRAIN)

    def stop(number: int, frame: FrameType | None) -> None:
        stop_requested.set()

    signal.signal(signal.SIGTERM, drain)
    signal.signal(signal.SIGINT, stop)


if __name__ == "__main__":
    application()
