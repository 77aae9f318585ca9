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
