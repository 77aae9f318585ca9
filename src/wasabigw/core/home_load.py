"""Use of the backend servers that are homed at a node, and how even it is."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

from wasabigw.core.admission import allowed_flows
from wasabigw.core.home_records import LEAVING_STATES, HomeState
from wasabigw.core.ids import BackendServerId, ServiceId


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of one backend server.

    :param allowed: open flows that its ramp step allows.
    :param leaving: whether it drains or leaves, and is meant to have less load.
    """

    backend_server: BackendServerId
    service: ServiceId
    open_flows: int
    allowed: int
    leaving: bool


def server_loads(state: HomeState) -> tuple[ServerLoad, ...]:
    """Use of each backend server that is homed here and has announced itself."""
    return tuple(
        ServerLoad(
            record.id,
            record.service,
            record.admission.open_flows,
            allowed_flows(record.admission),
            record.state in LEAVING_STATES,
        )
        for record in state.servers.values()
        if record.homed_since is not None and record.announced
    )


def imbalance(uses: Iterable[ServerLoad]) -> dict[ServiceId, float]:
    """Highest share of the allowed flows over the mean, by service.

    Services with less than two backend servers here, or without a flow, have none.
    """
    shares: dict[ServiceId, list[float]] = defaultdict(list)
    for use in uses:
        if not use.leaving:
            shares[use.service].append(use.open_flows / use.allowed)
    return {
        service: max(found) / mean(found)
        for service, found in shares.items()
        if len(found) > 1 and max(found) > 0
    }
