"""One-line summaries of reports for logs."""

from functools import singledispatch

from wasabigw.core.commands import NodeUp, Report


@singledispatch
def summary(report: Report) -> str:
    """Kind of a report, and what it is about."""
    return str(report)


@summary.register
def _(report: NodeUp) -> str:
    node = report.node
    return f"NodeUp {node.id} in {node.failure_domain}, {node.state.value}"
