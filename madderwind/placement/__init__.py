"""Choosing the model server of a generation: prefix affinity, estimates of load, bounded spill.

It does no input or output.
"""
