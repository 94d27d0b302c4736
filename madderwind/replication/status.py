"""How a replica stands, as one immutable value."""

from __future__ import annotations

import msgspec


class ReplicaStatus(msgspec.Struct, frozen=True):
    """What a replica knows of itself and its group at one moment.

    Attributes:
        is_primary: Whether it holds the primary's role.
        primary: Internal address of the primary that it follows; empty if unknown.
        epoch: Epoch of the newest view; 0 before the system was founded.
        committed_version: The committed version of the configuration.
        fresh_age_ms: Since a primary is known to have held its lease, with nothing acknowledged by then that
        is not
            committed here; None if unknown.
        members: Internal addresses of the members.
        in_sync: Internal addresses of the replicas that every commit needs.
        is_needed: Whether it is the primary or in sync, so that its process should not end yet.
    """

    is_primary: bool
    primary: str
    epoch: int
    committed_version: int
    fresh_age_ms: float | None
    members: tuple[str, ...]
    in_sync: tuple[str, ...] = ()
    is_needed: bool = False
