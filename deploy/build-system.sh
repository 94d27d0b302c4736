#!/bin/sh
# Builds target/venv for the two programs of the system. The copy of the requirements is written last, so that a build
# which was cut short, or one made from other requirements, is made anew.
set -eu
cd "$(dirname "$0")/.."
if ! cat requirements-system.txt requirements.txt | cmp -s - target/built-from.txt; then
    rm -rf target/venv
    mkdir -p target
    python3 -m venv target/venv
    target/venv/bin/pip -q install --disable-pip-version-check -r requirements-system.txt
    target/venv/bin/python -O -m compileall -q target/venv/lib || echo "some bytecode is missing; starting takes longer" >&2
    cat requirements-system.txt requirements.txt > target/built-from.txt
fi
target/venv/bin/python -O -m compileall -q madderwind
