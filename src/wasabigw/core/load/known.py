"""Load figures of other balancers that a balancer has received."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from wasabigw.core.ids import FailureDomainId, Seconds, ServiceId, Tag
from wasabigw.core.load.figures import (
    FIGURES_TTL,
    LoadSums,
    ServerFigures,
    ServiceFigures,
)
from wasabigw.core.view_lease import NEVER

ServiceKey = tuple[ServiceId, FailureDomainId]


@dataclass(slots=True)
class KnownLoad:
    """Latest sums of other balancers; empty until the first response with sums.

    :param measured_at: time of this process to which the figures apply.
    """

    measured_at: Seconds = NEVER
    balancers: int = 0
    servers: Mapping[Tag, ServerFigures] = field(default_factory=dict)
    services: Mapping[ServiceKey, ServiceFigures] = field(default_factory=dict)

    def is_current(self, now: Seconds) -> bool:
        """Whether the figures are recent enough for decisions."""
        return now - self.measured_at < FIGURES_TTL


def record_sums(known: KnownLoad, sums: LoadSums, received_at: Seconds) -> None:
    """Replace the figures, unless these are older than the known ones."""
    measured_at = Seconds(received_at - sums.age)
    if measured_at < known.measured_at:
        return
    known.measured_at = measured_at
    known.balancers = sums.balancers
    known.servers = {figures.tag: figures for figures in sums.servers}
    known.services = {(f.service, f.failure_domain): f for f in sums.services}
