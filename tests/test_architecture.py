"""Tests the import rules of the project's layers."""

import ast
from collections import abc
import pathlib
import re
import unittest

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_SOURCES = ("mothpass", "spec", "bench", "tests", "examples")
_FORBIDDEN_IN_CORE = (
    "asyncio",
    "blacksheep",
    "datetime",
    "grpc",
    "logging",
    "mothpass.adapters",
    "mothpass.daemon",
    "os",
    "socket",
    "statsd",
    "time",
)
# Names of the platform's protocol: headers, paths, tables, keys and variables.
# Headers of mothpass's own protocol begin with X-.
_PLATFORM_NAMES = re.compile(
    r"(?<!x-)\b(attempt-id|deadline-ms)\b|server-seal|not-run|token-count"
    r"|prompt-prefix|expect-(instance|version)|request-urgency|kv-(fetch|from)"
    r"|kv-backup|pin-ms|rows-(tx|get|feed|parts)|blob-(put|get)|coldLeftMs"
    r"|op/config|evacuate/|MOTHPASS_SETTINGS|innerPorts|budgetRatio"
    r"|last-event-id|weight-versions|instance-id",
    re.IGNORECASE,
)
# Packages whose documentation imports names rather than modules.
_NAMES_ALLOWED_FROM = ("__future__",)


def _list_sources(folder: str) -> list[pathlib.Path]:
    paths = sorted((_ROOT / folder).rglob("*.py"))
    return [path for path in paths if "_pb2" not in path.name]


def _list_imports(path: pathlib.Path) -> abc.Iterator[tuple[int, str, str]]:
    """Yields line, module and imported name ("" for a plain import)."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            for alias in node.names:
                yield node.lineno, alias.name, ""
        elif isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.lineno, node.module or "", alias.name


class ImportTest(unittest.TestCase):
    """Tests the import statements of all sources."""

    def test_core_imports_no_adapter_event_loop_or_clock(self) -> None:
        violations = []
        for path in _list_sources("mothpass/core"):
            for line, module, name in _list_imports(path):
                imported = f"{module}.{name}" if name else module
                for forbidden in _FORBIDDEN_IN_CORE:
                    if imported == forbidden or imported.startswith(
                        f"{forbidden}."
                    ):
                        violations.append(f"{path.name}:{line}: {imported}")
        self.assertEqual(violations, [])

    def test_platform_names_stand_only_in_platform_folder(
        self,
    ) -> None:
        violations = []
        for path in _list_sources("mothpass"):
            if path.parent.name == "platform":
                continue
            lines = path.read_text(encoding="utf-8").splitlines()
            for number, line in enumerate(lines, 1):
                if _PLATFORM_NAMES.search(line):
                    violations.append(f"{path.name}:{number}: {line.strip()}")
        self.assertEqual(violations, [])

    def test_platform_folder_does_not_import_the_relay(self) -> None:
        """Only the entry point may import the relay and its settings."""
        violations = []
        for path in _list_sources("mothpass/platform"):
            for line, module, name in _list_imports(path):
                imported = f"{module}.{name}" if name else module
                is_entry = path.name == "daemon.py"
                if imported.startswith("mothpass.relay") and not is_entry:
                    violations.append(f"{path.name}:{line}: {imported}")
        self.assertEqual(violations, [])

    def test_modules_are_imported_not_names(self) -> None:
        violations = []
        for folder in _SOURCES:
            for path in _list_sources(folder):
                for line, module, name in _list_imports(path):
                    if module in _NAMES_ALLOWED_FROM or not name:
                        continue
                    if name[0].isupper():
                        violations.append(f"{path}:{line}: {module}.{name}")
        self.assertEqual(violations, [])


if __name__ == "__main__":
    unittest.main()
