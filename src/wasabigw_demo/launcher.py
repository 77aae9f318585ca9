"""Development launcher: starts every process, disturbs them, and judges the run.

Only the launcher starts processes; all of them are on loopback.
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
from wasabigw_demo._outcome import Observed, read_outcome
from wasabigw_demo._probes import run_probes
from wasabigw_demo._report import print_report
from wasabigw_demo._system import DemoFailedError, System

TIME_LIMIT = Seconds(56.0)
"""Time from the start in which all traffic has to end."""
INTERRUPTED_CODE = 130

KILL_AT = Seconds(5.0)
PROBE_AT = Seconds(2.0)
DRAIN_AT = Seconds(12.0)
KILLED_BALANCER = 1
"""Index of the balancer that is killed: one of two in its failure domain."""
DRAINED_BACKEND = 1


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """What the command line of the launcher chooses.

    :param keep: whether the temporary folder is kept.
    """

    seed: int = 1
    drop: float = 0.0
    duplicate: float = 0.0
    delay: float = 0.0
    keep: bool = False


def run_demo(options: DemoOptions) -> int:
    """Run the demonstration; returns the exit code."""
    began = time.monotonic()
    signal.signal(signal.SIGTERM, interrupt)
    with run_folder(options.keep) as folder:
        layout = make_layout(folder)
        try:
            observed = _run(layout, options, Seconds(began + TIME_LIMIT))
        except DemoFailedError as error:
            print(f"\nThe demonstration stopped: {error}")
            return 1
        except KeyboardInterrupt:
            print("\nThe demonstration was interrupted; its processes were ended.")
            return INTERRUPTED_CODE
        passed = print_report(layout, read_outcome(layout, observed))
        seconds = time.monotonic() - began
        print(f"\n{'PASSED' if passed else 'FAILED'} in {seconds:.1f} s")
        return 0 if passed else 1


def _run(layout: Layout, options: DemoOptions, deadline: Seconds) -> Observed:
    traffic = TrafficOptions(
        options.seed, options.drop, options.duplicate, options.delay, spread=True
    )
    with System(layout, traffic, say) as system:
        system.start_everything()
        began = time.monotonic()
        system.start_callers()
        sleep_until(began + PROBE_AT)
        probes = run_probes(layout, system.children)
        say(f"tried {len(probes)} kinds of invalid input")
        sleep_until(began + KILL_AT)
        _kill_balancer(system)
        sleep_until(began + DRAIN_AT)
        drained = layout.backends[DRAINED_BACKEND].id
        system.end(drained, signal.SIGTERM)
        say(f"draining {drained}")
        system.wait_for_callers(Seconds(deadline - time.monotonic()))
        say("callers have ended")
        code = system.children.wait(drained, Seconds(deadline - time.monotonic()))
        return Observed(probes, code, system.unexpected_ends())


def _kill_balancer(system: System) -> None:
    killed = system.layout.balancers[KILLED_BALANCER].id
    system.end(killed, signal.SIGKILL)
    system.tell_fabric("gone", killed)
    say(f"killed {killed}; the fabric notices after its health check")


@contextmanager
def run_folder(keep: bool) -> Iterator[Path]:
    """Folder for the files of a run.

    :param keep: whether it stays after the run.
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


def say(text: str) -> None:
    """Print a step with its time of day."""
    print(f"{time.strftime('%H:%M:%S')} {text}", flush=True)


def interrupt(number: int, frame: FrameType | None) -> None:
    """Handle SIGTERM like SIGINT, so that the processes are ended."""
    raise KeyboardInterrupt
