"""Runs of the model: one of given steps, and many at random."""

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from unittest import mock

from hypothesis import HealthCheck, Phase, given, seed, settings

from wasabigw_verify.registration_model.deployment import RETENTION, Deployment
from wasabigw_verify.registration_model.steps import Pass, steps


@contextmanager
def short_retention() -> Iterator[None]:
    """Let boots be forgotten within a run."""
    with mock.patch("wasabigw.core.registrar.BOOT_RETENTION_TIME", RETENTION):
        yield


def play(taken: Sequence[object]) -> None:
    """Run the steps, and a quiet time in which all servers must come into use."""
    with short_retention():
        run = Deployment()
        for step in [*taken, Pass(40)]:
            run.do(step)


def search(examples: int, start: int) -> None:
    """Play examples at random without shrinking."""
    settings(
        max_examples=examples,
        phases=(Phase.generate,),
        database=None,
        derandomize=False,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )(seed(start)(given(steps)(play)))()
