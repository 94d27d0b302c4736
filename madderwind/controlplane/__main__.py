"""`python -m madderwind.controlplane`."""

from madderwind.controlplane.process import main

main()
