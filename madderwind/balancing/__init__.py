"""Retry, selection and load decisions shared by the standalone program and the data plane; no I/O."""
