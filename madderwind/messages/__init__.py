"""Typed messages between the system's processes, encoded as MessagePack by msgspec."""
