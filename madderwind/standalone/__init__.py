"""The standalone balancer, `python -m madderwind`: one process next to each client, with no control plane."""
