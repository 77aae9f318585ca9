"""Query parameters of a log poll."""

from collections.abc import Mapping
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.codec.messages import MalformedMessage
from wasabigw.core.cluster import Endpoint, Node
from wasabigw.core.endpoint import parse_endpoint
from wasabigw.core.ids import (
    FailureDomainId,
    Incarnation,
    NodeId,
    Revision,
    Seconds,
)
from wasabigw.core.log_messages import LogPoll
from wasabigw.core.numbers import whole_number
from wasabigw.core.states import NodeState

_PARAMETERS = (
    "node",
    "incarnation",
    "failure_domain",
    "state",
    "data",
    "api",
    "after",
    "wait_ms",
)
_STATES = {state.value: state for state in (NodeState.UP, NodeState.DRAINING)}
_MAX_VALUE_LENGTH = 200


def poll_to_query(poll: LogPoll) -> dict[str, str]:
    """Encode a poll as query parameters."""
    return {
        "node": poll.node.id,
        "incarnation": poll.node.incarnation,
        "failure_domain": poll.node.failure_domain,
        "state": poll.node.state.value,
        "data": f"{poll.node.data.address}:{poll.node.data.port}",
        "api": f"{poll.node.api.address}:{poll.node.api.port}",
        "after": str(poll.applied),
        "wait_ms": str(round(poll.wait * 1000)),
    }


def poll_from_query(query: Mapping[str, Any]) -> Result[LogPoll, MalformedMessage]:
    """Decode a poll from query parameters.

    Unknown parameters are ignored, because newer versions may send them.
    """
    problems = _parameter_problems(query)
    if problems:
        return Failure(MalformedMessage(tuple(problems)))
    data = _endpoint(query["data"])
    api = _endpoint(query["api"])
    after = whole_number(query["after"])
    wait = whole_number(query["wait_ms"])
    if data is None or api is None:
        return _malformed("data and api must be address:port")
    if after is None or wait is None:
        return _malformed("after and wait_ms must be whole numbers, 0 or more")
    state = _STATES.get(query["state"])
    if state is None:
        return _malformed(f"state must be one of: {', '.join(_STATES)}")
    node = Node(
        NodeId(query["node"]),
        FailureDomainId(query["failure_domain"]),
        data,
        api,
        Incarnation(query["incarnation"]),
        state,
    )
    return Success(LogPoll(node, Revision(after), Seconds(wait / 1000)))


def _parameter_problems(query: Mapping[str, Any]) -> list[str]:
    problems = []
    for name in _PARAMETERS:
        value = query.get(name)
        if not isinstance(value, str) or not 0 < len(value) <= _MAX_VALUE_LENGTH:
            problems.append(f"parameter {name} must be given once and not be empty")
    return problems


def _malformed(problem: str) -> Failure[MalformedMessage]:
    return Failure(MalformedMessage((problem,)))


def _endpoint(text: str) -> Endpoint | None:
    return parse_endpoint(text).value_or(None)
