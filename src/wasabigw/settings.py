"""Settings of a process: model, reading, validation and JSON schema."""

from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from wasabigw.core.ids import FailureDomainId, NodeId, RegionId
from wasabigw.core.problems import Problem, Problems, format_value
from wasabigw.json_input import parse_object, problems_of, read_object
from wasabigw.settings_types import EndpointSetting, Name


class Role(Enum):
    """Role of a process."""

    BALANCER = "balancer"
    CONTROL = "control"


class LogLevel(Enum):
    """Lowest severity of the log events that are written, named as in absl."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class _Model(BaseModel):
    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )


class Limits(_Model):
    """Sizes of the tables, queues and bodies of a process."""

    flow_cache_entries: int = Field(default=400_000, strict=True, ge=1, le=4_000_000)
    """Bindings that a balancer caches (entries); at the limit the oldest is evicted."""
    flow_records: int = Field(default=400_000, strict=True, ge=1, le=4_000_000)
    """Flows that a home balancer records (entries); at the limit new flows are
    refused."""
    mailbox_messages: int = Field(default=65_536, strict=True, ge=16, le=1_000_000)
    """Messages queued for the packet task of a balancer or for the voter task
    (messages); at the limit HTTP requests get 503 and periodic messages are dropped."""
    request_body_bytes: int = Field(
        default=1_048_576, strict=True, ge=524_288, le=67_108_864
    )
    """Largest body of an HTTP request (bytes), except messages between voters, which
    may have 64 MiB; a larger one is refused with 413."""
    http_threads: int = Field(default=64, strict=True, ge=2, le=1_024)
    """Requests that the HTTP server handles at the same time (threads); on a control
    VM each balancer occupies one with its log poll."""
    http_queue: int = Field(default=256, strict=True, ge=1, le=4_096)
    """Connections that wait for an HTTP thread (connections); further ones get 503."""
    trace_file_bytes: int = Field(
        default=67_108_864, strict=True, ge=4_096, le=17_179_869_184
    )
    """Size at which the trace file is renamed to ``.1`` and a new one begun (bytes)."""


class Settings(_Model):
    """Settings of one wasabigw process.

    Relative paths are relative to the working directory of the process.
    """

    role: Role
    """Role of the process: ``balancer`` or ``control``."""
    node_id: Name
    """Id of the process, unique in the cluster."""
    failure_domain: Name
    """Failure domain of the VM."""
    region: Name
    """Region of the failure domain."""
    api_endpoint: EndpointSetting
    """Endpoint on which the process serves HTTP (address:port)."""
    data_endpoint: EndpointSetting | None = None
    """Endpoint that receives Geneve frames (address:port). Balancers only."""
    fabric_endpoint: EndpointSetting | None = None
    """Endpoint to which frames for the fabric go (address:port). Balancers only."""
    control_endpoints: tuple[EndpointSetting, ...] = Field(default=(), max_length=16)
    """API endpoints of the control VMs (address:port each). Balancers only."""
    voters: dict[Name, EndpointSetting] = Field(default_factory=dict, max_length=9)
    """API endpoint of each voter by node id, including this one. Control only."""
    data_folder: Path | None = None
    """Folder for the log, the vote and the snapshots. Control only."""
    token_file: Path
    """File with the operator token, which must be the same for all processes."""
    log_level: LogLevel = LogLevel.INFO
    """Lowest severity of the log events that are written."""
    trace_file: Path | None = None
    """File for finished spans, one JSON object per line; no traces if not set."""
    trace_sample_rate: float = Field(
        default=0.01, strict=True, ge=0.0, le=1.0, allow_inf_nan=False
    )
    """Share of the traces started by this process that is recorded (ratio)."""
    limits: Limits = Limits()
    """Sizes of tables, queues and bodies."""

    @property
    def node(self) -> NodeId:
        """Typed id of the process."""
        return NodeId(self.node_id)

    @property
    def own_failure_domain(self) -> FailureDomainId:
        """Typed id of the failure domain of the process."""
        return FailureDomainId(self.failure_domain)

    @property
    def own_region(self) -> RegionId:
        """Typed id of the region of the process."""
        return RegionId(self.region)


_KEYS_OF_ROLE: Mapping[Role, frozenset[str]] = {
    Role.BALANCER: frozenset({"data_endpoint", "fabric_endpoint", "control_endpoints"}),
    Role.CONTROL: frozenset({"voters", "data_folder"}),
}


def load_settings(path: Path) -> Result[Settings, Problems]:
    """Read settings from a JSON file, or return all problems."""
    return read_object(path).bind(settings_from)


def parse_settings(text: str) -> Result[Settings, Problems]:
    """Parse settings from JSON text, or return all problems."""
    return parse_object(text, "settings").bind(settings_from)


def settings_from(value: Mapping[str, Any]) -> Result[Settings, Problems]:
    """Convert a JSON object to settings, or return all problems."""
    conflicts = (*_role_problems(value), *_conflict_problems(value))
    try:
        settings = Settings.model_validate(dict(value))
    except ValidationError as error:
        return Failure((*problems_of(error, Settings), *conflicts))
    if conflicts:
        return Failure(conflicts)
    return Success(settings)


def settings_schema() -> dict[str, Any]:
    """JSON schema of a settings file."""
    return Settings.model_json_schema()


def _role_problems(value: Mapping[str, Any]) -> list[Problem]:
    """Missing keys that the role requires, and keys of the other role."""
    try:
        role = Role(value.get("role"))
    except ValueError:
        return []
    problems = [
        Problem(key, _format_if_present(value, key), f"a value: {_description(key)}")
        for key in sorted(_KEYS_OF_ROLE[role])
        if not value.get(key)
    ]
    foreign = set().union(*_KEYS_OF_ROLE.values()) - _KEYS_OF_ROLE[role]
    problems.extend(
        Problem(key, format_value(value[key]), f"no such key for the role {role.value}")
        for key in sorted(foreign)
        if value.get(key)
    )
    return problems


def _conflict_problems(value: Mapping[str, Any]) -> list[Problem]:
    """Keys whose values are valid on their own but conflict with each other."""
    problems: list[Problem] = []
    voters = value.get("voters")
    node = value.get("node_id")
    if isinstance(voters, dict) and voters and isinstance(node, str):
        if node not in voters:
            expected = f"an entry for the node_id {node!r}"
            problems.append(Problem("voters", format_value(sorted(voters)), expected))
        elif voters[node] != value.get("api_endpoint"):
            expected = f"the api_endpoint {format_value(value.get('api_endpoint'))}"
            problems.append(
                Problem(f"voters.{node}", format_value(voters[node]), expected)
            )
    problems.extend(_duplicate_endpoints(value))
    return problems


def _duplicate_endpoints(value: Mapping[str, Any]) -> list[Problem]:
    problems: list[Problem] = []
    for key in ("control_endpoints", "voters"):
        entries = value.get(key)
        listed = list(entries.values()) if isinstance(entries, dict) else entries
        if not isinstance(listed, list):
            continue
        texts = [entry for entry in listed if isinstance(entry, str)]
        duplicates = sorted({text for text in texts if texts.count(text) > 1})
        problems.extend(
            Problem(key, f"{text!r} more than once", "each endpoint once")
            for text in duplicates
        )
    return problems


def _format_if_present(value: Mapping[str, Any], key: str) -> str:
    return format_value(value[key]) if key in value else "nothing"


def _description(key: str) -> str:
    return Settings.model_fields[key].description or key
