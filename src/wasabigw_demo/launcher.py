"""Development launcher: starts all processes, injects faults, and checks the run.

Only the launcher starts processes; all of them use loopback.
"""

import signal
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import FrameType

from wasabigw.core.ids import Seconds
from wasabigw_demo._commands import TrafficOptions
from wasabigw_demo._layout import Layout, make_layout
from wasabigw_demo._outcome import Observations, read_outcome
from wasabigw_demo._probes import run_probes
from wasabigw_demo._report import print_report
from wasabigw_demo._system import DemoFailedError, System

TIME_LIMIT = Seconds(56.0)
"""Time from the start of the launcher within which all traffic has to end."""
INTERRUPTED_CODE = 130

# Seconds after the start of the callers.
KILL_AT = Seconds(5.0)
PROBE_AT = Seconds(2.0)
DRAIN_AT = Seconds(12.0)
KILLED_BALANCER = 1
"""Index of the balancer that is killed; it is one of two in its failure domain."""
DRAINED_SERVER = 1


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """Command line options of the launcher.

    :param drop: probability that the fabric drops a packet.
    :param duplicate: probability that the fabric duplicates a packet.
    :param delay: maximum delay of a packet in seconds.
    :param keep: whether the temporary folder is kept.
    """

    seed: int = 1
    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    keep: bool = False


def run_demo(options: DemoOptions) -> int:
    """Run the demonstration; returns the exit code."""
    started_at = time.monotonic()
    signal.signal(signal.SIGTERM, raise_interrupt)
    with run_folder(options.keep) as folder:
        layout = make_layout(folder)
        try:
            observations = _run(layout, options, Seconds(started_at + TIME_LIMIT))
        except DemoFailedError as error:
            print(f"\nThe demonstration stopped: {error}")
            return 1
        except KeyboardInterrupt:
            print("\nThe demonstration was interrupted; its processes were ended.")
            return INTERRUPTED_CODE
        passed = print_report(layout, read_outcome(layout, observations))
        seconds = time.monotonic() - started_at
        print(f"\n{'PASSED' if passed else 'FAILED'} in {seconds:.1f} s")
        return 0 if passed else 1


def _run(layout: Layout, options: DemoOptions, deadline: Seconds) -> Observations:
    traffic = TrafficOptions(
        options.seed, options.drop, options.duplicate, options.delay, spread=True
    )
    with System(layout, traffic, print_step) as system:
        system.start_all_but_callers()
        started_at = time.monotonic()
        system.start_callers()
        sleep_until(started_at + PROBE_AT)
        probes = run_probes(layout, system.children)
        print_step(f"tried {len(probes)} kinds of invalid input")
        sleep_until(started_at + KILL_AT)
        _kill_balancer(system)
        sleep_until(started_at + DRAIN_AT)
        drained = layout.backend_servers[DRAINED_SERVER].id
        system.terminate(drained, signal.SIGTERM)
        print_step(f"draining {drained}")
        system.wait_for_callers(Seconds(deadline - time.monotonic()))
        print_step("callers have ended")
        code = system.children.wait(drained, Seconds(deadline - time.monotonic()))
        return Observations(probes, code, system.unexpected_ends())


def _kill_balancer(system: System) -> None:
    killed = system.layout.balancers[KILLED_BALANCER].id
    system.terminate(killed, signal.SIGKILL)
    system.notify_fabric("gone", killed)
    print_step(f"killed {killed}; the fabric notices after its health check")


@contextmanager
def run_folder(keep: bool) -> Iterator[Path]:
    """Create a folder for the files of a run.

    :param keep: whether the folder is kept after the run.
    """
    if keep:
        folder = Path(tempfile.mkdtemp(prefix="wasabigw-demo-"))
        print(f"settings, records and logs are kept in {folder}")
        yield folder
        return
    with tempfile.TemporaryDirectory(prefix="wasabigw-demo-") as name:
        yield Path(name)


def sleep_until(at: float) -> None:
    """Sleep until a monotonic time."""
    time.sleep(max(0.0, at - time.monotonic()))


def print_step(text: str) -> None:
    """Print a step of the run with the time of day."""
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def raise_interrupt(number: int, frame: FrameType | None) -> None:
    """Handle SIGTERM like SIGINT, so that the child processes are stopped."""
    raise KeyboardInterrupt
