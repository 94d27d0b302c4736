"""The decisions of the standalone balancer are in listed modules without I/O or access to a clock."""

import ast
import tomllib
from pathlib import Path

import pytest

from tests.source_trees import parse_source

ROOT = Path(__file__).parents[3]
LISTED = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
# The list has the files that decide on upstreams, retries and refusals; the files below decide none of these.
# Users accept types and wire code in other files, and other decisions in modules of their own.
NOT_LISTED = {
    "madderwind/standalone/policy/api.py": "types of the interface",
    "madderwind/standalone/policy/records.py": "types of stored records, with their state changes",
    "madderwind/standalone/policy/peer_messages.py": "wire code",
    "madderwind/standalone/policy/traffic.py": "rates that balancers send one another, and when",
    "madderwind/standalone/policy/subscription.py": "when discovery is called",
    "madderwind/balancing/outcomes.py": "types of outcomes of attempts",
    "madderwind/balancing/estimates.py": "statistics: means and rates",
    "madderwind/standalone/policy/__init__.py": "a docstring",
    "madderwind/balancing/__init__.py": "a docstring",
}
ALLOWED_LIBRARIES = {
    "__future__",
    "collections.abc",
    "enum",
    "math",
    "msgspec",
    "random",
    "typing",
}


def imported_modules(path: str) -> set[str]:
    """The full names of the modules that a file imports."""
    names = set()
    for node in ast.walk(parse_source(ROOT / path)):
        if isinstance(node, ast.Import):
            names |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.module is not None and node.level == 0
            inside = {f"{node.module}.{name.name}" for name in node.names}
            names |= {name for name in inside if file_of(name) is not None} or {node.module}
    return names


def file_of(module: str) -> str | None:
    """The file of a module, if it belongs to the project."""
    path = module.replace(".", "/") + ".py"
    return path if module.startswith("madderwind.") and (ROOT / path).exists() else None


def imported_files() -> set[str]:
    """The files of all modules of the project that the balancer imports, directly or indirectly."""
    files: set[str] = set()
    pending = ["madderwind/standalone/policy/balancer.py"]
    while pending:
        path = pending.pop()
        if path not in files:
            files.add(path)
            pending += [file for name in imported_modules(path) if (file := file_of(name)) is not None]
    return files


def test_the_lines_of_listed_files_have_at_most_110_characters() -> None:
    lines = [line for path in LISTED for line in (ROOT / path).read_text().splitlines()]
    assert max(map(len, lines)) <= 110


def test_every_file_with_decisions_is_listed() -> None:
    """Guards against decisions in unlisted files: each imported file is in the list or in `NOT_LISTED`."""
    assert imported_files() == {*LISTED, *NOT_LISTED} - {
        path for path in NOT_LISTED if path.endswith("__init__.py")
    }
    files_of_package = {
        str(path.relative_to(ROOT)) for path in (ROOT / "madderwind/standalone/policy").glob("*.py")
    }
    assert files_of_package <= {*LISTED, *NOT_LISTED}
    assert not {*LISTED} & {*NOT_LISTED}


@pytest.mark.parametrize("path", sorted(imported_files()))
def test_the_modules_import_no_io_or_clock(path: str) -> None:
    assert {name for name in imported_modules(path) if file_of(name) is None} <= ALLOWED_LIBRARIES
    allowed = ("madderwind.standalone.policy.", "madderwind.balancing.")
    assert all(name.startswith(allowed) for name in imported_modules(path) if file_of(name))


def test_the_first_line_of_the_first_module_names_the_interface() -> None:
    first = (ROOT / LISTED[0]).read_text().split("\n", 1)[0]
    assert "madderwind/standalone/policy/api.py" in first
