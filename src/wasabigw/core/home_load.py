"""Load of the backend servers homed at a node, and its imbalance."""

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

    :param allowed: open flows allowed at its ramp step.
    :param leaving: whether it is draining or leaving, so that its load is expected to
        be lower.
    """

    backend_server: BackendServerId
    service: ServiceId
    open_flows: int
    allowed: int
    leaving: bool


def server_loads(state: HomeState) -> tuple[ServerLoad, ...]:
    """Load of each backend server that is homed here and has announced itself."""
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


def imbalance(loads: Iterable[ServerLoad]) -> dict[ServiceId, float]:
    """Ratio of the highest utilization to the mean utilization, by service.

    Services with fewer than two backend servers here or without open flows are left
    out.
    """
    shares: dict[ServiceId, list[float]] = defaultdict(list)
    for load in loads:
        if not load.leaving:
            shares[load.service].append(load.open_flows / load.allowed)
    return {
        service: max(found) / mean(found)
        for service, found in shares.items()
        if len(found) > 1 and max(found) > 0
    }
