"""Options shared by several commands."""

from typing import Annotated

import typer

from wasabigw.core.ids import RequestId, Revision
from wasabigw.ctl.actions import ChangeOptions
from wasabigw.ctl.console import Output, exit_with_error
from wasabigw.ctl.errors import wrong_input

MAX_REQUEST_ID_LENGTH = 128

OutputOption = Annotated[
    Output, typer.Option("--output", "-o", help="Format of the result.")
]
RequestIdOption = Annotated[
    str | None,
    typer.Option(
        "--request-id",
        help="Repeats a change whose outcome is unknown; by default a new random id.",
    ),
]
ExpectedRevisionOption = Annotated[
    int | None,
    typer.Option(
        "--expected-revision",
        min=0,
        help="Configuration revision that the change is based on; latest by default.",
    ),
]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Show what would change and send nothing.")
]


def change_options(
    request_id: str | None,
    expected_revision: int | None,
    dry_run: bool,
    output: Output,
) -> ChangeOptions:
    """Validate the options of a change; exits with an error if one is invalid."""
    if request_id is not None and not _is_request_id(request_id):
        expected = f"1 to {MAX_REQUEST_ID_LENGTH} printable ASCII characters, no spaces"
        exit_with_error(
            output, wrong_input("--request-id", ascii(request_id), expected)
        )
    return ChangeOptions(
        None if request_id is None else RequestId(request_id),
        None if expected_revision is None else Revision(expected_revision),
        dry_run,
    )


def _is_request_id(text: str) -> bool:
    is_plain = text.isascii() and text.isprintable() and " " not in text
    return is_plain and 1 <= len(text) <= MAX_REQUEST_ID_LENGTH
