"""Selects the model server of a generation by prefix affinity, load estimates and bounded spill.

This package does no I/O.
"""
