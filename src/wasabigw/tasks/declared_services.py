"""Services that the configuration in force declares."""

from collections.abc import Collection

from returns.result import Failure

from wasabigw.core.cluster import ClusterState
from wasabigw.core.ids import ServiceId
from wasabigw.core.registration import DeclaredDocument
from wasabigw.tasks.tag_codec import DocumentDecoder
from wasabigw.telemetry.events_balancer import BalancerEvent
from wasabigw.telemetry.log_events import log


class DeclaredServices:
    """Decodes the configuration in force, once for each version.

    :param decode: ``None`` if the front end has no documents, so that the services of
        a configuration are not known.
    """

    def __init__(self, decode: DocumentDecoder | None) -> None:
        self._decode = decode
        self._document: DeclaredDocument | None = None
        self._services: Collection[ServiceId] | None = (
            None if decode is None else frozenset()
        )

    def of(self, cluster: ClusterState) -> Collection[ServiceId] | None:
        """Services of the configuration in force; ``None`` if they are not known.

        A document that can't be decoded was accepted by another version. The services
        are not known then, rather than none: no backend server could register.
        """
        document = cluster.declared
        if self._decode is None or document is None or document is self._document:
            return self._services
        self._document = document
        decoded = self._decode(document)
        if isinstance(decoded, Failure):
            log(
                BalancerEvent.DOCUMENT_UNREADABLE,
                version=document.version,
                reason=decoded.failure(),
            )
            self._services = None
        else:
            declared = decoded.unwrap().services
            self._services = frozenset(service.id for service in declared)
        return self._services
