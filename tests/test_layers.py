"""Checks that each package imports only from the layers that the table allows."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

from tests.source_trees import parse_source

ROOT = Path(__file__).parents[1] / "madderwind"

# The router fleet's packages from the lowest layer up: each may import all that precede it.
FLEET_LAYERS = (
    "errors",
    "log_events",
    "node_settings",
    "messages",
    "storage",
    "balancing",
    "replication",
    "configuration",
    "registry",
    "limits",
    "placement",
    "distribution",
)
_FLEET = " ".join(FLEET_LAYERS)

# Parts that both programs of the fleet may import in addition to the layers above.
_PROGRAM_PARTS = "early_signals eventlog settings_watch structured_log transport metrics"

# The parts that each part may import beside itself. Parts of `standalone` and `testing` are named with their
# package.
ALLOWED_IMPORTS = {
    # Independent of all others.
    "early_signals": "",
    "eventlog": "",
    "structured_log": "log_events",
    # Shared by both programs.
    "metrics": "errors",
    "settings_watch": "errors eventlog node_settings",
    "transport": "balancing eventlog",
    # The router fleet.
    **{name: " ".join(FLEET_LAYERS[:index]) for index, name in enumerate(FLEET_LAYERS)},
    "balancing": "",
    "controlplane": " ".join(name for name in FLEET_LAYERS if name not in ("limits", "placement"))
    + f" {_PROGRAM_PARTS}",
    "dataplane": f"{_FLEET} {_PROGRAM_PARTS}",
    "cli": f"{_FLEET} testing.local_fleet",
    # The standalone balancer.
    "standalone.clock": "",
    "standalone.gossip": "",
    "standalone.policy": "balancing",
    "standalone.settings": "standalone.policy",
    "standalone.evacuation": "standalone.policy",
    "standalone.agreement": "standalone.policy standalone.settings",
    "standalone.protocol": "standalone.policy standalone.settings",
    "standalone.routing": "eventlog transport standalone.clock standalone.evacuation standalone.gossip"
    " standalone.policy standalone.protocol standalone.settings",
    "standalone.admin": "eventlog transport standalone.routing",
    "standalone.handover": "eventlog standalone.policy standalone.protocol standalone.routing",
    "standalone.program": "eventlog transport standalone.admin standalone.agreement standalone.clock"
    " standalone.evacuation standalone.gossip standalone.handover standalone.protocol standalone.routing"
    " standalone.settings testing.fault_tests testing.simulation",
    # Test and measurement tools.
    "testing.bench_adapter": "standalone.policy standalone.settings",
    "testing.simulation": "standalone.evacuation standalone.gossip standalone.policy",
    "testing.fault_tests": "standalone.gossip standalone.policy testing.simulation",
    "testing.engine_emulator": "errors messages placement",
    "testing.local_fleet": f"{_FLEET} structured_log testing.fault_tests testing.engine_emulator",
}
NESTING_PACKAGES = ("standalone", "testing")
ENTRY_POINTS = ("__init__", "__main__")


def part_of(module: list[str]) -> str:
    """The part that a module belongs to, given the components of its name below madderwind."""
    if module[0] in NESTING_PACKAGES and len(module) > 1:
        return ".".join(module[:2])
    return module[0]


def imported_parts(path: Path) -> set[str]:
    """Parts of madderwind that a file imports, including imports inside functions."""
    modules = set()
    for node in ast.walk(parse_source(path)):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            modules |= {f"{node.module}.{alias.name}" for alias in node.names}
    submodules = (module.split(".")[1:] for module in modules if module.startswith("madderwind."))
    return {part_of(module) for module in submodules} - {"__version__"}


@pytest.mark.parametrize("path", sorted(ROOT.rglob("*.py")), ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_only_allowed_parts(path: Path) -> None:
    part = part_of(list(path.relative_to(ROOT).with_suffix("").parts))
    if part.rpartition(".")[2] in ENTRY_POINTS:
        return
    assert imported_parts(path) <= {*ALLOWED_IMPORTS[part].split(), part}


def test_every_part_is_in_the_table() -> None:
    parts = {part_of(list(path.relative_to(ROOT).with_suffix("").parts)) for path in ROOT.rglob("*.py")}
    listed_parts = {part for part in parts if part.rpartition(".")[2] not in ENTRY_POINTS}
    assert listed_parts == set(ALLOWED_IMPORTS)


def imported_modules(path: Path, known: set[str]) -> set[str]:
    """The known modules that a file imports, including imports inside functions or only for type checking."""
    found: set[str] = set()
    for node in ast.walk(parse_source(path)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            members = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= members & known or {str(node.module)}
    return found & known


def test_no_import_cycles() -> None:
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts): path for path in ROOT.rglob("*.py")
    }
    imports = {name: imported_modules(path, set(paths)) for name, path in paths.items()}
    reachable = {name: set(direct) for name, direct in imports.items()}
    for intermediate in paths:
        for modules in reachable.values():
            if intermediate in modules:
                modules |= reachable[intermediate]
    assert {name for name, modules in reachable.items() if name in modules} == set()


def test_protocol_does_no_io() -> None:
    for path in (ROOT / "standalone" / "protocol").glob("*.py"):
        text = path.read_text()
        assert not any(
            forbidden_text in text
            for forbidden_text in ("asyncio", "import socket", "aiohttp", "open(", "import time")
        )
