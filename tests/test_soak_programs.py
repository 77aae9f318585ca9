"""The soak runs processes of two versions side by side."""

import unittest
from pathlib import Path

from wasabigw_soak.deployment import Deployment, Role, Shape, Source
from wasabigw_soak.programs import Programs

EARLIER = Path("/earlier")


class BothVersions(unittest.TestCase):
    """Guards against soaks of two versions that run only one of them."""

    def setUp(self) -> None:
        deployment = Deployment(Shape(controls=6, balancers=6), Path())
        self.machines = [*deployment.controls, *deployment.balancers]

    def folders(self, programs: Programs, role: Role) -> list[str]:
        machines = [m for m in self.machines if role in m.roles]
        return [programs.command(m, role, ["sh"])[1] for m in machines]

    def test_half_of_balancers_and_relays_run_the_earlier_version(self) -> None:
        programs = Programs(Source.TREE, EARLIER)
        for role in (Role.BALANCER, Role.RELAY):
            folders = self.folders(programs, role)
            earlier = [f for f in folders if f.startswith(str(EARLIER))]
            self.assertEqual(len(earlier), len(folders) / 2, role)

    def test_voters_run_the_present_version(self) -> None:
        folders = self.folders(Programs(Source.TREE, EARLIER), Role.CONTROL)
        self.assertFalse([f for f in folders if f.startswith(str(EARLIER))])


if __name__ == "__main__":
    unittest.main()
