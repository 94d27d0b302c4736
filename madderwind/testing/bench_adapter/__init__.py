"""Adapter between the simulator's wire and the decision module. It translates and decides nothing."""
