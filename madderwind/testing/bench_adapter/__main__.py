"""`python -m madderwind.testing.bench_adapter`: serve the simulator's protocol on stdin and stdout."""

import sys

from madderwind.testing.bench_adapter.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
