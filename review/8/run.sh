#!/bin/sh
# The first seed is killed as the system starts for the first time; TROUBLE=0 plays the same without the kill.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/venv/bin/python ] || exit 2
exec target/venv/bin/python -B review/8/case.py
