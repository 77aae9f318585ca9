"""One home, and a backend server that restarts, is cut off, and announces itself.

The home and the replicated state of the product meet announcements that are late or
doubled, pauses of the home, a home without contact to the control VMs, and cuts
between the backend server and its home. Callers are served during all of them: the
answers reach the home through other balancers.

Two cases are played only on request, because the rule does not hold for them (issue
36): a backend server that is cut off from its home while it answers no caller, and one
that is cut off while announcements of a crashed boot at its endpoint arrive late at
several times.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabigw.core import backend_home
from wasabigw.core.apply import apply
from wasabigw.core.cluster import (
    ClusterState,
    Endpoint,
    FailureDomain,
    Node,
    Service,
)
from wasabigw.core.commands import (
    ChangeRequest,
    Command,
    NodeUp,
    ReplaceConfiguration,
    Report,
    ReportBatch,
)
from wasabigw.core.home_events import (
    AnnouncementReceived,
    HomeEvent,
    HomesChanged,
    HomeTick,
    SendReports,
)
from wasabigw.core.ids import (
    NO_REVISION,
    BackendServerId,
    BootId,
    FailureDomainId,
    Incarnation,
    NodeId,
    RegionId,
    RequestId,
    Revision,
    Seconds,
    ServiceId,
)
from wasabigw.core.log_messages import Announcement
from wasabigw.core.states import BackendServerState, Protocol
from wasabigw.core.timing import ANNOUNCE_INTERVAL, ANNOUNCE_LEASE, VIEW_LEASE

TICK = 0.25
COMMIT_TICKS = 2
"""Ticks after which a report is committed and applied at the home."""
MAX_WAIT = ANNOUNCE_LEASE + 2 * ANNOUNCE_INTERVAL + (COMMIT_TICKS + 1) * TICK
"""Longest time until a backend server that the home hears is registered."""

_HOME = NodeId("home")
_SERVER = BackendServerId("server")
_SERVICE = ServiceId("seats")
_DOMAIN = FailureDomainId("recife")


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes."""

    ticks: int


@dataclass(frozen=True, slots=True)
class Restart:
    """The backend server crashes and starts again, perhaps at another address."""

    address: int


@dataclass(frozen=True, slots=True)
class Late:
    """Copies of an earlier announcement arrive at once.

    :param is_crashed: whether it is one of an earlier boot.
    """

    age: int
    copies: int
    is_crashed: bool = True


@dataclass(frozen=True, slots=True)
class Cut:
    """The home and the backend server do not reach each other for some ticks."""

    ticks: int


@dataclass(frozen=True, slots=True)
class Pause:
    """The home is suspended.

    :param held: whether announcements wait for it; otherwise they are lost.
    """

    ticks: int
    held: bool


@dataclass(frozen=True, slots=True)
class Isolate:
    """The home has no contact to the control VMs for some ticks."""

    ticks: int


@dataclass(slots=True)
class _PendingEntry:
    reports: tuple[Report, ...]
    ticks: int


