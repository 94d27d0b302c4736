"""`python -m madderwind.testing.bench_adapter`: serve the simulator's wire on standard input and output."""

import sys

from madderwind.testing.bench_adapter.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
