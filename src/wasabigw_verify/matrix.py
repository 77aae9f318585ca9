"""Matrix of faults and the steps at which they strike: ``python -m``."""

import sys
import time

from absl import logging

from wasabigw_verify.harness.faults import STRIKES, Fault
from wasabigw_verify.harness.run import Blow, Run
from wasabigw_verify.harness.steps import Step


def main() -> int:
    logging.set_verbosity(logging.FATAL)
    for fault in Fault:
        for step in Step:
            t = time.time()
            try:
                run = Run(1, [Blow(STRIKES[fault], step)])
                found = run.execute()
            except Exception as error:
                import traceback

                tb = traceback.extract_tb(error.__traceback__)[-1]
                found = [
                    f"EXC {type(error).__name__} {error} {tb.filename}:{tb.lineno}"
                ]
            print(
                f"{fault.value:45} {step.value:22} {time.time() - t:.1f} {len(found)} {found[:3]}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
