"""Client of the control API for fault scenarios."""

import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import requests

from wasabigw.codec import messages
from wasabigw.core.cluster import Applied, Endpoint, Refusal, Service, endpoint_key
from wasabigw.core.commands import ChangeRequest, UpdateService
from wasabigw.core.ids import RequestId, Revision, Seconds
from wasabigw.core.log_messages import ChangeOutcome
from wasabigw_demo import _processes
from wasabigw_demo._layout import FAILURE_DOMAINS, BalancerPlace, VoterPlace
from wasabigw_demo._system import System, fetch_json

STATE_PATH = "/v1/state"
ELECTION_TIMEOUT = Seconds(10.0)
CHANGE_TIMEOUT = 4.0
STATE_TIMEOUT = 2.0


@dataclass(frozen=True, slots=True)
class ControlResponse:
    """Response of a voter; the body is empty if it is not a JSON object."""

    status: int
    body: dict[str, Any]


class ControlApi:
    """Sends requests to individual voters, without following redirects."""

    def __init__(self, system: System) -> None:
        self._system = system
        self._headers = {"Authorization": f"Bearer {_processes.TOKEN}"}
        self._paused: set[str] = set()

    def set_paused(self, voter: VoterPlace, paused: bool) -> None:
        """Exclude a paused voter from the search for the leader, or readmit it."""
        if paused:
            self._paused.add(voter.id)
        else:
            self._paused.discard(voter.id)

    def query_state(self, voter: VoterPlace) -> ControlResponse | None:
        """Response of a voter to a state query; ``None`` without a response."""
        url = f"http://{endpoint_key(voter.api)}{STATE_PATH}"
        try:
            response = requests.get(
                url,
                headers=self._headers,
                timeout=STATE_TIMEOUT,
                allow_redirects=False,
            )
            value = response.json()
        except requests.JSONDecodeError:
            return ControlResponse(response.status_code, {})
        except requests.RequestException:
            return None
        body = value if isinstance(value, dict) else {}
        return ControlResponse(response.status_code, body)

    def leader(self) -> VoterPlace:
        """Wait for a voter that answers state queries as leader."""
        found = self._wait_for(self._find_leader, "no voter answers as leader")
        assert found is not None
        return found

    def followers(self) -> list[VoterPlace]:
        """All voters except the leader."""
        leader = self.leader()
        return [v for v in self._system.layout.voters if v.id != leader.id]

    def state(self) -> dict[str, Any]:
        """State from the leader."""
        deadline = time.monotonic() + ELECTION_TIMEOUT
        while time.monotonic() < deadline:
            answer = self.query_state(self.leader())
            if answer is not None and answer.status == requests.codes.ok:
                return answer.body
        self._system.fail("no voter answers as leader", self._first_voter())
        return {}

    def priority(self) -> int:
        """Priority of the first service, which scenarios change."""
        return int(self._first_service()["priority"])

    def configuration_revision(self) -> Revision:
        """Configuration revision that the next change has to expect."""
        return Revision(self.state()["configuration_revision"])

    def set_priorities(self, count: int) -> int:
        """Change the priority several times; returns its last value.

        The run is aborted unless each change is accepted.
        """
        leader = self.leader()
        service: Service = messages.from_json(self._first_service(), Service).unwrap()
        revision = self.configuration_revision()
        priority = service.priority
        with requests.Session() as session:
            for number in range(count):
                # Alternate between two values, so that each change has an effect.
                priority = 3 if priority == 2 else 2
                change = UpdateService(replace(service, priority=priority))
                request = ChangeRequest(
                    RequestId(f"many-{revision}-{number}"), revision, change
                )
                outcome = self._submit(session, leader.api, request)
                if not isinstance(outcome, Applied):
                    text = f"change {number} was not accepted: {outcome}"
                    self._system.fail(text, leader.id)
                    break
                revision = outcome.configuration_revision
        return priority

    def try_priority(
        self, voter: VoterPlace, priority: int, revision: Revision
    ) -> Applied | Refusal | None:
        """Submit a change to one voter; ``None`` without a valid response."""
        first = self._system.layout.services[0]
        service = Service(
            first.id,
            first.endpoint,
            first.protocol,
            FAILURE_DOMAINS,
            priority=priority,
        )
        request = ChangeRequest(
            RequestId(f"direct-{voter.id}-{priority}"), revision, UpdateService(service)
        )
        with requests.Session() as session:
            try:
                return self._submit(session, voter.api, request)
            except requests.RequestException:
                return None

    def _submit(
        self, session: requests.Session, api: Endpoint, request: ChangeRequest
    ) -> Applied | Refusal | None:
        response = session.post(
            f"http://{endpoint_key(api)}{_processes.CHANGES_PATH}",
            messages.encode(request),
            headers={**self._headers, "Content-Type": "application/json"},
            timeout=CHANGE_TIMEOUT,
            allow_redirects=False,
        )
        decoded = messages.decode(response.content, ChangeOutcome)
        outcome: Applied | Refusal | None = decoded.value_or(None)
        return outcome

    def _first_service(self) -> dict[str, Any]:
        first = self._system.layout.services[0].id
        services = self.state()["services"]
        return next(service for service in services if service["id"] == first)

    def _find_leader(self) -> VoterPlace | None:
        for voter in self._system.layout.voters:
            running = self._system.children.is_running(voter.id)
            if not running or voter.id in self._paused:
                continue
            answer = self.query_state(voter)
            if answer is not None and answer.status == requests.codes.ok:
                return voter
        return None

    def _wait_for(
        self, find: Callable[[], VoterPlace | None], problem: str
    ) -> VoterPlace | None:
        found: list[VoterPlace] = []

        def is_found() -> bool:
            result = find()
            if result is not None:
                found.append(result)
            return bool(found)

        self._system.wait_until(
            is_found, problem, self._first_voter(), ELECTION_TIMEOUT
        )
        return found[0]

    def _first_voter(self) -> str:
        return self._system.layout.voters[0].id


def balancer_status(balancer: BalancerPlace) -> dict[str, Any]:
    """Status of a balancer; empty if there is no response."""
    return fetch_json(balancer.api, _processes.STATUS_PATH) or {}


def wait_for_views(system: System, fresh: bool, timeout: Seconds) -> Seconds:
    """Wait until the views of all running balancers are fresh, or all stale.

    :returns: seconds until then.
    """
    started_at = time.monotonic()
    running = [b for b in system.layout.balancers if system.children.is_running(b.id)]
    wanted = "fresh" if fresh else "stale"

    def reached() -> bool:
        return all(balancer_status(b).get("fresh") is fresh for b in running)

    first = running[0].id
    system.wait_until(reached, f"not all views became {wanted}", first, timeout)
    return Seconds(time.monotonic() - started_at)
