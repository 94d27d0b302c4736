"""The standalone balancer, `python -m madderwind`: one program beside each client, with no control plane."""
