"""Client of the administration API (design page, section 3.3)."""

import json
from collections.abc import Mapping, Sequence
from typing import Any

from returns.result import Failure, Result, Success

from wasabigw.codec import messages
from wasabigw.codec.messages import UnknownKeys
from wasabigw.core.cluster import (
    Applied,
    BackendServer,
    Endpoint,
    FailureDomain,
    Node,
    Refusal,
    Service,
    endpoint_key,
)
from wasabigw.core.commands import ChangeRequest, TakeFailureDomainOut
from wasabigw.core.ids import FailureDomainId, Revision, Seconds
from wasabigw.core.log_messages import ChangeOutcome, InForce
from wasabigw.core.preview import ConfigurationView
from wasabigw.ctl.errors import (
    ChangeRefused,
    CtlError,
    OutcomeUnknown,
    Unauthorized,
    Unavailable,
    UnexpectedAnswer,
)
from wasabigw.ctl.link import ApiLink, ApiRequest, ApiResponse, CallFailed

CHANGES_PATH = "/v1/changes"
STATE_PATH = "/v1/state"
IN_FORCE_PATH = "/v1/in-force"
LOCAL_OUT_PATH = "/v1/local/out"
FLOWS_PATH = "/v1/flows"

OK_STATUSES = range(200, 300)
UNAUTHORIZED_STATUSES = (401, 403)
MAX_DETAIL_LENGTH = 500

_REVISION_TYPES: Mapping[str, Any] = {
    "revision": Revision,
    "configuration_revision": Revision,
}
_TABLE_TYPES: Mapping[str, Any] = {
    "services": list[Service],
    "failure_domains": list[FailureDomain],
    "backend_servers": list[BackendServer],
    "nodes": list[Node],
}


class Api:
    """API calls of one run of the tool.

    :param control: API endpoints of the control VMs.
    :param deadline: monotonic time after which no call continues.
    """

    def __init__(
        self, link: ApiLink, control: Sequence[Endpoint], deadline: Seconds
    ) -> None:
        self._link = link
        self._control = control
        self._deadline = deadline

    @property
    def deadline(self) -> Seconds:
        """Monotonic time after which no call continues."""
        return self._deadline

    def configuration(self) -> Result[ConfigurationView, CtlError]:
        """Current configuration and registered servers."""
        return self._get(STATE_PATH, {}).bind(_view)

    def in_force(self, revision: Revision | None) -> Result[InForce, CtlError]:
        """Whether a revision, by default that of the configuration, is in force."""
        query = {} if revision is None else {"revision": str(revision)}
        return self._get(IN_FORCE_PATH, query).bind(_in_force)

    def change(self, request: ChangeRequest) -> Result[Applied, CtlError]:
        """Send a change until its outcome is known or the deadline has passed."""
        call = ApiRequest("POST", CHANGES_PATH, body=messages.encode(request))
        outcome = self._link.call(call, self._control, self._deadline)
        if isinstance(outcome, Success):
            return _change_outcome(outcome.unwrap())
        failed: CallFailed = outcome.failure()
        if not failed.outcome_unknown:
            return Failure(Unavailable(failed.reason))
        return Failure(
            OutcomeUnknown(failed.reason, request.request_id, request.expected_revision)
        )

    def take_out_locally(
        self, balancer: Endpoint, failure_domain: FailureDomainId, deadline: Seconds
    ) -> Result[None, CtlError]:
        """Take a failure domain out of service at one of its balancers.

        :param deadline: monotonic time at which the call to this balancer fails.
        """
        body = messages.encode(TakeFailureDomainOut(failure_domain))
        call = ApiRequest("POST", LOCAL_OUT_PATH, body=body)
        outcome = self._link.call(call, (balancer,), min(deadline, self._deadline))
        if not isinstance(outcome, Success):
            return Failure(Unavailable(outcome.failure().reason))
        return _accepted(outcome.unwrap()).map(lambda _: None)

    def flow(
        self, balancers: Sequence[Endpoint], query: Mapping[str, str]
    ) -> Result[dict[str, Any], CtlError]:
        """Path of a flow, from the first balancer that responds."""
        call = ApiRequest("GET", FLOWS_PATH, query, needs_token=False)
        return self._request(call, balancers).bind(_json_object)

    def _get(
        self, path: str, query: Mapping[str, str]
    ) -> Result[ApiResponse, CtlError]:
        return self._request(ApiRequest("GET", path, query), self._control)

    def _request(
        self, call: ApiRequest, endpoints: Sequence[Endpoint]
    ) -> Result[ApiResponse, CtlError]:
        outcome = self._link.call(call, endpoints, self._deadline)
        if isinstance(outcome, Success):
            return Success(outcome.unwrap())
        return Failure(Unavailable(outcome.failure().reason))


