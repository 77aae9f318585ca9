"""Only the adapter knows the names of the users' platform."""

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
    """Guards against names of the platform that spread over the product."""

    def test_no_name_of_the_platform_stands_in_the_product(self) -> None:
        found = [
            f"{path.relative_to(ROOT)}:{number}: {line.strip()}"
            for path in sorted((ROOT / "src").rglob("*.py"))
            for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
            if NAMES.search(line)
        ]
        self.assertEqual(found, [])

    def test_the_names_are_found_where_they_belong(self) -> None:
        text = "".join(
            path.read_text("utf-8") for path in (ROOT / "platform").rglob("*.py")
        )
        self.assertTrue(NAMES.search(text))


if __name__ == "__main__":
    unittest.main()
