"""What the publisher is given and gives back.

The committed configuration, the replica's status, deliveries.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from madderwind.messages.distribution import CommandRecord, ToDataPlane


class PublishedDocument(Protocol):
    """A whole configuration as JSON."""

    @property
    def raw(self) -> bytes:
        """The document's bytes."""

    @property
    def raw_bytes(self) -> int:
        """About how many they are, known without building them."""


class PublishedConfiguration(Protocol):
    """The committed configuration with its history; configuration.history implements it."""

    @property
    def version(self) -> int:
        """The committed version, 0 where there is none."""

    @property
    def document(self) -> PublishedDocument | None:
        """The whole document of that version."""

    def commands_since(self, version: int) -> Sequence[CommandRecord] | None:
        """What leads from a version to the committed one; None where the history does not reach back."""


class PublishedStatus(msgspec.Struct, frozen=True):
    """What the replica of this control plane knows of the others."""

    epoch: int
    fresh_age_ms: float | None
    is_primary: bool
    primary: str
    members: tuple[str, ...]


class SendTo(msgspec.Struct, frozen=True):
    """Send to one connection."""

    connection: int
    message: ToDataPlane


class SendToAll(msgspec.Struct, frozen=True):
    """Send to every subscribed connection: one encoding for all."""

    message: ToDataPlane


class Close(msgspec.Struct, frozen=True):
    """End a connection: its data plane has a newer one."""

    connection: int


Delivery = SendTo | SendToAll | Close