def flow_query(protocol: str, caller: Endpoint, service: Endpoint) -> dict[str, str]:
    """Query parameters of ``GET /v1/flows``."""
    return {
        "protocol": protocol,
        "caller": endpoint_key(caller),
        "service": endpoint_key(service),
    }


def _change_outcome(response: ApiResponse) -> Result[Applied, CtlError]:
    if response.status in UNAUTHORIZED_STATUSES:
        return Failure(Unauthorized(response.status))
    decoded = messages.decode(response.body, ChangeOutcome, UnknownKeys.IGNORE)
    outcome = decoded.value_or(None)
    if isinstance(outcome, Applied):
        return Success(outcome)
    if isinstance(outcome, Refusal):
        return Failure(ChangeRefused(outcome))
    return Failure(_unexpected(response))


def _accepted(response: ApiResponse) -> Result[ApiResponse, CtlError]:
    if response.status in UNAUTHORIZED_STATUSES:
        return Failure(Unauthorized(response.status))
    if response.status not in OK_STATUSES:
        return Failure(_unexpected(response))
    return Success(response)


def _json_object(response: ApiResponse) -> Result[dict[str, Any], CtlError]:
    accepted = _accepted(response)
    if not isinstance(accepted, Success):
        return Failure(accepted.failure())
    try:
        value = json.loads(response.body)
    except (ValueError, RecursionError):
        return Failure(_unexpected(response))
    if not isinstance(value, dict):
        return Failure(_unexpected(response))
    return Success(value)


def _in_force(response: ApiResponse) -> Result[InForce, CtlError]:
    accepted = _accepted(response)
    if not isinstance(accepted, Success):
        return Failure(accepted.failure())
    decoded = messages.decode(response.body, InForce, UnknownKeys.IGNORE)
    if isinstance(decoded, Success):
        return Success(decoded.unwrap())
    return Failure(UnexpectedAnswer(response.status, str(decoded.failure())))


def _view(response: ApiResponse) -> Result[ConfigurationView, CtlError]:
    """Decode the known parts of the state; a newer server may send further ones."""
    parsed = _json_object(response)
    if not isinstance(parsed, Success):
        return Failure(parsed.failure())
    value = parsed.unwrap()
    parts: dict[str, Any] = {}
    for key, expected in {**_REVISION_TYPES, **_TABLE_TYPES}.items():
        decoded = messages.from_json(value.get(key), expected, UnknownKeys.IGNORE)
        if not isinstance(decoded, Success):
            detail = f"state, {key}: {decoded.failure()}"
            return Failure(UnexpectedAnswer(response.status, detail))
        parts[key] = decoded.unwrap()
    for key in _TABLE_TYPES:
        parts[key] = {item.id: item for item in parts[key]}
    return Success(ConfigurationView(**parts))


def _unexpected(response: ApiResponse) -> UnexpectedAnswer:
    address = endpoint_key(response.endpoint)
    return UnexpectedAnswer(response.status, f"{address}: {_detail(response.body)}")


def _detail(body: bytes) -> str:
    """Message in the body of an error response, or else the beginning of the body."""
    text = body.decode("utf-8", errors="replace")
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        value = None
    if isinstance(value, dict) and isinstance(value.get("message"), str):
        text = value["message"]
    return ascii(text[:MAX_DETAIL_LENGTH]) if text else "no body"
