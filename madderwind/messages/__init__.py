"""Typed messages between the system's processes, in MessagePack by msgspec."""
