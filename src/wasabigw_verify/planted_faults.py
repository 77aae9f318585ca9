"""Faults that are planted in a module at run time, to see which checks find them.

The source text of a condition is replaced, the changed module is compiled, and the
functions of the loaded module get the changed code. Modules that have imported such a
function by name run the changed code as well.
"""

import importlib
import inspect
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import CodeType, FunctionType


class PlantingError(Exception):
    """A fault can't be planted, because the code is not what it was written for."""


@dataclass(frozen=True, slots=True)
class PlantedFault:
    """A condition and what replaces it.

    :param module: name of the module.
    :param condition: source text, which must occur once in the module.
    :param others: conditions in other functions that guard against the same fault.
    """

    name: str
    module: str
    condition: str
    replacement: str
    others: tuple["PlantedFault", ...] = ()


@contextmanager
def planted(fault: PlantedFault) -> Iterator[None]:
    """Plant a fault for some time.

    :raises PlantingError: if a condition is not there, or the fault has no effect on
        the code of a function.
    """
    original: dict[FunctionType, CodeType] = {}
    try:
        for part in (fault, *fault.others):
            for function, code in _changed_functions(part):
                if function in original:
                    raise PlantingError(f"{fault.name}: {function} changes twice")
                original[function] = function.__code__
                function.__code__ = code
        yield
    finally:
        for function, known in original.items():
            function.__code__ = known


def _changed_functions(fault: PlantedFault) -> list[tuple[FunctionType, CodeType]]:
    module = importlib.import_module(fault.module)
    source = inspect.getsource(module)
    occurrences = source.count(fault.condition)
    if occurrences != 1:
        raise PlantingError(
            f"{fault.name}: {fault.module} has {occurrences} places with "
            f"{fault.condition!r}, not 1"
        )
    changed = source.replace(fault.condition, fault.replacement)
    name = str(module.__file__)
    before = _codes(compile(source, name, "exec", dont_inherit=True))
    after = _codes(compile(changed, name, "exec", dont_inherit=True))
    found = [
        (function, after[function.__name__])
        for function in vars(module).values()
        if isinstance(function, FunctionType)
        and function.__module__ == module.__name__
        and function.__name__ in after
        and _effect(after[function.__name__]) != _effect(before[function.__name__])
    ]
    if not found:
        raise PlantingError(f"{fault.name}: no function of {fault.module} changes")
    return found


def _effect(code: CodeType) -> tuple[object, ...]:
    """What a function does, without the places of its code in the source text."""
    return code.co_code, code.co_consts, code.co_names, code.co_varnames


def _codes(module: CodeType) -> dict[str, CodeType]:
    """Code of the functions of a module, by name."""
    return {c.co_name: c for c in module.co_consts if isinstance(c, CodeType)}
