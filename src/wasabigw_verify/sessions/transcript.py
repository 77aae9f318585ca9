"""Runs a session and makes its transcript."""

from collections import Counter
from collections.abc import Iterator

from absl import logging

from wasabigw.core.ids import Revision
from wasabigw_verify import promises
from wasabigw_verify import record as r
from wasabigw_verify.sessions.deployed import DeploymentSimulation, frequent_snapshots
from wasabigw_verify.sessions.deployments import Deployment
from wasabigw_verify.sessions.scenarios import DRAIN_TIME, Scenario
from wasabigw_verify.sessions.transcript_writer import TranscriptWriter, describe

SEED = 1
MAX_SHOWN_VIOLATIONS = 5
"""Number of violations of each promise that are listed."""


def make_transcript(
    deployment: Deployment, scenario: Scenario, seed: int = SEED
) -> str:
    """Run a session and return its transcript."""
    simulation = DeploymentSimulation(deployment, seed)
    writer = TranscriptWriter(simulation)
    writer.start()
    simulation.start_processes()
    writer.add_line("operator-1", f"sends {describe(deployment.configuration())}")
    scenario.schedule(writer)
    # Log lines of the product would mix with the output of the program.
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    try:
        with frequent_snapshots():
            simulation.network.run(simulation.traffic_ends + DRAIN_TIME)
    finally:
        logging.set_verbosity(verbosity)
    _add_in_force_times(writer)
    lines = [*_header(deployment, scenario, seed), ""]
    lines += [str(line) for line in sorted(writer.lines)]
    lines += ["", *_counts(simulation), "", *_promise_results(simulation)]
    return "\n".join(lines) + "\n"


def _header(deployment: Deployment, scenario: Scenario, seed: int) -> Iterator[str]:
    yield f"{deployment.team}: {scenario.title} (seed {seed})"
    yield (
        f"{deployment.balancers} balancers in {', '.join(deployment.domains)}; one-way "
        f"{deployment.domain_latency * 1000:g} ms between failure domains, "
        f"{deployment.caller_latency * 1000:g} ms to callers"
    )
    yield (
        f"{deployment.first}: 7 backend servers with {deployment.slots} slots; "
        f"{deployment.second}: 3 with 2000 connections"
    )
    yield "Each line: time in seconds, who, what."


def in_force_times(writer: TranscriptWriter) -> Iterator[tuple[Revision, float, int]]:
    """Revision of each change, time at which it was in force, and number of balancers.

    Counts the balancers that ran from the commit of the change to the end of the run.
    Changes that one of them did not apply are left out.
    """
    simulation = writer.simulation
    started: dict[str, float] = {}
    for entry in simulation.record:
        if isinstance(entry, r.NodeStarted):
            started[entry.node] = entry.at
    for change in (e for e in simulation.record if isinstance(e, r.ChangeAccepted)):
        committed = writer.committed[change.revision]
        running = {n for n in simulation.balancers if started[n] <= committed}
        applied: dict[str, float] = {}
        for entry in simulation.record:
            if not isinstance(entry, r.RevisionApplied):
                continue
            if entry.node in running and entry.revision >= change.revision:
                applied.setdefault(entry.node, entry.at)
        if running and len(applied) == len(running):
            yield change.revision, max(applied.values()), len(running)


def _add_in_force_times(writer: TranscriptWriter) -> None:
    for revision, at, count in in_force_times(writer):
        took = at - writer.committed[revision]
        event = (
            f"revision {revision} in force at {count}, {took:.3f} s after its commit"
        )
        writer.add_line("balancers", event, at)


def _counts(simulation: DeploymentSimulation) -> Iterator[str]:
    kinds = Counter(type(entry) for entry in simulation.record)
    yield "Counts"
    for title, kind in (
        ("flows opened", r.FlowEstablished),
        ("flows closed", r.FlowClosed),
        ("flows lost", r.FlowLost),
        ("packets to backend servers", r.PacketDelivered),
        ("requests sent", r.RequestSent),
        ("requests run", r.RequestRun),
        ("requests answered", r.AnswerDelivered),
        ("requests refused", r.RequestRefused),
        ("changes accepted", r.ChangeAccepted),
    ):
        yield f"  {title:<28}{kinds[kind]:>7}"
    for service, count in sorted(simulation.refusals.items()):
        yield f"  {'openings refused, ' + service:<28}{count:>7}"
    for reason, count in sorted(
        simulation.drops.items(), key=lambda item: item[0].value
    ):
        yield f"  {'dropped, ' + reason.value:<28}{count:>7}"


def _promise_results(simulation: DeploymentSimulation) -> Iterator[str]:
    yield "Promises"
    for name, promise in promises.PROMISES.items():
        violations = list(promises.violations(promise, simulation.record))
        title = (type(promise).__doc__ or "").split(": ", 1)[1].rstrip(".")
        verdict = "holds" if not violations else f"BROKEN {len(violations)} times"
        yield f"  {name:<4}{verdict:<18}{title}"
        for at, message in violations[:MAX_SHOWN_VIOLATIONS]:
            yield f"      {at:8.3f}  {message}"
