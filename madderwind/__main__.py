"""Entry point of `python -m madderwind`, the command line."""

import sys

from madderwind.standalone.program.cli import main

sys.exit(main())
