"""Settings of ``wasabigwctl``, from a JSON file and overriding options."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from wasabigw.core.problems import Problems
from wasabigw.json_input import problems_of, read_object
from wasabigw.settings_types import EndpointSetting, Name


class ToolSettings(BaseModel):
    """Settings of wasabigwctl."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, use_attribute_docstrings=True
    )

    control_endpoints: tuple[EndpointSetting, ...] = Field(min_length=1, max_length=16)
    """API endpoints of the control VMs (address:port each)."""
    token_file: Path
    """File with the operator token."""
    balancers: dict[Name, tuple[EndpointSetting, ...]] = Field(default_factory=dict)
    """API endpoints of balancers by failure domain, for ``--local`` and ``flow``."""
    time_limit: float = Field(
        default=30.0, strict=True, ge=1.0, le=3600.0, allow_inf_nan=False
    )
    """Time limit of a command, including the wait until in force (seconds)."""
    connect_timeout: float = Field(
        default=1.0, strict=True, ge=0.05, le=60.0, allow_inf_nan=False
    )
    """Timeout for connecting to one endpoint (seconds)."""
    read_timeout: float = Field(
        default=5.0, strict=True, ge=0.05, le=600.0, allow_inf_nan=False
    )
    """Timeout for each read of a response from one endpoint (seconds)."""
    trace_file: Path | None = None
    """File for the spans of the tool's calls, one JSON object per line."""


def load_tool_settings(
    path: Path | None, options: Mapping[str, Any]
) -> Result[ToolSettings, Problems]:
    """Load the settings from an optional file and options, or list all problems.

    :param options: values by key; they override those of the file.
    """
    read: Result[dict[str, Any], Problems] = (
        Success({}) if path is None else read_object(path)
    )
    return read.bind(lambda value: _settings_from({**value, **options}))


def tool_settings_schema() -> dict[str, Any]:
    """JSON schema of the settings file of the tool."""
    return ToolSettings.model_json_schema()


def _settings_from(value: dict[str, Any]) -> Result[ToolSettings, Problems]:
    try:
        return Success(ToolSettings.model_validate(value))
    except ValidationError as error:
        return Failure(problems_of(error, ToolSettings))
