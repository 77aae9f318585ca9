"""Modules of the project import each other in one direction only."""

import ast
import unittest
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src"


def modules() -> dict[str, ast.Module]:
    """Parsed modules by name."""
    found = {}
    for path in SOURCES.rglob("*.py"):
        parts = path.relative_to(SOURCES).with_suffix("").parts
        name = ".".join(parts[:-1] if parts[-1] == "__init__" else parts)
        found[name] = ast.parse(path.read_text(encoding="utf-8"))
    return found


def imports_of(tree: ast.Module) -> Iterator[str]:
    """Names that a module imports, also within functions and for types only."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


class Circles(unittest.TestCase):
    """Guards against modules that can only be read together."""

    def test_no_modules_import_each_other(self) -> None:
        parsed = modules()
        graph = {
            name: {used for used in imports_of(tree) if used in parsed and used != name}
            for name, tree in parsed.items()
        }
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"circle: {' -> '.join(error.args[1])}")


if __name__ == "__main__":
    unittest.main()
