"""Bans in a small file, for a successor of a process that died."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

VERSION = 1
LONGEST_FILE = 1024 * 1024


class Bans(msgspec.Struct, frozen=True):
    suspended: list[str] = []
    restored_ms: dict[str, float] = {}
    version: int = VERSION


def read_bans(path: Path) -> tuple[Bans, str]:
    """The bans, and what is wrong with the file, if anything; none where there is no file."""
    try:
        with path.open("rb") as file:
            bans = msgspec.json.decode(file.read(LONGEST_FILE), type=Bans)
    except FileNotFoundError:
        return Bans(), ""
    except (OSError, msgspec.DecodeError, ValueError, RecursionError) as error:
        return Bans(), str(error)
    if bans.version != VERSION:
        return Bans(), f"version {bans.version}, not {VERSION}"
    return bans, ""


def write_bans(path: Path, bans: Bans) -> str:
    """Write it in one step, so that whoever reads finds the old or the new; what went wrong, if anything."""
    beside = path.with_suffix(f".{os.getpid()}")
    try:
        beside.write_bytes(msgspec.json.encode(bans))
        beside.replace(path)
    except OSError as error:
        with contextlib.suppress(OSError):
            beside.unlink()
        return str(error)
    return ""
