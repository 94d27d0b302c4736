"""Decisions on retries, picks and load that the present program and the system's data plane share; no I/O."""
