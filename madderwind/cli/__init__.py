"""The command line of the whole system: local fleets, load, faults, configurations, status."""
