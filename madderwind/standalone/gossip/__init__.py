"""Gossip between balancer copies: failure detection and dissemination of updates. Performs no I/O."""
