"""State of all voters, of the messages between them, and of what was committed.

A :class:`World` is never changed once it is explored: each step works on a copy, which
shares the voters that the step does not touch.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from wasabigw.core.cluster import Endpoint, VoterPlace
from wasabigw.core.consensus.log import ReplicatedLog
from wasabigw.core.consensus.messages import Envelope
from wasabigw.core.consensus.state import Progress, VoterState, make_voter_state
from wasabigw.core.ids import FailureDomainId, Incarnation, NodeId, Seconds, Term
from wasabigw.core.log_messages import LogEntry
from wasabigw_verify.log_check.disk import FOUNDING_TERM, Disk

TICK = Seconds(0.25)
"""Time between two ticks; a power of two, so that sums of ticks are exact."""

JITTERS = (0.25, 0.5, 0.75, 0.99)
"""Random parts of election timeouts: they end at different ticks.

None is 0, because a voter that grants its vote waits for just the shortest timeout.
"""


@dataclass(frozen=True, slots=True)
class Site:
    """What the settings of all control VMs say.

    :param nodes: all control VMs, in the order of their election timeouts in the
        first term.
    :param seeds: control VMs that the settings name.
    :param target_voters: number of voters that a leader maintains; ``None`` if the
        seeds are the voters.
    :param domains: failure domain of each control VM.
    """

    nodes: tuple[NodeId, ...]
    seeds: tuple[NodeId, ...]
    target_voters: int | None
    domains: Mapping[NodeId, str]

    def place(self, node: NodeId) -> VoterPlace | None:
        """Place that a control VM announces."""
        if self.target_voters is None:
            return None
        return VoterPlace(Endpoint(node, 1), FailureDomainId(self.domains[node]))

    def jitter(self, node: NodeId, term: Term) -> float:
        """Random part of the election timeouts of a control VM in a term.

        The order of the voters rotates with the term. With a fixed one, the same split
        vote would repeat for ever.
        """
        position = (self.nodes.index(node) + term - FOUNDING_TERM) % len(self.nodes)
        return JITTERS[position % len(JITTERS)]


@dataclass(frozen=True, slots=True)
class Flight:
    """A message in flight.

    :param is_answer: whether it answers a request, so that it is lost if the process
        that sent the request has ended.
    """

    recipient: NodeId
    envelope: Envelope
    is_answer: bool


@dataclass(frozen=True, slots=True)
class LateFlight:
    """A message that is delivered late.

    :param due: tick at which it is delivered.
    """

    due: int
    flight: Flight


@dataclass(frozen=True, slots=True)
class Vm:
    """A control VM.

    :param state: state of its voter; ``None`` if no process runs.
    :param starts_at: tick at which the process starts again, if it does.
    :param cut_until: tick at which messages to and from it pass again.
    """

    disk: Disk
    state: VoterState | None = None
    starts_at: int | None = None
    cut_until: int = 0


@dataclass(frozen=True, slots=True)
class Leadership:
    """A voter that was elected."""

    node: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class VmHistory:
    """What happened to a control VM, as its operators know it.

    :param was_filled: whether it has ever had the time to get all data.
    :param filled_at: tick at which its disk has all data.
    :param removed_at: tick at which it was stopped for good.
    :param counts_until: tick until which it counts as lost all the same.
    :param is_undisturbed: whether nothing was lost since its planned stop began;
        ``None`` without a planned stop.
    :param returned_until: tick until which it has just returned, so that a planned stop
        is not undisturbed.
    :param started_at: tick of its first start.
    """

    was_filled: bool
    filled_at: int
    removed_at: int | None = None
    counts_until: int = 0
    is_undisturbed: bool | None = None
    returned_until: int = 0
    started_at: int = 0


@dataclass(slots=True)
class World:
    """Whole state of the system.

    :param histories: history of each control VM that was started.
    :param has_lost_too_many: whether more disks were lost at once than are tolerated.

    :param now: number of ticks since the start.
    :param committed: committed entries that follow the first snapshot.
    :param leaders: elected voter of each term.
    :param proposed: number of changes that were proposed.
    :param script_position: number of steps of the script that were taken.
    :param script_length: number of steps of the script.
    """

    site: Site
    founders: Mapping[NodeId, Incarnation]
    vms: dict[NodeId, Vm]
    now: int = 0
    flights: tuple[Flight, ...] = ()
    late: tuple[LateFlight, ...] = ()
    committed: tuple[LogEntry, ...] = ()
    leaders: dict[Term, Leadership] = field(default_factory=dict)
    proposed: int = 0
    script_position: int = 0
    script_length: int = 0
    histories: dict[NodeId, VmHistory] = field(default_factory=dict)
    has_lost_too_many: bool = False

    @property
    def time(self) -> Seconds:
        """Time of all clocks."""
        return Seconds(self.now * TICK)

    def copy(self) -> "World":
        """Copy that shares the voters until they are replaced."""
        return replace(self, vms=dict(self.vms))

    def state(self, node: NodeId) -> VoterState:
        """State of a voter that runs."""
        found = self.vms[node].state
        assert found is not None
        return found

    def running(self) -> list[NodeId]:
        """Control VMs whose process runs."""
        return [name for name, vm in self.vms.items() if vm.state is not None]

    def is_cut(self, node: NodeId) -> bool:
        """Whether messages to and from a control VM are lost."""
        return self.vms[node].cut_until > self.now


def load_state(world: World, node: NodeId, disk: Disk) -> VoterState:
    """State of a voter that starts from its disk."""
    site = world.site
    seeds = tuple(name for name in site.seeds if name != node)
    return make_voter_state(
        node,
        disk.incarnation,
        seeds,
        disk.vote,
        disk.snapshot,
        disk.entries,
        world.time,
        site.jitter(node, disk.vote.term),
        site.target_voters,
        site.place(node),
    )


_STATE_FIELDS = tuple(VoterState.__slots__)
_PROGRESS_FIELDS = tuple(Progress.__slots__)


def copy_voter(state: VoterState) -> VoterState:
    """Independent copy of the state of a voter."""
    copied = object.__new__(VoterState)
    for name in _STATE_FIELDS:
        setattr(copied, name, getattr(state, name))
    log = state.log
    entries = log.after(log.available_after)
    copied.log = ReplicatedLog(state.snapshot.revision, state.snapshot.term, entries)
    copied.members = dict(state.members)
    copied.votes = set(state.votes)
    copied.missing_vote_reasons = dict(state.missing_vote_reasons)
    copied.places = dict(state.places)
    copied.standbys = {k: _copy_progress(p) for k, p in state.standbys.items()}
    copied.progress = {k: _copy_progress(p) for k, p in state.progress.items()}
    return copied


def _copy_progress(progress: Progress) -> Progress:
    copied = object.__new__(Progress)
    for name in _PROGRESS_FIELDS:
        setattr(copied, name, getattr(progress, name))
    return copied
