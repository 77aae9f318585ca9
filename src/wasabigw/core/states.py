"""Enumerations of the states and kinds on which decisions depend."""

from enum import Enum


class Protocol(Enum):
    """Transport protocol of a service, by its IPv4 protocol number."""

    TCP = 6
    UDP = 17


class FlowLimit(Enum):
    """Which announced limit bounds the open flows of a backend server."""

    CONNECTIONS = "connections"
    SLOTS = "slots"


class FailureDomainState(Enum):
    """Whether a failure domain is in service or was taken out by operators."""

    IN_SERVICE = "in-service"
    OUT_OF_SERVICE = "out-of-service"


class BackendServerState(Enum):
    """Life cycle of a backend server as it is registered in the log."""

    COLD = "cold"
    READY = "ready"
    DRAINING = "draining"
    LEAVING = "leaving"


class RegistrationState(Enum):
    """Life cycle of one boot of a backend server that is addressed by its tag.

    ``ENDED`` is only read: logs and views of earlier versions have it for boots that
    another one has replaced.
    """

    SERVING = "serving"
    DRAINING = "draining"
    ENDED = "ended"


class NodeState(Enum):
    """Membership state of a balancer."""

    UP = "up"
    SUSPECTED = "suspected"
    DRAINING = "draining"


class CandidateReason(Enum):
    """Why a backend server other than the current one is a candidate of a bucket."""

    FORMER = "former"
    OVERFLOW = "overflow"
    DIVERTED = "diverted"
    DEPARTED = "departed"


class RefusalCode(Enum):
    """Why a change of the replicated state was refused."""

    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    ALREADY_EXISTS = "already-exists"
    ENDPOINT_IN_USE = "endpoint-in-use"
    ENDPOINT_IN_QUARANTINE = "endpoint-in-quarantine"
    INVALID = "invalid"


class VoterRole(Enum):
    """Role of a voter in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"
    AWAITING_ADMISSION = "awaiting-admission"


class MissingVoteReason(Enum):
    """Why a candidate does not have the vote of a voter."""

    NO_ADDRESS = "no address"
    NO_ANSWER = "no answer"
    REFUSED = "refused"
    NOT_COUNTED = "not counted"


class ReplacementStatus(Enum):
    """What a leader answers to the announced stop of a control VM."""

    IN_PROGRESS = "in-progress"
    """A standby is about to take the place of the voter."""
    NO_STANDBY = "no-standby"
    """The voter stays a voter, because no standby holds the log."""
    NOT_A_VOTER = "not-a-voter"
    NO_LEADER = "no-leader"
    """The recipient does not lead any more."""


class StopOutcome(Enum):
    """Why the process of a control VM may stop now."""

    REPLACED = "replaced"
    """A standby has taken its place as a voter."""
    NO_STANDBY = "no-standby"
    NOT_A_VOTER = "not-a-voter"
    FIXED_VOTERS = "fixed-voters"
    """The settings name the voters, so that none is replaced."""
    NO_ANSWER = "no-answer"
    """No leader has answered."""
    TIMED_OUT = "timed-out"
    SUSPENDED = "suspended"
    """Its data directory can't be used."""
