"""Steps of a run: regular ones, steps of a script, and faults."""

from dataclasses import dataclass

from wasabigw.core.ids import NodeId


@dataclass(frozen=True, slots=True)
class Continue:
    """Deliver the oldest message, or advance time by a tick if there is none."""


@dataclass(frozen=True, slots=True)
class Lose:
    """Lose the oldest message."""


@dataclass(frozen=True, slots=True)
class Delay:
    """Deliver the oldest message late, 0 ticks later behind the others in flight."""

    ticks: int


@dataclass(frozen=True, slots=True)
class Crash:
    """End a process.

    :param down: ticks until it starts again from its disk; ``None`` if it never does.
    :param loses_sent: whether the messages that it has sent are lost as well.
    """

    node: NodeId
    down: int | None
    loses_sent: bool


@dataclass(frozen=True, slots=True)
class CrashDuringEvent:
    """Deliver the oldest message, and end the recipient's process before all is done.

    :param effects: number of effects that are executed, in their order.
    :param down: ticks until it starts again from its disk; ``None`` if it never does.
    """

    effects: int
    down: int | None


@dataclass(frozen=True, slots=True)
class Cut:
    """Lose all messages to and from a control VM for some ticks.

    A leader that is cut off steps down after the shortest election timeout.
    """

    node: NodeId
    ticks: int


@dataclass(frozen=True, slots=True)
class PowerLoss:
    """End all processes and start them again, some of them with empty disks.

    :param lost_start: whether the control VMs with lost disks start again at all.
    """

    lost_disks: tuple[NodeId, ...]
    lost_start: bool


@dataclass(frozen=True, slots=True)
class PostponeElection:
    """Let the election timer of a voter run out later than those of the others."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot at a voter."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class Start:
    """Start the process of a control VM from its disk."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop a control VM for good."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class Terminate:
    """Stop a control VM for good as planned; its process ends once it may."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class ReplaceDisk:
    """Restart a control VM with an empty disk."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose a change at the current leader, if there is one."""


Step = (
    Continue
    | Lose
    | Delay
    | Crash
    | CrashDuringEvent
    | Cut
    | PowerLoss
    | PostponeElection
    | TakeSnapshot
    | Start
    | Stop
    | Terminate
    | ReplaceDisk
    | Propose
)


@dataclass(frozen=True, slots=True)
class ScriptedStep:
    """A step that every run takes.

    :param tick: tick at which it is taken.
    """

    tick: int
    step: Step
