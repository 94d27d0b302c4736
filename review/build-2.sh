#!/bin/sh
# Builds what the scripts of `review/4` to `review/8` need beside the build of the deploy file. The stand-ins are Python files
# that run with target/venv and import nothing but its standard library, so building them is compiling them.
set -eu
cd "$(dirname "$0")/.."
target/venv/bin/python - <<'PYTHON'
import sys
from pathlib import Path

for path in [Path("review/stand_ins.py"), *sorted(Path("review").glob("[4-8]/*.py"))]:
    compile(path.read_text(), str(path), "exec")
    print(f"{path}: compiles", file=sys.stderr)
PYTHON
