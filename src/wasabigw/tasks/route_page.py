"""Page of a balancer that shows where an opening would go now."""

from collections.abc import Sequence
from copy import deepcopy
from http import HTTPStatus
from urllib.parse import parse_qs

import msgspec
from returns.result import Failure

from wasabigw.core.endpoint import Endpoint, address_number, parse_endpoint
from wasabigw.core.ids import Seconds
from wasabigw.core.tags.choice.selection import service_of
from wasabigw.core.tags.packets import FlowId
from wasabigw.core.tags.route_preview import preview_opening
from wasabigw.core.tags.state import TagState
from wasabigw.tasks.light_http import LightRequest

ROUTE_PATH = "/route"
MAX_SERVERS = 1000
"""Backend servers of a service up to which a preview is made.

Each takes 0.1 ms, for which packets wait.
"""


def respond_with_route(request: LightRequest, state: TagState, now: Seconds) -> None:
    """Respond with the preview of an opening from a caller to a listener.

    The query names both as ``address:port``. The status is 404 if the configuration in
    force has no such listener, and 503 without a view or, unless the query has
    ``stale=1``, if the view may not be current.
    """
    _, _, query = request.target.partition("?")
    values = {key: found[-1] for key, found in parse_qs(query).items()}
    ends: list[Endpoint] = []
    for name in ("caller", "listener"):
        parsed = parse_endpoint(values.get(name, ""))
        if isinstance(parsed, Failure):
            _fail(request, HTTPStatus.BAD_REQUEST, f"{name}: {parsed.failure()}")
            return
        ends.append(parsed.unwrap())
    flow = FlowId(
        address_number(ends[0].address),
        ends[0].port,
        address_number(ends[1].address),
        ends[1].port,
    )
    if not state.has_view:
        _fail(request, HTTPStatus.SERVICE_UNAVAILABLE, "the balancer has no view yet")
        return
    if not state.is_fresh(now) and values.get("stale") != "1":
        age = state.view_age(now)
        text = f"the view of the balancer is stale: it was current {age:.1f} s ago"
        _fail(request, HTTPStatus.SERVICE_UNAVAILABLE, text)
        return
    listener = state.listeners.get((flow.listener, flow.listener_port))
    if listener is None:
        text = f"configuration {state.declared_version} has no such listener"
        _fail(request, HTTPStatus.NOT_FOUND, text)
        return
    servers = len(state.pools.get(service_of(listener, flow), ()))
    if servers > MAX_SERVERS:
        text = f"{servers} backend servers are too many for a preview"
        _fail(request, HTTPStatus.SERVICE_UNAVAILABLE, text)
        return
    preview = preview_opening(flow, listener, state, now, copy_state)
    request.connection.respond(HTTPStatus.OK, msgspec.json.encode(preview))


def copy_state(state: TagState, shared: Sequence[object]) -> TagState:
    """Copy a state and all that it holds, but for the shared objects."""
    return deepcopy(state, {id(value): value for value in shared})


def _fail(request: LightRequest, status: HTTPStatus, error: str) -> None:
    request.connection.respond(status, msgspec.json.encode({"error": error}))
