"""What the troubles of a scenario do to the machines of a run."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from wasabigw_verify.evidence_model.boots import Boot
from wasabigw_verify.evidence_model.hosts import HostState
from wasabigw_verify.evidence_model.network import Leg
from wasabigw_verify.evidence_model.scenario import Disturbance, Trouble
from wasabigw_verify.evidence_model.world import World

SILENT_AFTER = 2.5
"""Seconds after the death of a boot after which its registration is silent."""
RESTART_AFTER = 0.3
LEAVE_BEFORE_STOP = 1.0
SLOW_PACKET_TIME = 0.02
CLOCK_BEHIND = 10_000
"""Milliseconds by which a clock may be behind that of the boot before."""
DRAIN_SECONDS = 2.0


def schedule(disturbances: Iterable[Disturbance], world: World) -> None:
    """Let disturbances begin when they are due."""
    for disturbance in disturbances:
        world.clock.after(disturbance.at, partial(_begin, disturbance, world))


def _begin(disturbance: Disturbance, world: World) -> None:
    world.note(f"DISTURBANCE {disturbance}")
    _TROUBLES[disturbance.trouble](world, disturbance)


def _suspend(world: World, disturbance: Disturbance) -> None:
    world.balancer_of(disturbance).suspend(disturbance.seconds)


def _slow(world: World, disturbance: Disturbance) -> None:
    balancer = world.balancer_of(disturbance)
    balancer.slow_until = world.clock.now + disturbance.seconds
    balancer.slow_packet_time = SLOW_PACKET_TIME


def _fail_sending(world: World, disturbance: Disturbance) -> None:
    balancer = world.balancer_of(disturbance)
    balancer.failing_until = world.clock.now + disturbance.seconds


def _hold_view(world: World, disturbance: Disturbance) -> None:
    number = disturbance.target % len(world.balancers)
    world.stale_until[number] = world.clock.now + disturbance.seconds


def _stop_balancer(world: World, disturbance: Disturbance) -> None:
    """Stop a balancer as planned, unless it is the last one."""
    balancer = world.balancer_of(disturbance)
    if len(world.ready_balancers()) < 2 or not balancer.is_in_rotation:
        return
    balancer.leave()
    world.clock.after(LEAVE_BEFORE_STOP, balancer.stop)


def _pause(world: World, disturbance: Disturbance) -> None:
    world.host_of(disturbance).pause(disturbance.seconds)


def _freeze(world: World, disturbance: Disturbance) -> None:
    world.host_of(disturbance).pause(disturbance.seconds, HostState.FROZEN)


def _kill(world: World, disturbance: Disturbance, after: HostState) -> None:
    """End the boot on a host."""
    host = world.host_of(disturbance)
    boot = host.boot
    if boot is None:
        return
    host.kill(after)
    world.callers_of_dead_boots_wait()
    _mark_silent_later(world, boot)


def _mark_silent_later(world: World, boot: Boot) -> None:
    world.clock.after(
        SILENT_AFTER, lambda: world.registrations.mark_silent(boot.report)
    )


def _killing(after: HostState) -> Callable[[World, Disturbance], None]:
    return lambda world, disturbance: _kill(world, disturbance, after)


def _restart(
    world: World, disturbance: Disturbance, name: str | None, clock_behind: int = 0
) -> None:
    """End the boot on a host and start another one there.

    :param name: id of the other one; ``None`` for the same.
    :param clock_behind: milliseconds by which its clock is behind the other's.
    """
    host = world.host_of(disturbance)
    if host.boot is None:
        return
    started = name or str(host.boot.id)
    _kill(world, disturbance, HostState.REFUSING)
    start = partial(world.start, clock_behind=clock_behind)
    world.clock.after(RESTART_AFTER, lambda: start(host.number, started))


def _restart_same(world: World, disturbance: Disturbance) -> None:
    _restart(world, disturbance, None)


def _restart_new(world: World, disturbance: Disturbance) -> None:
    _restart(world, disturbance, f"b-new-{disturbance.at}")


def _restart_behind(world: World, disturbance: Disturbance) -> None:
    _restart(world, disturbance, f"b-behind-{disturbance.at}", CLOCK_BEHIND)


def _announce_late(world: World, disturbance: Disturbance) -> None:
    """Let an announcement of a boot arrive after its death."""
    dead = world.dead_boots_at(world.host_of(disturbance))
    if dead:
        world.registrations.announce(dead[-1].report)
        _mark_silent_later(world, dead[-1])


def _drain(world: World, disturbance: Disturbance) -> None:
    """Let the boot on a host leave, and end it some time later."""
    host = world.host_of(disturbance)
    report = host.drain()
    if report is None:
        return
    world.registrations.announce(report)
    boot = host.boot

    def leave() -> None:
        if host.boot is boot:
            _kill(world, disturbance, HostState.REFUSING)

    world.clock.after(DRAIN_SECONDS, leave)


def _cut(world: World, leg: Leg, seconds: float) -> None:
    """Lose all packets on a leg for some time."""
    leg.cut_until = world.clock.now + seconds
    for host in world.hosts:
        host.disturb(seconds)


def _cut_to_balancers(world: World, disturbance: Disturbance) -> None:
    world.to_balancers.cut_until = world.clock.now + disturbance.seconds


def _cut_to_servers(world: World, disturbance: Disturbance) -> None:
    for path in world.paths.values():
        _cut(world, path, disturbance.seconds)


def _cut_to_callers(world: World, disturbance: Disturbance) -> None:
    _cut(world, world.to_callers, disturbance.seconds)


def _cut_path(world: World, disturbance: Disturbance) -> None:
    path = world.path_of(disturbance)
    path.cut_until = world.clock.now + disturbance.seconds
    world.host_of(disturbance).disturb(disturbance.seconds)


def _impair_path(world: World, disturbance: Disturbance) -> None:
    path = world.path_of(disturbance)
    before = path.quality
    path.quality = replace(before, loss=0.5)
    world.host_of(disturbance).disturb(disturbance.seconds)

    def mend() -> None:
        path.quality = before

    world.clock.after(disturbance.seconds, mend)


def _lose_resets(world: World, disturbance: Disturbance) -> None:
    world.resets_lost_until = world.clock.now + disturbance.seconds


_TROUBLES: dict[Trouble, Callable[[World, Disturbance], None]] = {
    Trouble.SUSPEND_BALANCER: _suspend,
    Trouble.SLOW_BALANCER: _slow,
    Trouble.FAIL_SENDING: _fail_sending,
    Trouble.STALE_VIEW: _hold_view,
    Trouble.STOP_BALANCER: _stop_balancer,
    Trouble.PAUSE_SERVER: _pause,
    Trouble.FREEZE_HOST: _freeze,
    Trouble.SILENCE_HOST: _killing(HostState.SILENT),
    Trouble.KILL_SERVER: _killing(HostState.REFUSING),
    Trouble.RESET_BY_HOST: _killing(HostState.RESETTING),
    Trouble.RESTART_SAME_ID: _restart_same,
    Trouble.RESTART_NEW_ID: _restart_new,
    Trouble.RESTART_CLOCK_BEHIND: _restart_behind,
    Trouble.LATE_ANNOUNCEMENT: _announce_late,
    Trouble.DRAIN_SERVER: _drain,
    Trouble.CUT_TO_BALANCERS: _cut_to_balancers,
    Trouble.CUT_TO_SERVERS: _cut_to_servers,
    Trouble.LOSE_RESETS: _lose_resets,
    Trouble.CUT_PATH: _cut_path,
    Trouble.IMPAIR_PATH: _impair_path,
    Trouble.CUT_TO_CALLERS: _cut_to_callers,
}
