"""Each package imports only from layers below it: the table says from which."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[1] / "madderwind"

# The router fleet's packages from the ground up: each may import all those before it.
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

# What both hosts of the fleet may import beside the layers above.
_HOST_PARTS = "early_signals eventlog settings_watch structured_log transport metrics"

# What each part may import, itself aside; parts of `standalone` and `testing` are named with their package.
ALLOWED_IMPORTS = {
    # Free of all others.
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
    + f" {_HOST_PARTS}",
    "dataplane": f"{_FLEET} {_HOST_PARTS}",
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
    # What tests and measures.
    "testing.bench_adapter": "standalone.policy standalone.settings",
    "testing.simulation": "standalone.evacuation standalone.gossip standalone.policy",
    "testing.fault_tests": "standalone.gossip standalone.policy testing.simulation",
    "testing.engine_emulator": "errors messages placement",
    "testing.local_fleet": f"{_FLEET} structured_log testing.fault_tests testing.engine_emulator",
}
NESTING_PACKAGES = ("standalone", "testing")
ENTRY_POINTS = ("__init__", "__main__")


def part_of(module: list[str]) -> str:
    """The part that a module belongs to, from its name below madderwind."""
    if module[0] in NESTING_PACKAGES and len(module) > 1:
        return ".".join(module[:2])
    return module[0]


def imported_parts(path: Path) -> set[str]:
    """Parts of madderwind that a file imports, also inside functions."""
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}: relative import"
            modules |= {f"{node.module}.{alias.name}" for alias in node.names}
    below = (module.split(".")[1:] for module in modules if module.startswith("madderwind."))
    return {part_of(module) for module in below} - {"__version__"}


@pytest.mark.parametrize("path", sorted(ROOT.rglob("*.py")), ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_go_downwards(path: Path) -> None:
    part = part_of(list(path.relative_to(ROOT).with_suffix("").parts))
    if part.rpartition(".")[2] in ENTRY_POINTS:
        return
    assert imported_parts(path) <= {*ALLOWED_IMPORTS[part].split(), part}


def test_every_part_stands_in_the_table() -> None:
    parts = {part_of(list(path.relative_to(ROOT).with_suffix("").parts)) for path in ROOT.rglob("*.py")}
    named = {part for part in parts if part.rpartition(".")[2] not in ENTRY_POINTS}
    assert named == set(ALLOWED_IMPORTS)


def imported_modules(path: Path, known: set[str]) -> set[str]:
    """Those of the known modules that a file imports, also inside functions and for types alone."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            members = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= members & known or {str(node.module)}
    return found & known


def test_no_module_imports_itself_by_way_of_others() -> None:
    paths = {
        ".".join(path.relative_to(ROOT.parent).with_suffix("").parts): path for path in ROOT.rglob("*.py")
    }
    imports = {name: imported_modules(path, set(paths)) for name, path in paths.items()}
    reached = {name: set(direct) for name, direct in imports.items()}
    for middle in paths:
        for modules in reached.values():
            if middle in modules:
                modules |= reached[middle]
    assert {name for name, modules in reached.items() if name in modules} == set()


def test_protocol_does_no_input_or_output() -> None:
    for path in (ROOT / "standalone" / "protocol").glob("*.py"):
        text = path.read_text()
        assert not any(
            word in text for word in ("asyncio", "import socket", "aiohttp", "open(", "import time")
        )
