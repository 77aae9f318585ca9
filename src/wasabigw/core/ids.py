"""Identifier and unit types shared by the whole code base."""

from typing import NewType

ServiceId = NewType("ServiceId", str)
FailureDomainId = NewType("FailureDomainId", str)
RegionId = NewType("RegionId", str)
BackendServerId = NewType("BackendServerId", str)
NodeId = NewType("NodeId", str)
"""A process of the system: a balancer or a control voter."""
Incarnation = NewType("Incarnation", str)
"""Random value generated when a process starts or a data directory is created."""
BootId = NewType("BootId", str)
"""Value that a backend server generates at each start."""
RequestId = NewType("RequestId", str)
FlowKey = NewType("FlowKey", bytes)
"""Protocol, caller address and port, service address and port: 13 bytes."""
BucketNumber = NewType("BucketNumber", int)
Revision = NewType("Revision", int)
"""Index of an entry in the replicated log; 0 is before the first entry."""
NO_REVISION = Revision(0)
"""Revision of a state to which no entry has been applied."""
Term = NewType("Term", int)
Seconds = NewType("Seconds", float)
"""Monotonic time of one process, or duration."""
Tag = NewType("Tag", int)
"""Number that identifies one boot of a backend server in the packets of its flows; 0
stands for none."""
CompressedText = NewType("CompressedText", str)
"""Text compressed with DEFLATE and encoded in Base64."""
