"""Effects: what the control plane's core asks of its host."""

from __future__ import annotations

import msgspec

from madderwind.distribution.deliveries import Close, SendTo, SendToAll
from madderwind.log_events.event import LogLine
from madderwind.messages.peering import PeerFrame
from madderwind.replication.actions import Prepare, Rewrite, Write
from madderwind.replication.commands import CommandResult


class SendToPeer(msgspec.Struct, frozen=True):
    """Send to the control plane at this internal address, best effort."""

    address: str
    message: PeerFrame


class RespondToCommand(msgspec.Struct, frozen=True):
    """Answer an operator's command that reached this machine."""

    call: int
    result: CommandResult


class RespondToRead(msgspec.Struct, frozen=True):
    """Answer an operator's read.

    Attributes:
        call: The call to answer.
        version: Of the configuration; 0 where there is none yet.
        document: JSON; None where no newest configuration could be proven.
    """

    call: int
    version: int
    document: bytes | None


class RespondToUpstream(msgspec.Struct, frozen=True):
    """Answer an upstream's call: accepted, or to be made to another control plane."""

    call: int
    is_accepted: bool


class SaveCheckpoint(msgspec.Struct, frozen=True):
    """Save the registry at once, and tell the core what was saved when it is on disk."""


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
