"""Commands for operators' configurations: check, diff and apply."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs
import msgspec
import yaml

from madderwind.configuration.documents import Configuration
from madderwind.configuration.reading import Document, read_document
from madderwind.errors import ConfigurationError, FileFormatError, OperatorCallError
from madderwind.testing.local_fleet.operator_client import Answer, OperatorClient
from madderwind.testing.local_fleet.status_client import NodeStatus, read_status
from madderwind.testing.local_fleet.yaml_files import line_of, steps_of

POLL_INTERVAL_S = 0.2


def check(file: str) -> None:
    """Print a summary of a valid configuration; otherwise FileFormatError names the field and line."""
    configuration = read_configuration_file(Path(file)).configuration
    print(
        f"{file}: version {configuration.version}, {len(configuration.routes)} routes, "
        f"{len(configuration.services)} services, {len(configuration.tenants)} tenants"
    )


def read_configuration_file(path: Path) -> Document:
    """Read the configuration in a JSON or YAML file."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise FileFormatError(str(path), 0, "", str(error)) from None
    try:
        return read_document(_as_json(text, path))
    except ConfigurationError as error:
        line = line_of(text, steps_of(error.field))
        raise FileFormatError(str(path), line, error.field, error.reason) from None


def _as_json(text: str, path: Path) -> bytes:
    """Return JSON unchanged and YAML converted to JSON."""
    if path.suffix == ".json" or text.lstrip().startswith("{"):
        return text.encode()
    try:
        raw = yaml.safe_load(text)
    except yaml.MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 0
        raise FileFormatError(str(path), line, "", error.problem or "is not valid YAML") from None
    return msgspec.json.encode(raw)


@attrs.frozen
class Change:
    """One difference: an addition (`old` is empty), a removal (`new` is empty) or a changed value."""

    field: str
    old: str
    new: str

    def __str__(self) -> str:
        if not self.old:
            return f"+ {self.field}: {self.new}"
        if not self.new:
            return f"- {self.field}: {self.old}"
        return f"~ {self.field}: {self.old} -> {self.new}"


def differences(old: Configuration, new: Configuration) -> list[Change]:
    """Compare two configurations item by item; routes, services and tenants are matched by name."""
    changes = _field_changes("limits", attrs.asdict(old.limits), attrs.asdict(new.limits))
    for section in ("routes", "services", "tenants"):
        before = {item.name: item for item in getattr(old, section)}
        after = {item.name: item for item in getattr(new, section)}
        for name in sorted(before.keys() | after.keys()):
            field_path = f"{section}[{name}]"
            if name not in after:
                changes.append(Change(field_path, "present", ""))
            elif name not in before:
                changes.append(Change(field_path, "", "present"))
            else:
                changes += _field_changes(field_path, attrs.asdict(before[name]), attrs.asdict(after[name]))
    return changes


def _field_changes(field_path: str, old: dict[str, Any], new: dict[str, Any]) -> list[Change]:
    return [
        Change(f"{field_path}.{field}", _json_text(old[field]), _json_text(new[field]))
        for field in old
        if old[field] != new[field]
    ]


def _json_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def diff(old: str, new: str) -> int:
    """Print the differences; return 1 if there are any."""
    changes = differences(
        read_configuration_file(Path(old)).configuration, read_configuration_file(Path(new)).configuration
    )
    for change in changes:
        print(change)
    return int(bool(changes))


def apply(file: str, control: Sequence[str], status: Sequence[str], wait_s: float) -> int:
    """Send a configuration and show which data planes have applied it; return 1 if some have not.

    Raises:
        OperatorCallError: The configuration was refused.
    """
    return asyncio.run(_apply(read_configuration_file(Path(file)), control, status, wait_s))


async def _apply(document: Document, control: Sequence[str], status: Sequence[str], wait_s: float) -> int:
    async with OperatorClient(control) as client:
        current = await client.read()
        base_version = _version_of(current)
        if base_version:
            for change in differences(read_document(current.body).configuration, document.configuration):
                print(change)
        answer = await client.replace(base_version, document.raw)
    if not answer.is_taken:
        response_body = answer.body.decode(errors="replace")
        raise OperatorCallError(
            f"version {document.version} as replacement of {base_version}: {answer.status} {response_body}"
        )
    print(f"version {document.version} is acknowledged; it replaces version {base_version}")
    if not status:
        print("pass --status to see which data planes have applied it")
        return 0
    return await _show_applied_versions(document.version, status, wait_s)


def _version_of(answer: Answer) -> int:
    return read_document(answer.body).version if answer.is_taken else 0


async def _show_applied_versions(version: int, status: Sequence[str], wait_s: float) -> int:
    """Wait for the data planes that these control planes report, and print their versions."""
    deadline_s = asyncio.get_running_loop().time() + wait_s
    while True:
        planes = _applied_versions(await read_status(status))
        outdated = [node for node, applied in planes.items() if applied < version]
        if (planes and not outdated) or asyncio.get_running_loop().time() > deadline_s:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    if not planes:
        raise OperatorCallError(f"no control plane at {', '.join(status)} reported any data plane")
    for node, applied in sorted(planes.items()):
        print(f"  {node:24}{'has applied it' if applied >= version else f'still at version {applied}'}")
    return int(bool(outdated))


def _applied_versions(statuses: Sequence[NodeStatus]) -> dict[str, int]:
    applied: dict[str, int] = {}
    for node_status in statuses:
        for plane in node_status.status.data_planes if node_status.status is not None else ():
            applied[plane.node] = max(applied.get(plane.node, 0), plane.applied_version)
    return applied
