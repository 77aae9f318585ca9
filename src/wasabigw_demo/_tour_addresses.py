"""Addresses for the stand-ins of a tour, stored in a file in its folder."""

import fcntl
import ipaddress
import os
import random
from dataclasses import dataclass
from pathlib import Path

from returns.result import Success

from wasabigw.codec import messages
from wasabigw.core.cluster import Endpoint
from wasabigw.core.ids import FailureDomainId
from wasabigw_demo._layout import (
    BackendServerPlace,
    CallerPlace,
    Layout,
)

ADDRESS_FILE = "tour.json"


@dataclass(frozen=True, slots=True)
class ServerAddresses:
    """Endpoints that one backend server may use.

    :param inner: inner endpoint that it serves.
    """

    inner: Endpoint
    geneve: Endpoint
    control: Endpoint


@dataclass(frozen=True, slots=True)
class TourAddresses:
    """Endpoints that the stand-ins of a tour need.

    :param balancers: HTTP endpoints by failure domain.
    :param callers: ranges of inner addresses, each with its Geneve endpoint.
    """

    fabric: Endpoint
    balancers: dict[FailureDomainId, tuple[Endpoint, ...]]
    servers: tuple[ServerAddresses, ...]
    callers: dict[str, Endpoint]


def make_addresses(layout: Layout) -> TourAddresses:
    """Addresses for the stand-ins of a layout."""
    balancers: dict[FailureDomainId, tuple[Endpoint, ...]] = {}
    for place in layout.balancers:
        known = balancers.get(place.failure_domain, ())
        balancers[place.failure_domain] = (*known, place.api)
    return TourAddresses(
        layout.fabric,
        balancers,
        tuple(_server_addresses(place) for place in layout.backend_servers),
        {caller.address: caller.geneve for caller in layout.callers},
    )


def write_addresses(addresses: TourAddresses, folder: Path) -> None:
    """Write the addresses to the folder for the other commands of the tour."""
    (folder / ADDRESS_FILE).write_bytes(messages.encode(addresses))


def read_addresses(folder: Path) -> TourAddresses | None:
    """Read the addresses of a tour; ``None`` without a valid file."""
    try:
        data = (folder / ADDRESS_FILE).read_bytes()
    except OSError:
        return None
    decoded = messages.decode(data, TourAddresses)
    return decoded.unwrap() if isinstance(decoded, Success) else None


def claim_server(addresses: TourAddresses, folder: Path) -> ServerAddresses | None:
    """Claim the first unused endpoints of a backend server.

    The claim lasts until this process ends.
    """
    return next((s for s in addresses.servers if _lock(s.geneve, folder)), None)


def claim_caller(addresses: TourAddresses, folder: Path) -> CallerPlace | None:
    """Claim the first unused address range of a caller, and pick a random address.

    All callers start at the same port number, so that with the address of an
    earlier run a flow would be mistaken for one of that run.
    """
    for network, geneve in addresses.callers.items():
        if _lock(geneve, folder):
            address = random.choice(list(ipaddress.IPv4Network(network).hosts()))
            return CallerPlace("tour", str(address), geneve)
    return None


def _lock(geneve: Endpoint, folder: Path) -> bool:
    """Lock the file of a Geneve endpoint; the lock lasts until the process ends."""
    descriptor = os.open(folder / f"{geneve.port}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return False
    return True


def _server_addresses(place: BackendServerPlace) -> ServerAddresses:
    return ServerAddresses(place.inner, place.geneve, place.control)
