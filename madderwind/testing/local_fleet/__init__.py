"""Runs a complete fleet on one machine: processes, generated traffic, injected faults, and a report."""
