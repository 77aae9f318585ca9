"""Tour for newcomers: ``python -m wasabigw_demo.tour``.

``run`` starts voters, balancers and the fabric, and stays until Ctrl-C. The reader
configures them with ``wasabigwctl``; ``serve`` and ``call`` are the stand-ins.
"""

import os
import shutil
import signal
import socket
import sys
import threading
from dataclasses import replace
from pathlib import Path
from typing import Annotated, NoReturn

import typer

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.ids import BackendServerId
from wasabigw_demo import _processes, backend_server
from wasabigw_demo._commands import TrafficOptions
from wasabigw_demo._layout import (
    CONNECTIONS,
    SLOTS,
    BackendServerPlace,
    CallerPlace,
    Layout,
    make_layout,
)
from wasabigw_demo._system import DemoFailedError, System
from wasabigw_demo._tour_addresses import (
    ADDRESS_FILE,
    TourAddresses,
    claim_caller,
    claim_server,
    make_addresses,
    read_addresses,
    write_addresses,
)
from wasabigw_demo._tour_caller import call_service
from wasabigw_demo.addresses import free_endpoint, parse_endpoint
from wasabigw_demo.launcher import print_step

MAX_SERVERS = 8
MAX_CALLERS = 4
PLANNED_SERVERS = 2
"""Number of backend servers in the prepared answers to the questionnaire."""

FolderOption = Annotated[
    Path, typer.Option(envvar="WASABIGW_TOUR", help="Folder of the tour.")
]
DEFAULT_FOLDER = Path("tour")

application = typer.Typer(add_completion=False, no_args_is_help=True)


@application.command()
def run(folder: FolderOption = DEFAULT_FOLDER) -> None:
    """Start three voters, three balancers and the fabric; stay until Ctrl-C."""
    folder = folder.absolute()
    _create_folder(folder)
    layout = _tour_layout(folder)
    stopped = threading.Event()
    try:
        with System(layout, TrafficOptions(), print_step) as system:
            _prepare(layout)
            system.start_nodes()
            _print_guide(layout)
            signal.signal(signal.SIGTERM, lambda *_: stopped.set())
            stopped.wait()
    except DemoFailedError as error:
        _exit_with_error(f"the tour could not start: {error}")
    except KeyboardInterrupt:
        pass
    print(f"\nThe tour has ended; settings and logs are still in {folder}")


@application.command()
def serve(
    name: Annotated[str, typer.Argument(help="Id of the backend server.")],
    service: Annotated[str, typer.Option(help="Id of its service.")],
    failure_domain: Annotated[str, typer.Option(help="Its failure domain.")],
    folder: FolderOption = DEFAULT_FOLDER,
) -> None:
    """Run a backend server that announces itself; SIGTERM drains it."""
    addresses = _load_addresses(folder)
    balancers = {str(domain): known for domain, known in addresses.balancers.items()}
    if failure_domain not in balancers:
        _exit_with_error(
            f"no failure domain {failure_domain!r}; use one of {sorted(balancers)}"
        )
    server = claim_server(addresses, folder)
    if server is None:
        _exit_with_error(
            f"all {len(addresses.servers)} places are in use; end a backend server"
        )
    print(
        f"{name} serves {service} at {endpoint_key(server.inner)} in {failure_domain}"
    )
    backend_server.main(
        name=name,
        service=service,
        failure_domain=failure_domain,
        address=endpoint_key(server.inner),
        fabric=endpoint_key(addresses.fabric),
        listen=endpoint_key(server.geneve),
        control=endpoint_key(server.control),
        balancer=[endpoint_key(api) for api in balancers[failure_domain]],
        record=folder / f"{name}.record.jsonl",
        slots=SLOTS,
        connections=CONNECTIONS,
        # A random seed gives each start a different boot id.
        seed=int.from_bytes(os.urandom(4)),
    )


