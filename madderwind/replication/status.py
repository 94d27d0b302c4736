"""The status of a replica as an immutable value."""

from __future__ import annotations

import msgspec


class ReplicaStatus(msgspec.Struct, frozen=True):
    """A snapshot of what a replica knows about itself and its group.

    Attributes:
        is_primary: Whether it is primary.
        primary: Internal address of the primary that it follows; empty if unknown.
        epoch: Epoch of the newest view; 0 before the system is bootstrapped.
        committed_version: The committed version of the configuration.
        fresh_age_ms: Time since a primary is known to have held its lease, such that every command
            acknowledged before is committed here; None if unknown.
        members: Internal addresses of the members.
        in_sync: Internal addresses of the replicas in the in-sync set, which every commit needs.
        is_needed: Whether it is primary or in sync, so that its process should not exit yet.
    """

    is_primary: bool
    primary: str
    epoch: int
    committed_version: int
    fresh_age_ms: float | None
    members: tuple[str, ...]
    in_sync: tuple[str, ...] = ()
    is_needed: bool = False
