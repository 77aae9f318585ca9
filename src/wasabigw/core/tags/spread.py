"""Which share of its new flows a failure domain sends to each of them.

A balancer knows what the backend servers of each failure domain can carry, but not the
load that the other balancers bring. It takes as much for each failure domain of a
region, so that each has a claim to an equal part of the slots. One with fewer slots
than that sends the rest to those with more, in proportion to what they have beyond
theirs.
"""

from collections.abc import Mapping

from wasabigw.core.ids import FailureDomainId, RegionId

Shares = Mapping[FailureDomainId, float]
"""Shares of the failure domains that are above 0."""

LOCAL_THRESHOLD = 0.8
"""Part of its claim with which a failure domain still keeps all of its flows.

Flows that leave the failure domain cost bytes between failure domains; backend servers
that are this much busier than the mean still answer in time on an ordinary day.
"""


def eligible_slots(
    home: FailureDomainId,
    slots: Mapping[FailureDomainId, int],
    regions: Mapping[FailureDomainId, RegionId],
) -> dict[FailureDomainId, int]:
    """Slots of the own region; those of all regions if it has none."""
    own = regions.get(home)
    local = {name: n for name, n in slots.items() if regions.get(name) == own}
    return local or dict(slots)


def traffic_shares(
    home: FailureDomainId,
    slots: Mapping[FailureDomainId, int],
    regions: Mapping[FailureDomainId, RegionId],
) -> Shares:
    """Shares of the new flows that arrive in a failure domain.

    :param slots: of the backend servers of each failure domain that take new flows,
        above 0.
    :param regions: of all failure domains.
    """
    own_region = regions.get(home)
    claimants = {name for name, region in regions.items() if region == own_region}
    claim = sum(slots.values()) / len(claimants | {home, *slots})
    own = slots.get(home, 0)
    if own >= LOCAL_THRESHOLD * claim:
        return {home: 1.0}
    surplus = {name: n - claim for name, n in slots.items() if n > claim}
    moved = (1.0 - own / claim) / sum(surplus.values())
    shares = {name: moved * rest for name, rest in surplus.items()}
    if own > 0:
        shares[home] = own / claim
    return shares
