"""Entry point of `python -m madderwind.cli`."""

from madderwind.cli.commands import main

main()
