"""Inputs and outputs of the publisher.

The inputs are the committed configuration and the replica's status, the outputs are deliveries.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from madderwind.messages.distribution import CommandRecord, ToDataPlane


class PublishedDocument(Protocol):
    """A complete configuration as JSON."""

    @property
    def raw(self) -> bytes:
        """The encoded document."""

    @property
    def raw_bytes(self) -> int:
        """Length of `raw` in bytes, available without encoding the document."""


class PublishedConfiguration(Protocol):
    """The committed configuration with its history, as implemented by configuration.history."""

    @property
    def version(self) -> int:
        """The committed version; 0 if there is none."""

    @property
    def document(self) -> PublishedDocument | None:
        """The complete document of the committed version."""

    def commands_since(self, version: int) -> Sequence[CommandRecord] | None:
        """Return the commands after `version`; None if it is no longer in the history."""


class PublishedStatus(msgspec.Struct, frozen=True):
    """The state of the replica group as this control plane's replica knows it."""

    epoch: int
    fresh_age_ms: float | None
    is_primary: bool
    primary: str
    members: tuple[str, ...]


class SendTo(msgspec.Struct, frozen=True):
    """Send a message on one connection."""

    connection: int
    message: ToDataPlane


class SendToAll(msgspec.Struct, frozen=True):
    """Send a message on every subscribed connection; it is encoded once."""

    message: ToDataPlane


class Close(msgspec.Struct, frozen=True):
    """Close a connection that a newer connection of the same data plane replaces."""

    connection: int


Delivery = SendTo | SendToAll | Close
