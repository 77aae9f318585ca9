"""Distribution of the new flows of one failure domain over all failure domains.

A balancer knows the capacity of the backend servers in each failure domain, but not the
load from other balancers. It assumes the same load in each failure domain of a region,
so that the fair share of each is an equal part of the slots. A failure domain with
fewer slots than its fair share sends the excess flows to those with more, in proportion
to their surplus.
"""

from collections.abc import Mapping

from wasabigw.core.ids import FailureDomainId, RegionId

Shares = Mapping[FailureDomainId, float]
"""Share of the new flows for each failure domain that gets any."""

LOCAL_THRESHOLD = 0.8
"""Fraction of its fair share of slots from which a failure domain keeps all its flows.

Flows to other failure domains cost traffic between them. Backend servers whose load
exceeds the mean by the resulting factor still answer in time at normal traffic levels.
"""


def eligible_slots(
    home: FailureDomainId,
    slots: Mapping[FailureDomainId, int],
    regions: Mapping[FailureDomainId, RegionId],
) -> dict[FailureDomainId, int]:
    """Slots in the region of ``home``, or in all regions if its own has none."""
    own = regions.get(home)
    local = {name: n for name, n in slots.items() if regions.get(name) == own}
    return local or dict(slots)


def traffic_shares(
    home: FailureDomainId,
    slots: Mapping[FailureDomainId, int],
    regions: Mapping[FailureDomainId, RegionId],
) -> Shares:
    """Distribution of the new flows that arrive in a failure domain.

    :param home: the failure domain where the flows arrive.
    :param slots: slots of the backend servers that accept new flows, for each failure
        domain that has any.
    :param regions: region of each failure domain.
    """
    own_region = regions.get(home)
    sharing = {name for name, region in regions.items() if region == own_region}
    fair_share = sum(slots.values()) / len(sharing | {home, *slots})
    own = slots.get(home, 0)
    if own >= LOCAL_THRESHOLD * fair_share:
        return {home: 1.0}
    surplus = {name: n - fair_share for name, n in slots.items() if n > fair_share}
    share_per_slot = (1.0 - own / fair_share) / sum(surplus.values())
    shares = {name: share_per_slot * n for name, n in surplus.items()}
    if own > 0:
        shares[home] = own / fair_share
    return shares
