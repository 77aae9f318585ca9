"""Parts of delivery by tags that operators can switch off."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Features:
    """Which parts may act; each needs declared requirements of callers as well.

    :param load_sharing: report load figures and choose by those of other balancers.
    :param admission_control: refuse or hold openings while a service is short of room.
    :param egress_classes: order packets on the link by the priority of their listener.
    """

    load_sharing: bool = True
    admission_control: bool = True
    egress_classes: bool = True
