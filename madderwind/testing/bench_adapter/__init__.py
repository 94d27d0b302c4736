"""Adapter that translates between the simulator's wire protocol and the decision module."""
