"""Commands ``questionnaire``, ``generate`` and ``apply``."""

import json
from pathlib import Path
from typing import Annotated, Any

import typer
from returns.result import Success

from wasabigw.answer_file import AnswersModel, answers_from, read_answers
from wasabigw.codec import messages
from wasabigw.core.commands import ReplaceConfiguration
from wasabigw.core.problems import Problem
from wasabigw.core.questionnaire import GeneratedConfiguration, generate
from wasabigw.ctl.change_command import constant_change, send_change
from wasabigw.ctl.connection import value_or_exit
from wasabigw.ctl.console import Output, exit_with_error, show_result
from wasabigw.ctl.errors import WrongInput, wrong_input
from wasabigw.ctl.interview import interview
from wasabigw.ctl.options import (
    DryRunOption,
    ExpectedRevisionOption,
    OutputOption,
    RequestIdOption,
    change_options,
)
from wasabigw.json_input import read_object

AnswersOption = Annotated[
    Path | None,
    typer.Option("--answers", help="Answer file; without it, the questions are asked."),
]
WriteOption = Annotated[
    Path | None,
    typer.Option("--write", help="New file for the generated configuration."),
]


def questionnaire(
    answers: AnswersOption = None,
    write_answers: Annotated[
        Path | None,
        typer.Option(
            "--write-answers", help="New file for the answers given interactively."
        ),
    ] = None,
    write: WriteOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Generate a configuration from answers, with the reason for each value."""
    if answers is not None:
        if write_answers is not None:
            expected = "no --answers, because it saves answers given interactively"
            exit_with_error(
                output, wrong_input("--write-answers", str(write_answers), expected)
            )
        generate_command(answers, write, output)
        return
    given = interview(AnswersModel, _ask, _show)
    if write_answers is not None:
        # Written before the check, so that conflicting answers can be corrected there.
        _write_new(write_answers, given, "--write-answers", output)
    checked = value_or_exit(answers_from(given), output)
    generated = value_or_exit(generate(checked), output)
    _show_generated(generated, write, output)


def generate_command(
    answers: Annotated[Path, typer.Argument(help="Answer file.")],
    write: WriteOption = None,
    output: OutputOption = Output.TEXT,
) -> None:
    """Generate a configuration from an answer file."""
    checked = value_or_exit(read_answers(answers), output)
    generated = value_or_exit(generate(checked), output)
    _show_generated(generated, write, output)


def apply(
    context: typer.Context,
    configuration: Annotated[
        Path | None,
        typer.Argument(
            help="Configuration file, in the format that 'generate' writes."
        ),
    ] = None,
    answers: Annotated[
        Path | None,
        typer.Option("--answers", help="Answer file instead of a configuration."),
    ] = None,
    request_id: RequestIdOption = None,
    expected_revision: ExpectedRevisionOption = None,
    dry_run: DryRunOption = False,
    output: OutputOption = Output.TEXT,
) -> None:
    """Replace all services and failure domains with those of a file.

    Failure domains that are out of service stay so until they are brought back.
    """
    options = change_options(request_id, expected_revision, dry_run, output)
    if configuration is not None and answers is None:
        change = _read_configuration(configuration, output)
    elif answers is not None and configuration is None:
        checked = value_or_exit(read_answers(answers), output)
        change = value_or_exit(generate(checked), output).configuration
    else:
        read = "neither" if answers is None else "both"
        expected = "either a configuration file or --answers"
        exit_with_error(output, wrong_input("apply", read, expected))
    send_change(context, constant_change(change), options, output)


def _read_configuration(path: Path, output: Output) -> ReplaceConfiguration:
    value = value_or_exit(read_object(path), output)
    decoded = messages.from_json(value, ReplaceConfiguration)
    if not isinstance(decoded, Success):
        problems = tuple(
            Problem(f"{str(path)!a}", reason, "a file that 'generate' wrote")
            for reason in decoded.failure().problems
        )
        exit_with_error(output, WrongInput(problems))
    configuration: ReplaceConfiguration = decoded.unwrap()
    return configuration


def _show_generated(
    generated: GeneratedConfiguration, write: Path | None, output: Output
) -> None:
    configuration = messages.to_json(generated.configuration)
    if write is not None:
        _write_new(write, configuration, "--write", output)
    value = {
        "outcome": "generated",
        "exit_code": 0,
        "configuration": configuration,
        "explanations": [messages.to_json(item) for item in generated.explanations],
        "advice": list(generated.advice),
    }
    lines = [
        f"{item.key} = {item.value}  ({item.reason})" for item in generated.explanations
    ]
    lines.extend(f"advice: {text}" for text in generated.advice)
    if write is not None:
        lines.append(f"wrote {write}; send it with 'wasabigwctl apply {write}'")
    show_result(output, lines, value)


def _write_new(path: Path, value: Any, option: str, output: Output) -> None:
    """Write a JSON file, unless it exists already."""
    try:
        with path.open("x", encoding="utf-8") as file:
            file.write(json.dumps(value, indent=2) + "\n")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        expected = "the path of a new file in a writable directory"
        exit_with_error(
            output, wrong_input(option, f"{str(path)!a} ({reason})", expected)
        )


def _ask(question: str, default: str | None) -> str:
    return str(typer.prompt(question, default=default, err=True, prompt_suffix=" "))


def _show(text: str) -> None:
    typer.echo(text, err=True)
