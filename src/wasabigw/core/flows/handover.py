"""Records that a draining balancer sends to the new home of a backend server."""

from dataclasses import dataclass

from wasabigw.core.ids import BackendServerId, BootId, BucketNumber, NodeId, Seconds

HANDOVER_RECORDS = 64
"""Most records in one handover; one per backend server is sent in each tick."""


@dataclass(frozen=True, slots=True)
class HandedRecord:
    """A recorded flow.

    :param flow: flow key in hexadecimal, because it is encoded as JSON.
    :param idle: seconds since its last packet.
    """

    flow: str
    bucket: BucketNumber
    idle: Seconds
    slot_held: bool


@dataclass(frozen=True, slots=True)
class Handover:
    """Part of the records of one backend server.

    :param open_flows: flows that the sender counted as open; set with the last part.
    :param complete_buckets: buckets whose records were handed over in full; set with
        the last part.
    """

    sender: NodeId
    backend_server: BackendServerId
    boot_id: BootId
    records: tuple[HandedRecord, ...]
    last: bool
    open_flows: int = 0
    complete_buckets: tuple[BucketNumber, ...] = ()
