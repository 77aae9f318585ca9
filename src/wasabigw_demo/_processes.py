"""Interfaces of the daemon and of wasabigwctl that the launcher uses.

No other module of the launcher knows their settings files, command lines, HTTP
paths or the format of trace files.
"""

import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from wasabigw.core.cluster import Endpoint, endpoint_key
from wasabigw.core.states import Protocol
from wasabigw_demo._layout import (
    FAILURE_DOMAINS,
    REGION,
    SLOTS,
    BalancerPlace,
    DemoService,
    Layout,
    VoterPlace,
)

TOKEN = "token-of-the-demonstration-0123456789"
ANNOUNCEMENTS_PATH = "/v1/announcements"
CHANGES_PATH = "/v1/changes"
STATUS_PATH = "/v1/status"
UNKNOWN_SERVICE = "no-such-service"


def run_command(settings: Path) -> list[str]:
    """Command line that runs a daemon."""
    return _daemon_command("run", settings)


def bootstrap_command(
    layout: Layout, voter: VoterPlace, is_new_cluster: bool = True
) -> list[str]:
    """Command line that creates the data folder of a voter."""
    is_first = is_new_cluster and voter == layout.voters[0]
    command = _daemon_command("bootstrap", settings_path(layout, voter.id))
    return [*command, "--first"] if is_first else command


def _daemon_command(command: str, settings: Path) -> list[str]:
    module = "wasabigw.daemon"
    return [sys.executable, "-m", module, command, "--settings", str(settings)]


def tool_command(layout: Layout, *arguments: str) -> list[str]:
    """Command line of wasabigwctl."""
    settings = str(tool_settings_path(layout))
    module = "wasabigw.ctl.main"
    return [sys.executable, "-m", module, "--settings", settings, *arguments]


def apply_configuration(layout: Layout) -> list[str]:
    """Command line that generates the configuration from answers and applies it."""
    return tool_command(layout, "apply", "--answers", str(answers_path(layout)))


def wait_in_force(layout: Layout) -> list[str]:
    """Command line that succeeds once the configuration is in force everywhere."""
    return tool_command(layout, "in-force", "--wait")


def remove_unknown_service(layout: Layout) -> list[str]:
    """Command line that must fail with an error that names the service."""
    return tool_command(layout, "service", "remove", UNKNOWN_SERVICE)


def settings_path(layout: Layout, name: str) -> Path:
    """Settings file of a process."""
    return layout.folder / f"{name}.json"


def data_folder(layout: Layout, voter: VoterPlace) -> Path:
    """Data folder of a voter, with its log, vote and snapshots."""
    return layout.folder / f"{voter.id}.data"


def tool_settings_path(layout: Layout) -> Path:
    """Settings file of wasabigwctl."""
    return settings_path(layout, "wasabigwctl")


def answers_path(layout: Layout) -> Path:
    """File with the answers to the questionnaire."""
    return settings_path(layout, "answers")


def write_settings(layout: Layout) -> None:
    """Write the settings of the daemons and of wasabigwctl, and the answers."""
    _token_path(layout).write_text(TOKEN + "\n", encoding="utf-8")
    _token_path(layout).chmod(0o600)
    for voter in layout.voters:
        _write_json(settings_path(layout, voter.id), _voter_settings(layout, voter))
    for balancer in layout.balancers:
        path = settings_path(layout, balancer.id)
        _write_json(path, _balancer_settings(layout, balancer))
    tool = {
        "control_endpoints": [endpoint_key(voter.api) for voter in layout.voters],
        "token_file": str(_token_path(layout)),
    }
    _write_json(tool_settings_path(layout), tool)
    _write_json(answers_path(layout), _questionnaire_answers(layout))


def write_invalid_settings(layout: Layout) -> Path:
    """Write settings with an invalid port and an unknown key."""
    balancer = layout.balancers[0]
    settings = _balancer_settings(layout, balancer)
    settings |= {"data_endpoint": "127.0.0.1:99999", "flow_tabel": 1}
    path = settings_path(layout, "bad-settings")
    _write_json(path, settings)
    return path


def read_spans(layout: Layout) -> Iterator[dict[str, Any]]:
    """Spans of all balancers."""
    for balancer in layout.balancers:
        path = _trace_path(layout, balancer)
        if not path.exists():
            continue
        with path.open(encoding="utf-8") as lines:
            yield from (json.loads(line) for line in lines if line.endswith("\n"))


def _voter_settings(layout: Layout, voter: VoterPlace) -> dict[str, Any]:
    return {
        "role": "control",
        "node_id": voter.id,
        "failure_domain": voter.failure_domain,
        "region": REGION,
        "api_endpoint": endpoint_key(voter.api),
        "voters": {
            other.id: endpoint_key(other.api if other == voter else endpoint)
            for other, endpoint in zip(
                layout.voters, _reachable_endpoints(layout), strict=True
            )
        },
        "data_folder": str(data_folder(layout, voter)),
        "token_file": str(_token_path(layout)),
    }


def _balancer_settings(layout: Layout, balancer: BalancerPlace) -> dict[str, Any]:
    return {
        "role": "balancer",
        "node_id": balancer.id,
        "failure_domain": balancer.failure_domain,
        "region": REGION,
        "api_endpoint": endpoint_key(balancer.api),
        "data_endpoint": endpoint_key(balancer.data),
        "fabric_endpoint": endpoint_key(layout.fabric),
        "control_endpoints": _control_endpoints(layout),
        "token_file": str(_token_path(layout)),
        "trace_file": str(_trace_path(layout, balancer)),
    }


def _questionnaire_answers(layout: Layout) -> dict[str, Any]:
    return {
        "team": "Demonstration",
        "failure_domains": [
            {"name": domain, "region": REGION} for domain in FAILURE_DOMAINS
        ],
        "callers": {"latency_ms": 1, "latency_between_failure_domains_ms": 1},
        "services": [_service_answer(layout, service) for service in layout.services],
    }


def _service_answer(layout: Layout, service: DemoService) -> dict[str, Any]:
    backend_servers = [
        place for place in layout.backend_servers if place.service == service
    ]
    is_tcp = service.protocol is Protocol.TCP
    return {
        "name": service.id,
        "address": service.endpoint.address,
        "port": service.endpoint.port,
        "transport": "tcp" if is_tcp else "udp",
        "failure_domains": list(FAILURE_DOMAINS),
        "backend_servers": len(backend_servers),
        "slots": SLOTS,
        "connections": layout.connections,
        "flows": "long",
        "peak_open_flows": layout.connections // 4,
        "peak_new_flows_per_second": layout.connections // 40,
        "requests": [
            {"name": "download", "repeatable": True, "deadline_seconds": 60},
            {"name": "reservation", "repeatable": False, "deadline_seconds": 30},
        ],
    }


def _control_endpoints(layout: Layout) -> list[str]:
    return [endpoint_key(endpoint) for endpoint in _reachable_endpoints(layout)]


def _reachable_endpoints(layout: Layout) -> tuple[Endpoint, ...]:
    """API endpoint of each voter for other processes: its relay, if there is one."""
    return layout.relays or tuple(voter.api for voter in layout.voters)


def _token_path(layout: Layout) -> Path:
    return layout.folder / "operator.token"


def _trace_path(layout: Layout, balancer: BalancerPlace) -> Path:
    return layout.folder / f"{balancer.id}.spans.jsonl"


def _write_json(path: Path, value: dict[str, Any]) -> None:
    path.write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")
