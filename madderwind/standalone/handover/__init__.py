"""Upgrade without downtime: a process hands its listening socket and its state over to its successor."""
