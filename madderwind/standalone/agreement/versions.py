"""Which version of a file may follow which, by its number and a digest of the shared settings."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec
import orjson

# Fields that differ between balancers and are therefore excluded from the digest.
BALANCER_FIELDS = frozenset(
    ("name", "listen", "discovery", "admin_addr", "seed", "limits", "known", "peers", "version")
)
BALANCER_SETTINGS = frozenset(("Me", "Zone"))
DIGEST_BYTES = 8


class Stamp(msgspec.Struct, frozen=True):
    """A version: its number, starting at 1, and the digest of its content."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"version {self.number} ({self.digest})"


def digest_of(file: Mapping[str, Any]) -> str:
    """A digest that is equal for two files with the same shared settings, however they are formatted."""
    shared = {name: value for name, value in file.items() if name not in BALANCER_FIELDS}
    settings = shared.get("settings")
    if isinstance(settings, dict):
        shared["settings"] = {
            name: value for name, value in settings.items() if name not in BALANCER_SETTINGS
        }
    canonical = orjson.dumps(_normalized(shared), option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(canonical, digest_size=DIGEST_BYTES).hexdigest()


def _normalized(value: Any) -> Any:
    """Convert integers to floats, as 3 and 3.0 are the same number."""
    if isinstance(value, dict):
        return {name: _normalized(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [_normalized(inner) for inner in value]
    return float(value) if isinstance(value, int) and not isinstance(value, bool) else value


def why_not(in_force: Stamp | None, offered: Stamp | None) -> str:
    """Why the offered version may not follow the one in force; "" if it may."""
    if offered is None or in_force is None or offered == in_force:
        return ""
    if offered.number == in_force.number:
        return f"{offered} is not what is in force under that number: {in_force}"
    if offered.number < in_force.number:
        return f"{offered} goes back behind {in_force}: rolling back is a new number"
    if offered.number > in_force.number + 1:
        return f"{offered} leaves out {in_force.number + 1}: in force is {in_force}"
    return ""
