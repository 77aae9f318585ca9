"""The modules of the project have no cyclic imports."""

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
    """Names that a module imports, including imports in functions or for types only."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            yield node.module
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


class ImportCycles(unittest.TestCase):
    """Guards against modules that can't be understood or imported on their own."""

    def test_imports_have_no_cycles(self) -> None:
        parsed = modules()
        graph = {
            name: {used for used in imports_of(tree) if used in parsed and used != name}
            for name, tree in parsed.items()
        }
        try:
            TopologicalSorter(graph).prepare()
        except CycleError as error:
            self.fail(f"import cycle: {' -> '.join(error.args[1])}")


if __name__ == "__main__":
    unittest.main()
