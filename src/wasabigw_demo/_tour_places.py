"""Addresses that the processes of a tour may take, kept in a file of its folder."""

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
    BackendPlace,
    CallerPlace,
    Layout,
)

FILE = "tour.json"


@dataclass(frozen=True, slots=True)
class ServerPlace:
    """Where a backend server may run.

    :param inner: address and port behind the fabric.
    """

    inner: Endpoint
    geneve: Endpoint
    control: Endpoint


@dataclass(frozen=True, slots=True)
class Places:
    """Everything that a stand-in of the tour has to know.

    :param balancers: HTTP endpoints by failure domain.
    :param callers: ranges of inner addresses, each with its Geneve endpoint.
    """

    fabric: Endpoint
    balancers: dict[FailureDomainId, tuple[Endpoint, ...]]
    servers: tuple[ServerPlace, ...]
    callers: dict[str, Endpoint]


def places_of(layout: Layout) -> Places:
    """Places for the endpoints of a layout."""
    balancers: dict[FailureDomainId, tuple[Endpoint, ...]] = {}
    for place in layout.balancers:
        known = balancers.get(place.failure_domain, ())
        balancers[place.failure_domain] = (*known, place.api)
    return Places(
        layout.fabric,
        balancers,
        tuple(_server_place(place) for place in layout.backends),
        {caller.address: caller.geneve for caller in layout.callers},
    )


def write_places(places: Places, folder: Path) -> None:
    """Write the file for the other commands of the tour."""
    (folder / FILE).write_bytes(messages.encode(places))


def read_places(folder: Path) -> Places | None:
    """Places of a tour, or ``None`` if there is no readable file."""
    try:
        data = (folder / FILE).read_bytes()
    except OSError:
        return None
    decoded = messages.decode(data, Places)
    return decoded.unwrap() if isinstance(decoded, Success) else None


def claim_server(places: Places, folder: Path) -> ServerPlace | None:
    """First place that no backend server uses; taken until this process ends."""
    return next((s for s in places.servers if _claim(s.geneve, folder)), None)


def claim_caller(places: Places, folder: Path) -> CallerPlace | None:
    """Random address in the first range that no caller uses, taken in the same way.

    Callers number their ports from the same start, so a new address keeps a flow
    from being taken for one of an earlier run.
    """
    for network, geneve in places.callers.items():
        if _claim(geneve, folder):
            address = random.choice(list(ipaddress.IPv4Network(network).hosts()))
            return CallerPlace("tour", str(address), geneve)
    return None


def _claim(geneve: Endpoint, folder: Path) -> bool:
    """Lock the file of a place; the lock ends with the process."""
    descriptor = os.open(folder / f"{geneve.port}.lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return False
    return True


def _server_place(place: BackendPlace) -> ServerPlace:
    return ServerPlace(place.inner, place.geneve, place.control)
