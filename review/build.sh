#!/bin/sh
# The stand-ins of the scripts are fleet.py and upstream.py: Python sources without dependencies, nothing to build.
cd "$(dirname "$0")/.." || exit 1
test -x target/venv/bin/python
