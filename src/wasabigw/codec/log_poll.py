"""Query parameters of a log poll."""

from wasabigw.core.log_messages import LogPoll


def poll_to_query(poll: LogPoll) -> dict[str, str]:
    """Query parameters of a poll."""
    data, api = poll.node.data, poll.node.api
    return {
        "node": poll.node.id,
        "incarnation": poll.node.incarnation,
        "failure_domain": poll.node.failure_domain,
        "data": f"{data.address}:{data.port}",
        "api": f"{api.address}:{api.port}",
        "after": str(poll.applied),
        "wait_ms": str(round(poll.wait * 1000)),
    }
