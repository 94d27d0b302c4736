#!/bin/sh
# Everything that must hold before a change lands: style, types, tests.
# TEST_WORKERS: how many processes run tests at once; as many as there are processors, 8 at most, where it is not set.
set -eu
cd "$(dirname "$0")/.."
ruff check .
ruff format --check .
mypy
python -m pytest -q -n "${TEST_WORKERS:-auto}" --maxprocesses 8
