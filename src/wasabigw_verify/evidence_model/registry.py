"""Registrations, as the control VMs keep them and balancers poll them."""

from dataclasses import replace

from wasabigw.core.cluster import Registry
from wasabigw.core.commands import BootAnnounced
from wasabigw.core.delivery_view import DeliveryView, ViewUpdate, update_since
from wasabigw.core.ids import Revision, Seconds, Tag
from wasabigw.core.registration import Registration
from wasabigw.core.registrations import (
    is_same_boot,
    mark_boot_silent,
    register_boot,
)
from wasabigw.core.states import RegistrationState

FRESH_FOR = Seconds(1.0)


class Registrations:
    """The replicated registrations at their newest revision."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._revision = Revision(0)
        self._wrongly_ended: dict[Tag, Revision] = {}

    def announce(self, report: BootAnnounced) -> None:
        """Register a boot, or renew its registration."""
        self._revision = Revision(self._revision + 1)
        register_boot(report, self._registry, self._revision)

    def mark_silent(self, report: BootAnnounced) -> None:
        """Record that a boot no longer announces itself."""
        known = self._registry.current.get(report.id)
        if known is not None and is_same_boot(known, report):
            self._revision = Revision(self._revision + 1)
            mark_boot_silent(report.id, known.tag, self._registry, self._revision)

    def end(self, report: BootAnnounced) -> None:
        """Record that a boot has ended, whether or not it lives.

        Logs of earlier versions have such records.
        """
        self._revision = Revision(self._revision + 1)
        for boot in self.boots():
            if is_same_boot(boot, report):
                self._wrongly_ended[boot.tag] = self._revision

    def update_since(self, after: Revision) -> ViewUpdate:
        """Answer to a poll."""
        view = DeliveryView(self._revision, {b.tag: b for b in self.boots()})
        return update_since(view, after, FRESH_FOR)

    def boots(self) -> list[Registration]:
        """All boots, including those that have ended."""
        found = [*self._registry.ended, *self._registry.current.values()]
        return [self._with_end(boot) for boot in found]

    def _with_end(self, boot: Registration) -> Registration:
        revision = self._wrongly_ended.get(boot.tag)
        if revision is None:
            return boot
        return replace(boot, state=RegistrationState.ENDED, changed_at=revision)
