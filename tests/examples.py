"""Settings of a small deployment in the form of the configuration file, for the tests of every layer."""

from __future__ import annotations

import copy
import json
import os
import sys
from pathlib import Path
from typing import Any

# On Linux each process uses a loopback address of its own, so that a concurrent test run cannot bind a port
# that a test here expects to be closed.
HOST = (
    "127.0.0.1" if sys.platform != "linux" else f"127.90.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}"
)

EXAMPLE = Path(__file__).parents[1] / "deploy" / "example-config.json"

# The README's example, with a customer name that a line cannot hold (it has a comma), and a class whose
# goal time even a busy machine meets.
SETTINGS: dict[str, Any] = json.loads(EXAMPLE.read_text())["settings"]
SETTINGS["Customers"][1]["Name"] = "rueda, andina"
SETTINGS["Profiles"][0].update(DeadlineMs=40000.0, GoalTimeMs=30000.0)


def settings(**ceilings: Any) -> dict[str, Any]:
    """A copy of the example's settings with some ceilings changed."""
    tree = copy.deepcopy(SETTINGS)
    tree["Ceilings"].update(ceilings)
    return tree


def member(
    name: str, port: int, phase: str = "Ready", cell: int = 0, up_since_ms: float = 0
) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"{HOST}:{port}",
        "locality": "a",
        "flavor": "m2",
        "cell": cell,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


def listing(*members: dict[str, Any], revision: int = 41, complete: bool = True) -> dict[str, Any]:
    return {"revision": revision, "complete": complete, "members": list(members)}


def configuration(
    known: dict[str, Any],
    discovery_port: int,
    sockets: int = 1024,
    discovery: str = "pushed",
    **ceilings: Any,
) -> bytes:
    return json.dumps(
        {
            "name": "n3",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known,
            "admin_addr": f"{HOST}:0",
            "settings": {**settings(**ceilings), "Discovery": discovery},
        }
    ).encode()
