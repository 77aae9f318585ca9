"""What the machines of a run are configured with."""

from wasabigw.core.declaration import (
    Declaration,
    DeclaredService,
    Listener,
    ServiceShare,
)
from wasabigw.core.endpoint import Endpoint, address_number
from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId

DOMAINS = tuple(map(FailureDomainId, ("recife", "fortaleza", "salvador")))
SERVICES = tuple(map(ServiceId, ("seats", "courses")))
LISTENERS = {
    service: Endpoint("198.18.0.1", 443 + number)
    for number, service in enumerate(SERVICES)
}
LISTENER_NUMBER = address_number(LISTENERS[SERVICES[0]].address)
IDLE_TIMEOUT = Seconds(3.0)


def declaration() -> Declaration:
    """A listener for each service."""
    listeners = tuple(
        Listener(endpoint, (ServiceShare(service, 1),), IDLE_TIMEOUT)
        for service, endpoint in LISTENERS.items()
    )
    return Declaration(1, listeners, tuple(map(DeclaredService, SERVICES)))
