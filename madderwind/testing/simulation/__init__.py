"""Discrete-event simulation of many policy copies on one clock, at sizes that sockets do not allow."""
