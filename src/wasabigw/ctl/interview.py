"""Interactive prompts for the answers of the questionnaire."""

from collections.abc import Callable
from enum import Enum
from types import UnionType
from typing import Any, get_args, get_origin

from pydantic import BaseModel
from pydantic.fields import FieldInfo

Ask = Callable[[str, str | None], str]
"""Shows a question and a default answer, and returns the text that was entered."""
Show = Callable[[str], None]

MAX_COUNT = 100
_TRUE = ("y", "yes", "true")
_FALSE = ("n", "no", "false")


def interview(model: type[BaseModel], ask: Ask, show: Show) -> dict[str, Any]:
    """Ask for the value of each field of a model, in the form of an answer file.

    A question is repeated if the answer has the wrong type. Conflicts between answers
    are found later, by the check of all answers.
    """
    return {
        name: _ask_field(name, field, ask, show)
        for name, field in model.model_fields.items()
    }


def _ask_field(name: str, field: FieldInfo, ask: Ask, show: Show) -> Any:
    question = field.description or name
    nested = _nested_model(field.annotation)
    if nested is None:
        return _ask_value(question, field, ask, show)
    if get_origin(field.annotation) is not tuple:
        show(question)
        return interview(nested, ask, show)
    count = _ask_parsed(f"{question} How many?", _parse_count, None, ask, show)
    answers = []
    for number in range(1, count + 1):
        show(f"{name}, {number} of {count}")
        answers.append(interview(nested, ask, show))
    return answers


def _ask_value(question: str, field: FieldInfo, ask: Ask, show: Show) -> Any:
    default = field.get_default()
    if field.is_required():
        shown_default = None
    elif isinstance(default, Enum):
        shown_default = str(default.value)
    else:
        shown_default = "yes" if default else "no"
    parse = _parser(field.annotation)
    return _ask_parsed(question, parse, shown_default, ask, show)


def _ask_parsed(
    question: str,
    parse: Callable[[str], Any],
    default: str | None,
    ask: Ask,
    show: Show,
) -> Any:
    while True:
        text = ask(question, default).strip()
        try:
            return parse(text)
        except ValueError as error:
            show(f"read {text!r}, expected {error}")


def _nested_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        if isinstance(argument, type) and issubclass(argument, BaseModel):
            return argument
    return None


def _parser(annotation: Any) -> Callable[[str], Any]:
    if get_origin(annotation) is tuple:
        return _parse_list
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return lambda text: _parse_choice(annotation, text)
    parsers: dict[type | UnionType, Callable[[str], Any]] = {
        bool: _parse_bool,
        int: _parse_int,
        float: _parse_float,
    }
    return parsers.get(annotation, _parse_text)


def _parse_text(text: str) -> str:
    if not text:
        raise ValueError("an answer")
    return text


def _parse_list(text: str) -> list[str]:
    items = [item.strip() for item in text.split(",") if item.strip()]
    if not items:
        raise ValueError("names, separated by commas")
    return items


def _parse_choice(choices: type[Enum], text: str) -> str:
    values = [str(choice.value) for choice in choices]
    if text.lower() not in values:
        raise ValueError(f"one of {', '.join(values)}")
    return text.lower()


def _parse_bool(text: str) -> bool:
    if text.lower() not in (*_TRUE, *_FALSE):
        raise ValueError("yes or no")
    return text.lower() in _TRUE


def _parse_int(text: str) -> int:
    try:
        return int(text)
    except ValueError:
        raise ValueError("a whole number") from None


def _parse_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise ValueError("a number") from None


def _parse_count(text: str) -> int:
    count = _parse_int(text)
    if not 1 <= count <= MAX_COUNT:
        raise ValueError(f"a number from 1 to {MAX_COUNT}")
    return count
