"""Boots that others have superseded, at the limit on their number."""

import unittest
from unittest import mock

from wasabigw.core import registrations
from wasabigw.core.cluster import Registry
from wasabigw.core.commands import BootAnnounced
from wasabigw.core.endpoint import Endpoint
from wasabigw.core.ids import (
    BackendServerId,
    FailureDomainId,
    Revision,
    Seconds,
    ServiceId,
)

LIMIT = 4


def announced(name: str, generation: int) -> BootAnnounced:
    """First announcement of a boot; each generation has its own addresses."""
    return BootAnnounced(
        id=BackendServerId(name),
        service=ServiceId("seats"),
        failure_domain=FailureDomainId("recife"),
        endpoint=Endpoint(f"10.0.{generation}.{name}", 80),
        started_at=1000 + generation,
        slots=4,
        draining=False,
        cold_for=Seconds(0.0),
    )


class RollingReplacement(unittest.TestCase):
    """Guards against the end of boots that finish their flows beside successors."""

    @mock.patch("wasabigw.core.registrations.MAX_ENDED_BOOTS", LIMIT)
    def test_more_boots_than_the_limit_keep_their_tags(self) -> None:
        registry = Registry()
        names = [str(number) for number in range(1, LIMIT + 3)]
        revision = 0
        for generation in range(2):
            for name in names:
                revision += 1
                report = announced(name, generation)
                registrations.register_boot(report, registry, Revision(revision))
        kept = {boot.id for boot in registry.ended}
        self.assertEqual(kept, set(names))


if __name__ == "__main__":
    unittest.main()