@dataclass(slots=True)
class HomeModel:
    """The home, its backend server, and a judge that knows which boot runs.

    :param is_idle: whether the backend server answers no caller.
    :param late_often: whether late announcements arrive at several times of a cut.
    :param learned: revision that the home has applied.
    :param has_been_registered: whether the boot that runs was registered.
    :param heard_since: from when on the home hears it and nothing else.
    """

    is_idle: bool = False
    late_often: bool = False
    now: float = 100.0
    cluster: ClusterState = field(default_factory=ClusterState)
    boots: int = 0
    address: int = 0
    cut_until: float = 0.0
    paused_until: float = 0.0
    isolated_until: float = 0.0
    holds: bool = False
    late_during_cut: bool = False
    has_been_registered: bool = False
    heard_since: float = 0.0
    next_announcement: float = 0.0
    sent: list[Announcement] = field(default_factory=list)
    held: list[Announcement] = field(default_factory=list)
    learned: Revision = NO_REVISION
    pending: list[_PendingEntry] = field(default_factory=list)
    home: backend_home.HomeState = field(init=False)

    def __post_init__(self) -> None:
        self.home = backend_home.make_home_state(_HOME)
        endpoint = Endpoint("10.9.0.1", 80)
        service = Service(_SERVICE, endpoint, Protocol.TCP, (_DOMAIN,))
        domain = FailureDomain(_DOMAIN, RegionId("ne"))
        change = ReplaceConfiguration((service,), (domain,))
        self.apply(ChangeRequest(RequestId("first"), Revision(0), change))
        here = Endpoint("10.8.0.1", 6081)
        node = Node(_HOME, _DOMAIN, here, here, Incarnation("1"))
        self.apply(ReportBatch((NodeUp(node),)))
        self.do(Restart(0))

    def do(self, step: object) -> None:
        """Play a step."""
        match step:
            case Pass(ticks):
                for _ in range(ticks):
                    self.tick()
            case Restart(address):
                self.boots += 1
                self.address = address
                self.has_been_registered = False
                self.heard_since = self.next_announcement = self.now
            case Late(age, copies, is_crashed) if self.now >= self.paused_until:
                found = [
                    announcement
                    for announcement in self.sent
                    if (announcement.boot_id != self.boot_id) is is_crashed
                ]
                if found:
                    self.deliver_late(found[-1 - age % len(found)], copies)
            case Cut(ticks):
                self.cut_until = max(self.cut_until, self.now + ticks * TICK)
            case Pause(ticks, held):
                self.paused_until = max(self.paused_until, self.now + ticks * TICK)
                self.holds = held
            case Isolate(ticks):
                until = self.now + ticks * TICK
                self.isolated_until = max(self.isolated_until, until)

    def deliver_late(self, announcement: Announcement, copies: int) -> None:
        """Deliver copies, and to a home that does not hear the server only once."""
        is_other = announcement.boot_id != self.boot_id
        competes = is_other and announcement.endpoint == self.endpoint
        if competes and self.now < self.cut_until + ANNOUNCE_LEASE:
            if self.late_during_cut and not self.late_often:
                return
            self.late_during_cut = True
        for _ in range(copies):
            self.deliver(announcement)
        if is_other:
            self.heard_since = self.now

    @property
    def boot_id(self) -> BootId:
        """Boot that runs."""
        return BootId(f"boot-{self.boots}")

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of the boot that runs."""
        return Endpoint(f"10.0.0.{1 + self.address}", 80)

    def tick(self) -> None:
        """Let time pass, in which the server announces itself and serves callers."""
        self.now += TICK
        self.commit_due()
        is_paused = self.now < self.paused_until
        if not is_paused:
            self.run_home()
        if self.now >= self.next_announcement:
            self.next_announcement = self.now + ANNOUNCE_INTERVAL
            self.announce(is_paused)
        if is_paused or self.now < max(self.cut_until, self.isolated_until):
            self.heard_since = self.now
        if self.now >= self.cut_until + ANNOUNCE_LEASE:
            self.late_during_cut = False
        self.judge()

    def run_home(self) -> None:
        """Let the home learn of the log first, and then handle what waited for it."""
        now = Seconds(self.now)
        if self.now >= self.isolated_until:
            backend_home.confirm_view(self.home, Seconds(now + VIEW_LEASE))
            if self.learned != self.cluster.revision:
                self.learned = self.cluster.revision
                self.handle(HomesChanged(self.cluster, now))
        self.handle(HomeTick(now))
        for announcement in self.held:
            self.deliver(announcement)
        self.held.clear()
        server = self.cluster.backend_servers.get(_SERVER)
        is_current = server is not None and server.endpoint == self.endpoint
        if is_current and not self.is_idle:
            backend_home.observe_answer(self.home, _SERVER, now)

    def announce(self, is_paused: bool) -> None:
        """Send an announcement, which a cut or a pause may keep from the home."""
        announcement = Announcement(
            _SERVER,
            _SERVICE,
            _DOMAIN,
            self.endpoint,
            self.boot_id,
            BackendServerState.READY,
            4,
            400,
        )
        self.sent.append(announcement)
        if self.now < self.cut_until:
            return
        if not is_paused:
            self.deliver(announcement)
        elif self.holds:
            self.held.append(announcement)

    def deliver(self, announcement: Announcement) -> None:
        """Deliver an announcement to the home."""
        self.handle(AnnouncementReceived(announcement, Seconds(self.now)))

    def handle(self, event: HomeEvent) -> None:
        """Let the home handle an event, and propose its reports."""
        for decision in backend_home.handle(event, self.home):
            if isinstance(decision, SendReports):
                self.pending.append(_PendingEntry(decision.reports, COMMIT_TICKS))

    def commit_due(self) -> None:
        """Commit the reports that are due; an isolated home sends none."""
        if self.now < self.isolated_until:
            return
        for entry in self.pending:
            entry.ticks -= 1
        while self.pending and self.pending[0].ticks <= 0:
            self.apply(ReportBatch(self.pending.pop(0).reports))

    def apply(self, command: Command) -> None:
        """Apply an entry to the replicated state."""
        apply(command, Revision(self.cluster.revision + 1), self.cluster)

    def judge(self) -> None:
        """Check that the boot that runs is registered, and stays so."""
        server = self.cluster.backend_servers.get(_SERVER)
        is_registered = server is not None and server.boot_id == self.boot_id
        if self.has_been_registered:
            assert is_registered, f"the flows of {self.boot_id} ended: {server}"
        elif self.now > self.heard_since + MAX_WAIT:
            assert is_registered, f"{self.boot_id} is not registered: {server}"
        self.has_been_registered = is_registered


def play(steps: Iterable[object]) -> None:
    """Play steps with a backend server that answers callers."""
    play_with(HomeModel(), steps)


def play_with(model: HomeModel, steps: Iterable[object]) -> None:
    """Play steps, and a quiet time in which the last boot has to be registered."""
    for step in [*steps, Pass(60)]:
        model.do(step)
