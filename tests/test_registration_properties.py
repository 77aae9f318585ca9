"""Registrations under announcements that are late, doubled, reordered or forged."""

import unittest
from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

from hypothesis import HealthCheck, Phase, given, settings

from wasabigw.core import commands, registrations
from wasabigw.core.boot_leases import BootKey
from wasabigw.core.cluster import Registration, Registry, endpoint_key
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.log_messages import BootAnnouncement
from wasabigw.core.states import RegistrationState
from wasabigw.core.tags.decisions import PacketDecision, RefusalReason, Refuse
from wasabigw.core.tags.packets import FlowPacket
from wasabigw.core.tags.state import TagState
from wasabigw.core.tags.steering import decide
from wasabigw_verify.registration_model import play, steps

SHORT = settings(max_examples=150, phases=(Phase.generate,))
UNTIL_FOUND = settings(
    max_examples=250,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
    report_multiple_bugs=False,
)


def end_boot(boot: Registration, registry: Registry, revision: Revision) -> None:
    """End a boot, as before issue 33."""
    registrations._remove_current(boot, registry)
    ended = replace(boot, state=RegistrationState.ENDED, changed_at=revision)
    registry.ended.append(ended)


def register_and_end(
    report: commands.BootAnnounced, registry: Registry, revision: Revision
) -> None:
    """Register a boot and end the others, as before issue 33."""
    known = registry.current.get(report.id)
    if known is not None and known.started_at > report.started_at:
        return
    if known is not None and registrations.is_same_boot(known, report):
        registrations._renew_boot(report, known, registry, revision)
        return
    holder = registrations.endpoint_holder(report, registry)
    if holder is not None and holder.started_at > report.started_at:
        return
    for former in (known, holder):
        if former is not None:
            end_boot(former, registry, revision)
    registrations._add_boot(report, registry, revision)
    registry.owners[endpoint_key(report.endpoint)] = report.id


def forget_boot(boot: Registration, registry: Registry, revision: Revision) -> None:
    """Forget a superseded boot at once."""
    registrations._remove_current(boot, registry)
    registry.forgotten_at = revision


def key_by_id(boot: BootAnnouncement | Registration) -> BootKey:
    """Keep one lease for all boots under an id, as before issue 33."""
    return BootKey(boot.id, 0, "", 0, boot.service)


def refuse_ended(packet: FlowPacket, state: TagState, now: Seconds) -> PacketDecision:
    """Reset the flows of ended boots, as before issue 33."""
    server = state.servers.get(packet.tag)
    if server and server.registration.state is RegistrationState.ENDED:
        return Refuse(packet, RefusalReason.NO_SERVER)
    return decide(packet, state, now)


class LiveServers(unittest.TestCase):
    """Guards against live backend servers that lose their flows or their new flows.

    A late announcement of a crashed boot whose clock was ahead ended its successor.
    """

    @SHORT
    @given(steps)
    def test_they_keep_their_flows_and_are_in_use_within_the_lease(
        self, taken: list[object]
    ) -> None:
        play(taken)


class PlantedFaults(unittest.TestCase):
    """Guards against a model that can't find the faults that it was written for."""

    def check_is_found(
        self, patches: dict[str, Callable[..., Any]], problem: str
    ) -> None:
        for name, replacement in patches.items():
            self.enterContext(mock.patch(name, replacement))
        with self.assertRaisesRegex(AssertionError, problem):
            UNTIL_FOUND(given(steps)(play))()

    def test_a_boot_that_an_announcement_ends(self) -> None:
        patches = {"wasabigw.core.registrations.register_boot": register_and_end}
        self.check_is_found(patches, "is not in use")

    def test_a_reset_of_the_flows_of_such_a_boot(self) -> None:
        patches: dict[str, Callable[..., Any]] = {
            "wasabigw.core.registrations._set_aside": end_boot,
            "wasabigw_verify.registration_model.decide": refuse_ended,
        }
        self.check_is_found(patches, "flow of")

    def test_a_boot_that_is_forgotten_when_another_one_is_preferred(self) -> None:
        patches = {"wasabigw.core.registrations._set_aside": forget_boot}
        self.check_is_found(patches, "flow of")

    def test_one_lease_for_all_boots_under_an_id(self) -> None:
        patches = {
            "wasabigw.core.boot_leases.key_of": key_by_id,
            "wasabigw.core.boot_preferences.key_of": key_by_id,
        }
        self.check_is_found(patches, "is (not )?in use")


if __name__ == "__main__":
    unittest.main()