@application.command()
def call(
    service: Annotated[str, typer.Argument(help="Service (address:port, TCP).")],
    requests: Annotated[int, typer.Option(min=1, max=100_000)] = 5,
    rate: Annotated[float, typer.Option(min=0.1, max=200, help="Per second.")] = 20.0,
    folder: FolderOption = DEFAULT_FOLDER,
) -> None:
    """Send requests and print who answered; the exit code is 1 if one failed."""
    addresses = _load_addresses(folder)
    endpoint = parse_endpoint(service)
    caller = claim_caller(addresses, folder)
    if caller is None:
        _exit_with_error(
            f"{len(addresses.callers)} callers run already; end one of them"
        )
    record = folder / "caller.record.jsonl"
    failed = call_service(caller, addresses.fabric, endpoint, requests, rate, record)
    print(f"{requests} requests, {failed} failed")
    raise typer.Exit(1 if failed else 0)


def _tour_layout(folder: Path) -> Layout:
    layout = make_layout(folder)
    documents = layout.services[0]
    backend_servers = tuple(
        BackendServerPlace(
            BackendServerId(f"place-{number}"),
            documents,
            layout.balancers[0].failure_domain,
            Endpoint(f"10.2.0.{number}", 8080),
            free_endpoint(socket.SOCK_DGRAM),
            free_endpoint(socket.SOCK_STREAM),
        )
        for number in range(1, MAX_SERVERS + 1)
    )
    callers = tuple(
        CallerPlace("tour", f"10.1.{n}.0/24", free_endpoint(socket.SOCK_DGRAM))
        for n in range(1, MAX_CALLERS + 1)
    )
    return replace(
        layout, services=(documents,), backend_servers=backend_servers, callers=callers
    )


def _prepare(layout: Layout) -> None:
    _processes.write_settings(
        replace(layout, backend_servers=layout.backend_servers[:PLANNED_SERVERS])
    )
    write_addresses(make_addresses(layout), layout.folder)
    _write_environment(layout)


def _write_environment(layout: Layout) -> None:
    lines = [
        f'export PATH="{Path(sys.executable).parent}:$PATH"',
        f'export WASABIGWCTL_SETTINGS="{_processes.tool_settings_path(layout)}"',
        f'export WASABIGW_TOUR="{layout.folder}"',
    ]
    if "PYTHONPATH" in os.environ:
        lines.append(f'export PYTHONPATH="{os.environ["PYTHONPATH"]}"')
    path = layout.folder / "env"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def _print_guide(layout: Layout) -> None:
    folder = layout.folder
    print(f"\nsettings, logs and data   {folder}")
    print(f"operator token            {folder / 'operator.token'}")
    for node in (*layout.voters, *layout.balancers):
        label = f"{node.id} in {node.failure_domain}"
        print(f"{label:25} API {endpoint_key(node.api)}")
    print("\nIn a second terminal, prepare the shell and look at the empty system:\n")
    print(f"    . {folder / 'env'}")
    print("    wasabigwctl state\n")
    print("Go on with the tour in README.md. Ctrl-C here ends it.", flush=True)


def _create_folder(folder: Path) -> None:
    """Create the folder; only the folder of an earlier tour is replaced."""
    if (folder / ADDRESS_FILE).exists():
        shutil.rmtree(folder)
    try:
        folder.mkdir(parents=True)
    except FileExistsError:
        _exit_with_error(
            f"{folder} exists and is not from a tour; choose another --folder"
        )


def _load_addresses(folder: Path) -> TourAddresses:
    addresses = read_addresses(folder)
    if addresses is None:
        _exit_with_error(
            f"no tour runs in {folder}; start it with `make tour`, and run "
            "`. tour/env` in this shell"
        )
    return addresses


def _exit_with_error(problem: str) -> NoReturn:
    print(problem, file=sys.stderr)
    raise typer.Exit(1)


if __name__ == "__main__":
    application()
