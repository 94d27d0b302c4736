"""Persists an operator's bans in a small file, for the process that follows one that died."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

VERSION = 1
MAX_FILE_BYTES = 1024 * 1024


class Bans(msgspec.Struct, frozen=True):
    suspended: list[str] = []
    restored_ms: dict[str, float] = {}
    version: int = VERSION


def read_bans(path: Path) -> tuple[Bans, str]:
    """Read the bans; returns them and an error message, "" if there is none. A missing file means no bans."""
    try:
        with path.open("rb") as file:
            bans = msgspec.json.decode(file.read(MAX_FILE_BYTES), type=Bans)
    except FileNotFoundError:
        return Bans(), ""
    except (OSError, msgspec.DecodeError, ValueError, RecursionError) as error:
        return Bans(), str(error)
    if bans.version != VERSION:
        return Bans(), f"version {bans.version}, not {VERSION}"
    return bans, ""


def write_bans(path: Path, bans: Bans) -> str:
    """Replace the file atomically: a reader finds the old or the new one. Returns an error message or ""."""
    temporary_path = path.with_suffix(f".{os.getpid()}")
    try:
        temporary_path.write_bytes(msgspec.json.encode(bans))
        temporary_path.replace(path)
    except OSError as error:
        with contextlib.suppress(OSError):
            temporary_path.unlink()
        return str(error)
    return ""
