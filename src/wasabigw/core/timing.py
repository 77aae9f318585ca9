"""Durations and limits on which the safety of the decisions depends."""

from wasabigw.core.ids import Seconds

IN_FORCE_BOUND = Seconds(4.0)
"""Upper bound on the time until an accepted change is in force everywhere."""

VIEW_LEASE = Seconds(1.5)
"""How long a balancer may use its bucket tables after the leader confirmed them."""

SETTLE_TIME = Seconds(2.0)
"""Delay before new flows follow a moved bucket.

It is longer than :data:`VIEW_LEASE`, so that by then each balancer knows of the
move or, with a stale view, no longer sends packets directly to backend servers.
"""

LOG_POLL_WAIT = Seconds(0.5)
"""Longest time for which the leader keeps a log poll waiting."""

ANNOUNCE_INTERVAL = Seconds(1.0)
ANNOUNCE_LEASE = Seconds(3.0)
"""How long a backend server counts as present after an announcement."""

RAMP_STEP_TIME = Seconds(5.0)
RAMP_STEPS = (1, 2, 4, 8)
"""Eighths of its capacity that a backend server may use after a cold start."""
FULL_STEP = 8

NODE_TIMEOUT = Seconds(3.0)
SUSPICION_TIMEOUT = Seconds(30.0)
"""How long balancers that time out at the same time stay suspected before removal."""

LEADER_LEASE = Seconds(0.8)
ELECTION_TIMEOUT_MIN = Seconds(1.0)
ELECTION_TIMEOUT_MAX = Seconds(2.0)
HEARTBEAT_INTERVAL = Seconds(0.2)
ADMISSION_RETRY_DELAY = Seconds(1.0)
"""Interval between the admission requests of a voter that is not admitted."""
STANDBY_TIMEOUT = Seconds(5.0)
"""Time without an admission request after which a standby gets no more entries."""

FLOW_IDLE_TIMEOUT = Seconds(300.0)
BINDING_LIFETIME = Seconds(30.0)
QUARANTINE = Seconds(5.0)
"""Minimum time before a released endpoint may be used by another service."""

BUCKETS_PER_SERVICE = 256
MAX_HOPS = 6
"""Maximum number of balancers on the path of one packet."""
REFRESH_SAMPLE = 32
"""One mid-flow packet in this many is routed through the home balancer."""

SNAPSHOT_INTERVAL = 512
LOG_KEPT_BEHIND_SNAPSHOT = 1024
MAX_STORED_REQUESTS = 10_000
"""Operators' request ids whose outcomes are stored, to answer repeated requests."""
