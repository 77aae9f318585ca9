"""Transcript of a session: lines with a time, an actor and an event."""

from collections import Counter
from dataclasses import dataclass, field

from wasabigw.core import commands as c
from wasabigw.core.cluster import NO_REVISION, Applied, ClusterState
from wasabigw.core.commands import Change
from wasabigw.core.ids import NodeId, Revision
from wasabigw.core.view_lease import is_fresh
from wasabigw_verify import record as r
from wasabigw_verify.sessions.deployed import DeploymentSimulation, Outcome
from wasabigw_verify.sessions.log_changes import StateSummary, differences, summarize

SAMPLE_PERIOD = 0.1
SUMMARY_PERIOD = 5.0
REPORTING_START = 4.0
"""Seconds after the start from which changes of views and leaders are reported."""


@dataclass(order=True, frozen=True, slots=True)
class Line:
    """A line of the transcript; lines are ordered by time, then by number."""

    at: float
    number: int
    actor: str
    event: str

    def __str__(self) -> str:
        return f"{self.at:8.3f}  {self.actor:<14} {self.event}"


@dataclass(slots=True)
class TranscriptWriter:
    """Observes a simulation and collects the lines of its transcript.

    :ivar committed: time at which each revision was first applied.
    """

    simulation: DeploymentSimulation
    lines: list[Line] = field(default_factory=list)
    committed: dict[Revision, float] = field(default_factory=dict)
    _last_state: StateSummary = field(default_factory=StateSummary)
    _highest: Revision = NO_REVISION
    _leader: NodeId | None = None
    _stale_count: int = 0
    _summarized_entries: int = 0
    _refused: Counter[str] = field(default_factory=Counter)
    _dropped: Counter[str] = field(default_factory=Counter)

    def start(self) -> None:
        """Register the observers; must be called before the simulation runs."""
        self.simulation.on_applied = self._add_log_changes
        self.simulation.at(SAMPLE_PERIOD, self._sample)
        self.simulation.at(SUMMARY_PERIOD, self._add_summary)

    def add_line(self, actor: str, event: str, at: float | None = None) -> None:
        """Add a line to the transcript, by default with the current time."""
        time = self.simulation.network.now if at is None else at
        self.lines.append(Line(time, len(self.lines), actor, event))

    def send_change(
        self,
        actor: str,
        change: Change,
        expected: Revision | None = None,
        lost: int = 0,
    ) -> None:
        """Let an operator send a change, and add lines on it and its outcome.

        :param lost: number of answers that do not reach the operator.
        """
        expectation = "" if expected is None else f", expecting revision {expected}"
        answers = "answer is" if lost == 1 else f"{lost} answers are"
        resending = f"; the first {answers} lost and it is resent" if lost else ""
        self.add_line(actor, f"sends {describe(change)}{expectation}{resending}")

        def done(outcome: Outcome) -> None:
            if isinstance(outcome, Applied):
                self.add_line(actor, f"accepted at revision {outcome.revision}")
            else:
                self.add_line(
                    actor, f"refused, {outcome.code.value}: {outcome.message}"
                )

        self.simulation.send_change(change, expected, lost, done)

    def _add_log_changes(
        self, node: NodeId, revision: Revision, state: ClusterState
    ) -> None:
        if revision <= self._highest:
            return
        self._highest = revision
        now = self.simulation.network.now
        self.committed[revision] = now
        after = summarize(state)
        for event in differences(self._last_state, after):
            self.add_line(f"log r{revision}", event)
        self._last_state = after

    def _sample(self) -> None:
        simulation = self.simulation
        now = simulation.network.now
        if now >= REPORTING_START:
            leader = simulation.leader()
            if leader != self._leader:
                text = f"{leader} leads" if leader else "no voter leads"
                self.add_line("control", text)
                self._leader = leader
            views = [b.state.view for b in simulation.balancers.values()]
            stale = sum(not is_fresh(view, now) for view in views)
            if stale != self._stale_count:
                text = f"{stale} of {len(views)} have a stale view"
                self.add_line("balancers", text)
                self._stale_count = stale
        simulation.network.call_later(SAMPLE_PERIOD, self._sample)

    def _add_summary(self) -> None:
        simulation = self.simulation
        new = simulation.record[self._summarized_entries :]
        self._summarized_entries = len(simulation.record)
        kinds = Counter(type(entry) for entry in new)
        refused = Counter({str(k): n for k, n in simulation.refusals.items()})
        dropped = Counter({k.value: n for k, n in simulation.drops.items()})
        text = (
            f"{kinds[r.FlowEstablished]} opened, {kinds[r.FlowClosed]} closed, "
            f"{kinds[r.FlowLost]} lost; requests: {kinds[r.RequestSent]} sent, "
            f"{kinds[r.AnswerDelivered]} answered, {kinds[r.RequestRefused]} refused"
        )
        if any(kinds[k] for k in (r.RequestSent, r.FlowClosed, r.FlowLost)):
            self.add_line("flows", text)
            self._add_counts("openings refused", refused - self._refused)
            self._add_counts("packets dropped", dropped - self._dropped)
            self.add_line("load", self._describe_loads())
        self._refused, self._dropped = refused, dropped
        simulation.network.call_later(SUMMARY_PERIOD, self._add_summary)

    def _add_counts(self, event: str, counts: Counter[str]) -> None:
        if counts:
            texts = ", ".join(f"{name} {n}" for name, n in sorted(counts.items()))
            self.add_line("flows", f"{event}: {texts}")

    def _describe_loads(self) -> str:
        deployment = self.simulation.deployment
        texts = []
        for service in (deployment.first, deployment.second):
            servers = [
                s
                for s in self.simulation.backend_servers.values()
                if s.service == service
            ]
            loads = " ".join(f"{len(s.flows)}/{s.current_capacity}" for s in servers)
            texts.append(f"{service} {loads}")
        return "open flows / bearable: " + "; ".join(texts)


def describe(change: Change) -> str:
    """Description of a change in one line."""
    name = type(change).__name__
    match change:
        case c.CreateService(service) | c.UpdateService(service):
            return f"{name}({service.id}, deadline {service.request_deadline:g} s)"
        case c.SetServiceFailureDomains(served, domains):
            return f"{name}({served}: {', '.join(domains)})"
        case c.RemoveService(subject):
            return f"{name}({subject})"
        case c.TakeFailureDomainOut(subject) | c.BringFailureDomainBack(subject):
            return f"{name}({subject})"
        case c.DrainBackendServer(subject) | c.DrainBalancer(subject):
            return f"{name}({subject})"
        case c.ReplaceConfiguration(services, domains):
            return f"{name}({len(services)} services, {len(domains)} failure domains)"
