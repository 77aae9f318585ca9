"""One-line summaries of reports for log messages."""

from functools import singledispatch

from wasabigw.core.commands import NodeUp, Report


@singledispatch
def summarize(report: Report) -> str:
    """Type and content of a report in one line."""
    return str(report)


@summarize.register
def _(report: NodeUp) -> str:
    node = report.node
    return f"NodeUp {node.id} in {node.failure_domain}, {node.state.value}"
