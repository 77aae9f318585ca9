"""Logs the orders of operators and their reads of the configuration."""

from functools import singledispatch

from wasabigw.core.cluster import Applied, Refusal
from wasabigw.core.commands import (
    BringFailureDomainBack,
    DeclareConfiguration,
    OrderedChange,
    TakeFailureDomainOut,
)
from wasabigw.core.ids import Revision, Seconds
from wasabigw.core.log_messages import NotLeader
from wasabigw.runtime.timer import monotonic
from wasabigw.tasks.voter_calls import DocumentView, OutcomeUnknown, Overloaded
from wasabigw.telemetry.events_control import ControlEvent
from wasabigw.telemetry.log_events import log


def log_order(change: OrderedChange, answer: object, started_at: Seconds) -> None:
    """Log an order with its outcome and the time that it took."""
    log(
        ControlEvent.ORDER_ANSWERED,
        order=_order_text(change),
        outcome=_outcome(answer),
        revision=_revision(answer),
        waited=round(monotonic() - started_at, 3),
        detail=_detail(answer),
    )


def log_refused_document(reason: str) -> None:
    """Log a configuration that was invalid, so that no order was proposed."""
    log(
        ControlEvent.ORDER_ANSWERED,
        order="configuration",
        outcome="invalid",
        revision=None,
        waited=0.0,
        detail=reason,
    )


def log_document_read(answer: object, started_at: Seconds) -> None:
    """Log a read of the configuration with its outcome."""
    document = answer.document if isinstance(answer, DocumentView) else None
    log(
        ControlEvent.DOCUMENT_READ,
        outcome=_outcome(answer),
        version=document.version if document is not None else None,
        waited=round(monotonic() - started_at, 3),
    )


@singledispatch
def _order_text(change: object) -> str:
    raise TypeError(f"not an ordered change: {change!r}")


@_order_text.register
def _(change: DeclareConfiguration) -> str:
    return f"configuration {change.document.version}"


@_order_text.register
def _(change: TakeFailureDomainOut) -> str:
    return f"out of service: {change.failure_domain}"


@_order_text.register
def _(change: BringFailureDomainBack) -> str:
    return f"back in service: {change.failure_domain}"


@singledispatch
def _outcome(answer: object) -> str:
    return "done"


@_outcome.register
def _(answer: Refusal) -> str:
    return "refused"


@_outcome.register
def _(answer: NotLeader) -> str:
    return "no-leader" if answer.leader is None else "redirected"


@_outcome.register
def _(answer: OutcomeUnknown) -> str:
    return "unknown"


@_outcome.register
def _(answer: Overloaded) -> str:
    return "overloaded"


def _revision(answer: object) -> Revision | None:
    return answer.revision if isinstance(answer, Applied) else None


def _detail(answer: object) -> str:
    if isinstance(answer, NotLeader) and answer.leader is not None:
        return f"leader at {answer.leader.address}:{answer.leader.port}"
    return answer.message if isinstance(answer, Refusal | Overloaded) else ""
