"""Records of the commands and calls of operators."""

from __future__ import annotations

import json
from typing import Any

import attrs

from madderwind.configuration.reading import Document
from madderwind.replication.commands import Command, CommandKind, CommandResult
from tests.controlplane.configurations import replacement_body, route

# Number of routes in each configuration; the first route's timeout holds the marker of the last command.
ROUTES = 3
MARKED_ROUTE = "r-0"


@attrs.define(eq=False)
class Intent:
    """One command of an operator, with all its calls. The resulting document contains `marker`."""

    marker: int
    command: Command
    version: int
    is_applicable: bool  # whether it is valid when applied to its base version
    began_ms: float
    acknowledged_ms: float | None = None
    last_sent_ms: float = attrs.field(
        default=attrs.Factory(lambda intent: intent.began_ms, takes_self=True), init=False
    )

    def __str__(self) -> str:
        kind = "" if self.is_applicable else "invalid "
        return (
            f"{kind}{self.command.kind.value} {self.marker} ({self.command.base_version} to {self.version})"
        )


@attrs.define(eq=False)
class CommandCall:
    """One call with a command; `result` is None if there was no definite answer."""

    intent: Intent
    machine: str
    began_ms: float
    ended_ms: float | None = None
    result: CommandResult | None = None

    def __attrs_post_init__(self) -> None:
        self.intent.last_sent_ms = max(self.intent.last_sent_ms, self.began_ms)

    def __str__(self) -> str:
        return f"{self.intent} at {self.machine} from {self.began_ms:.0f} to {self.ended_ms:.0f} ms"


def replacement(marker: int, base: int, version: int) -> Command:
    """Build a command that replaces the whole configuration."""
    return Command(CommandKind.REPLACE, base, replacement_body(version, ROUTES, marker))


def update(marker: int, base: int, version: int) -> Command:
    """Build a command that changes one route."""
    body = {"version": version, "upsert": {"routes": [route(0, marker)]}}
    return Command(CommandKind.UPDATE, base, json.dumps(body).encode())


def invalid_command(marker: int, base: int) -> Command:
    """Build a command that must be refused: its version does not increase, or a service is missing."""
    if marker % 2:
        return replacement(marker, base, max(base, 1) if base else 0)
    body = {"version": base + 1, "upsert": {"routes": [route(0, marker) | {"service": "unknown"}]}}
    return Command(CommandKind.UPDATE, base, json.dumps(body).encode())


def marker_in(document: Document | None) -> int:
    """Return the marker of the command that a document came from; 0 without a document."""
    if document is None:
        return 0
    routes = document.configuration.routes
    return int(next(item.timeout_ms for item in routes if item.name == MARKED_ROUTE))


def marker_in_json(document: bytes) -> int:
    """Return the marker of the command that a document in JSON came from."""
    routes: list[dict[str, Any]] = json.loads(document)["routes"]
    return int(next(item["timeout_ms"] for item in routes if item["name"] == MARKED_ROUTE))
