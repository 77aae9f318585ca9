"""The core performs no input or output, so that runs can be replayed from events."""

import ast
import unittest
from pathlib import Path

import wasabigw.core

ALLOWED_LIBRARY = frozenset(
    {
        "abc",
        "bisect",
        "collections",
        "dataclasses",
        "difflib",
        "enum",
        "functools",
        "hashlib",
        "heapq",
        "ipaddress",
        "itertools",
        "math",
        "operator",
        "returns",
        "statistics",
        "struct",
        "types",
        "typing",
        "xxhash",
    }
)
CORE = Path(wasabigw.core.__file__).parent


def imported_modules(path: Path) -> list[str]:
    """Absolute names of the modules that a file imports."""
    names: list[str] = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            names.extend(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            names.append(node.module or "")
    return names


def is_allowed(name: str) -> bool:
    """Whether the core may import a module."""
    if name == "wasabigw.core" or name.startswith("wasabigw.core."):
        return True
    return name.split(".")[0] in ALLOWED_LIBRARY


class CoreImports(unittest.TestCase):
    """Guards against decisions that depend on a clock, a socket or a file."""

    def test_core_imports_only_pure_modules(self) -> None:
        wrong = [
            f"{path.relative_to(CORE)}: {name}"
            for path in sorted(CORE.rglob("*.py"))
            for name in imported_modules(path)
            if not is_allowed(name)
        ]
        self.assertEqual(wrong, [])

    def test_clock_socket_and_random_modules_are_refused(self) -> None:
        for name in ("time", "socket", "random", "threading", "wasabigw.tasks"):
            with self.subTest(name=name):
                self.assertFalse(is_allowed(name))
