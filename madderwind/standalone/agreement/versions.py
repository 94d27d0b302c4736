"""Which file may follow which: a whole number, and a digest of all that copies have to have alike."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any

import msgspec
import orjson

# What differs from copy to copy, and is therefore in no digest.
OWN = frozenset(("name", "listen", "discovery", "admin_addr", "seed", "limits", "known", "peers", "version"))
OWN_SETTINGS = frozenset(("Me", "Zone"))
DIGEST_BYTES = 8


class Stamp(msgspec.Struct, frozen=True):
    """A version: its number, from 1 on, and the digest of its content."""

    number: int
    digest: str

    def __str__(self) -> str:
        return f"version {self.number} ({self.digest})"


def digest_of(file: Mapping[str, Any]) -> str:
    """Alike for two files that tell their copies the same, however they are written."""
    shared = {name: value for name, value in file.items() if name not in OWN}
    settings = shared.get("settings")
    if isinstance(settings, dict):
        shared["settings"] = {name: value for name, value in settings.items() if name not in OWN_SETTINGS}
    plain = orjson.dumps(_alike(shared), option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(plain, digest_size=DIGEST_BYTES).hexdigest()


def _alike(value: Any) -> Any:
    """3 and 3.0 are one number."""
    if isinstance(value, dict):
        return {name: _alike(inner) for name, inner in value.items()}
    if isinstance(value, list):
        return [_alike(inner) for inner in value]
    return float(value) if isinstance(value, int) and not isinstance(value, bool) else value


def why_not(in_force: Stamp | None, offered: Stamp | None) -> str:
    """Why the offered version may not follow the one in force; "" where it may."""
    if offered is None or in_force is None or offered == in_force:
        return ""
    if offered.number == in_force.number:
        return f"{offered} is not what is in force under that number: {in_force}"
    if offered.number < in_force.number:
        return f"{offered} goes back behind {in_force}: rolling back is a new number"
    if offered.number > in_force.number + 1:
        return f"{offered} leaves out {in_force.number + 1}: in force is {in_force}"
    return ""
