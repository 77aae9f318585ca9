"""What happens to backend servers, their announcements and the control VMs."""

from dataclasses import dataclass

from hypothesis import strategies as st

NAMES, ADDRESSES, VMS = 4, 3, 3


@dataclass(frozen=True, slots=True)
class Pass:
    """Time passes, in which backend servers that run announce themselves."""

    ticks: int


@dataclass(frozen=True, slots=True)
class Start:
    """A backend server starts; its clock is ahead by ``clock`` milliseconds."""

    name: int
    address: int
    service: int
    clock: int


@dataclass(frozen=True, slots=True)
class Crash:
    """The backend server at an address ends without a word."""

    address: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The backend server at an address announces its shutdown and ends."""

    address: int
    is_lost: bool


@dataclass(frozen=True, slots=True)
class Drain:
    """The backend server at an address announces that it leaves, and serves on."""

    address: int


@dataclass(frozen=True, slots=True)
class Cut:
    """No control VM hears the backend server at an address for some ticks."""

    address: int
    ticks: int


@dataclass(frozen=True, slots=True)
class Late:
    """A copy of an earlier announcement arrives."""

    age: int
    vm: int


@dataclass(frozen=True, slots=True)
class LateDeparture:
    """The departure of a former boot of an id arrives."""

    name: int


@dataclass(frozen=True, slots=True)
class OtherWriter:
    """Something announces a boot that does not run.

    :param clock: ``None`` if it copies the boot that runs at the address.
    """

    name: int
    address: int
    service: int
    clock: int | None
    sequence: int
    vm: int


@dataclass(frozen=True, slots=True)
class ChangeLeader:
    """Another voter leads; entries that are not committed may be lost."""

    loses_entries: bool


@dataclass(frozen=True, slots=True)
class Learn:
    """The copy of a control VM catches up; until then it lags."""

    vm: int


Step = (
    Pass
    | Start
    | Crash
    | Leave
    | Drain
    | Cut
    | Late
    | LateDeparture
    | OtherWriter
    | ChangeLeader
    | Learn
)
names, addresses = st.integers(0, NAMES - 1), st.integers(0, ADDRESSES - 1)
services, vms = st.integers(0, 1), st.integers(0, VMS - 1)
clocks = st.sampled_from([-20_000, -4_000, -500, 0, 0, 2_000, 9_000, 40_000])
passes = st.builds(Pass, st.sampled_from([1, 2, 4, 8, 16, 40]))
events = st.one_of(
    st.builds(Start, names, addresses, services, clocks),
    st.builds(Start, names, addresses, services, clocks),
    st.builds(Crash, addresses),
    st.builds(Drain, addresses),
    st.builds(Leave, addresses, st.booleans()),
    st.builds(Cut, addresses, st.integers(1, 40)),
    st.builds(Late, st.integers(0, 40), vms),
    st.builds(Late, st.integers(0, 3), vms),
    st.builds(LateDeparture, names),
    st.builds(
        OtherWriter,
        names,
        addresses,
        services,
        st.one_of(st.none(), clocks),
        st.sampled_from([0, 5, 1_000_000]),
        vms,
    ),
    st.builds(ChangeLeader, st.booleans()),
    st.builds(Learn, vms),
)
steps = st.lists(st.one_of(passes, events), min_size=20, max_size=60)
