"""The effects that the control plane's core requests from its host."""

from __future__ import annotations

import msgspec

from madderwind.distribution.deliveries import Close, SendTo, SendToAll
from madderwind.log_events.event import LogLine
from madderwind.messages.peering import PeerFrame
from madderwind.replication.actions import Prepare, Rewrite, Write
from madderwind.replication.commands import CommandResult


class SendToPeer(msgspec.Struct, frozen=True):
    """Send a message to the control plane at this internal address, best effort."""

    address: str
    message: PeerFrame


class RespondToCommand(msgspec.Struct, frozen=True):
    """Answer an operator's command that was received by this machine."""

    call: int
    result: CommandResult


class RespondToRead(msgspec.Struct, frozen=True):
    """Answer an operator's read.

    Attributes:
        call: The call to answer.
        version: The configuration's version; 0 if there is none yet.
        document: The configuration as JSON; None if it could not be proven to be the newest.
    """

    call: int
    version: int
    document: bytes | None


class RespondToUpstream(msgspec.Struct, frozen=True):
    """Answer an upstream's call; if it is not accepted, the upstream calls another control plane."""

    call: int
    is_accepted: bool


class SaveCheckpoint(msgspec.Struct, frozen=True):
    """Save the registry at once, and report the saved records to the core when they are on disk."""


Effect = (
    SendToPeer
    | SendTo
    | SendToAll
    | Close
    | RespondToCommand
    | RespondToRead
    | RespondToUpstream
    | SaveCheckpoint
    | Write
    | Rewrite
    | Prepare
    | LogLine
)
