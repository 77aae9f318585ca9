"""Settings of the voter task."""

from collections.abc import Mapping
from dataclasses import dataclass

from wasabigw.core.cluster import Endpoint, VoterPlace
from wasabigw.core.ids import NodeId, Seconds
from wasabigw.core.timing import ANNOUNCE_LEASE


@dataclass(frozen=True, slots=True)
class VoterSettings:
    """Identity of this voter and the endpoints of all voters.

    :param voters: control API of each voter, including this one. If other control VMs
        may become voters, only some of the control VMs are listed.
    :param target_voters: number of voters that a leader maintains; ``None`` if those of
        the settings are to be voters and no others.
    :param place: endpoint and failure domain of this control VM, if others may become
        voters.
    :param announcement_lease: how long a backend server that is addressed by its tag
        counts as present after an announcement.
    """

    node: NodeId
    voters: Mapping[NodeId, Endpoint]
    announcement_lease: Seconds = ANNOUNCE_LEASE
    target_voters: int | None = None
    place: VoterPlace | None = None
