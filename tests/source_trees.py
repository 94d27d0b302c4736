"""Parses source files for tests that read them as syntax trees."""

from __future__ import annotations

import ast
import gc
from pathlib import Path


def parse_source(path: Path) -> ast.Module:
    """The syntax tree of a file.

    No garbage is collected meanwhile: a finalizer that raises has its traceback formatted, which calls
    `ast.parse` too, and Python 3.11 fails if that happens within another call (SystemError: AST constructor
    recursion depth mismatch).
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        if was_enabled:
            gc.enable()
