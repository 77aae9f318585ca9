"""Settings of the voter task."""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabigw.core.cluster import Endpoint, VoterPlace
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.timing import ANNOUNCE_LEASE


@dataclass(frozen=True, slots=True)
class VoterSettings:
    """Which voter this is and where the voters' control APIs are.

    :param voters: endpoint of each voter, with the own one; if others may become
        voters, of some control VMs.
    :param target_voters: number of voters that a leader maintains; ``None`` if those of
        the settings are to be voters and no others.
    :param place: where this control VM is, if others may become voters.
    :param announcement_lease: how long a backend server that is reached by its tag
        counts as present after an announcement.
    """

    node: NodeId
    voters: Mapping[NodeId, Endpoint]
    announcement_lease: Seconds = ANNOUNCE_LEASE
    target_voters: int | None = None
    place: VoterPlace | None = None
