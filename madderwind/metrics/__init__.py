"""Figures of a process for Prometheus, at an address of their own, only where a setting asks for it."""
