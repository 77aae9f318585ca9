"""Only the adapter contains names of the platform's formats and API."""

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NAMES = re.compile(
    r"""path-prefix|traffic-split|route-type|target-latency|max-attempts
    |datagram-address|readiness-address|heartbeat-address|internal-port-range
    |cold-remaining|warmup-per|heartbeat-interval|node-name|machine-class
    |/configuration\b|/evacuation|/instances|WASABIGW_CONFIG|X-Wasabigw
    |fleetbench""",
    re.VERBOSE | re.IGNORECASE,
)


class PlatformNames(unittest.TestCase):
    """Guards against code outside the adapter that depends on the platform."""

    def test_sources_outside_the_adapter_contain_no_platform_names(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
            for path in sorted((ROOT / "src").rglob("*.py"))
            for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
            if NAMES.search(line)
        ]
        self.assertEqual(found, [])

    def test_the_pattern_matches_the_names_in_the_adapter(self) -> None:
        text = "".join(
            path.read_text("utf-8") for path in (ROOT / "platform").rglob("*.py")
        )
        self.assertTrue(NAMES.search(text))


if __name__ == "__main__":
    unittest.main()
