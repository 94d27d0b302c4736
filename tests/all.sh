#!/bin/sh
# Everything that must hold before a change lands: style, types, tests (among them the module's size).
set -eu
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
python -m pytest -q
