#!/bin/sh
# A front machine gets SIGTERM while upstreams are full; TROUBLE=0 plays the same without the signal.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/venv/bin/python ] || exit 2
exec target/venv/bin/python -B review/5/case.py
