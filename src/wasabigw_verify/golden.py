"""Golden files of all sessions; ``python -m wasabigw_verify.golden`` writes them."""

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from wasabigw_verify.sessions.deployments import DEPLOYMENTS
from wasabigw_verify.sessions.scenarios import SCENARIOS
from wasabigw_verify.sessions.transcript import make_transcript

FOLDER = Path("tests/golden")
WORKERS = 3


def file_names() -> Iterator[str]:
    """Name of each golden file."""
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            yield f"{deployment.key}-{scenario.key}.txt"


def render(name: str) -> str:
    """Run the session of a golden file and return its transcript."""
    for deployment in DEPLOYMENTS:
        for scenario in SCENARIOS:
            if name == f"{deployment.key}-{scenario.key}.txt":
                return make_transcript(deployment, scenario)
    raise ValueError(f"no session has the golden file {name}")


def main(folder: Path = FOLDER) -> int:
    """Write all golden files."""
    folder.mkdir(parents=True, exist_ok=True)
    with ProcessPoolExecutor(WORKERS) as pool:
        for name, text in zip(
            file_names(), pool.map(render, file_names()), strict=True
        ):
            (folder / name).write_text(text, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
