"""Command line of the system: local fleets, load, fault injection, configurations and status."""
