"""Which steps find each planted fault, and why some are not found."""

from wasabigw_verify.registration_model.steps import (
    Cut,
    Drain,
    Late,
    OtherWriter,
    Pass,
    Start,
    Step,
)

LATE_SEQUENCE = 1_000_000
"""Sequence number after all those of the boot itself."""


def _entry(name: int, address: int, service: int, clock: int | None) -> OtherWriter:
    """Announcement of a boot that does not run, unless it copies the one that does."""
    return OtherWriter(name, address, service, clock, 0, 0)


STEPS: dict[str, tuple[Step, ...]] = {
    "silent boot is preferred": (Start(0, 1, 0, -20_000), _entry(0, 0, 0, None)),
    "boot in use is preferred to one that started later": (
        _entry(0, 0, 0, None),
        Start(0, 0, 0, 0),
    ),
    "superseded boot is forgotten": (
        Start(0, 1, 0, -20_000),
        Pass(2),
        _entry(0, 0, 0, None),
    ),
    "late report undoes a drain": (
        Start(0, 0, 0, 0),
        Pass(8),
        Drain(0),
        Pass(8),
        Cut(0, 200),
        Pass(20),
        Late(7, 0),
        Pass(8),
    ),
    "boot in use is forgotten": (
        Start(0, 0, 0, 0),
        Pass(8),
        Cut(0, 400),
        Pass(110),
        OtherWriter(0, 0, 0, None, LATE_SEQUENCE, 0),
        Pass(6),
    ),
    "boot that started again counts as the same": (
        _entry(0, 1, 1, None),
        Start(0, 1, 1, -20_000),
    ),
    "boot at another endpoint counts as the same": (
        _entry(1, 0, 0, None),
        Start(1, 1, 0, 0),
    ),
    "boot of another service counts as the same": (
        _entry(0, 0, 0, None),
        Start(0, 0, 1, 0),
    ),
    "boot that held the endpoint stays in use": (
        Start(1, 0, 0, -20_000),
        _entry(0, 0, 0, -20_000),
    ),
}
"""Steps that break with the fault and hold without it, by the name of the fault."""

NOT_FOUND = {
    "latest announcement is preferred": (
        "open: a late announcement takes the new flows until the next heartbeat of the "
        "live boot, which the judge allows; open flows stay"
    ),
    "superseded boot has ended": (
        "protected twice: balancers deliver packets with the tag of an ended boot"
    ),
    "silence of a former boot counts": (
        "open: the boot gets no new flows until its next heartbeat, which the judge "
        "allows; open flows stay"
    ),
    "superseded boot is not taken back": (
        "keeps flows: the boot has two tags then, and both reach it"
    ),
}
"""Why no steps find the other faults, by reading; a search did not find them."""
