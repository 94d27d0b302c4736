#!/bin/sh
# Builds .venv from requirements.txt. The copy of the requirements inside .venv is written last, so a build that was
# cut short, or one made from other requirements, is noticed and made anew.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s requirements.txt .venv/built-from.txt; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/pip -q install --disable-pip-version-check -r requirements.txt
    .venv/bin/python -O -m compileall -q .venv/lib || echo "some bytecode is missing; starting takes longer" >&2
    cp requirements.txt .venv/built-from.txt
fi
# The program runs with -O on a disk that it cannot write to: without this it compiles all it imports at each start.
.venv/bin/python -O -m compileall -q madderwind
