"""`python -m madderwind.testing.simhost`: serve the simulator's wire on standard input and output."""

import sys

from madderwind.testing.simhost.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
