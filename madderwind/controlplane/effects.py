"""What the control plane's core asks of its host."""

from __future__ import annotations

import msgspec

from madderwind.distribution.publisher import Close, SendTo, SendToAll
from madderwind.log_events.event import LogLine
from madderwind.messages.peering import PeerFrame
from madderwind.replication.actions import Rewrite, Write
from madderwind.replication.commands import CommandResult


class SendToPeer(msgspec.Struct, frozen=True):
    """Send to the control plane at this internal address, best effort."""

    address: str
    message: PeerFrame


class CommandEnded(msgspec.Struct, frozen=True):
    """Answer an operator's command that reached this machine."""

    call: int
    result: CommandResult


class ReadEnded(msgspec.Struct, frozen=True):
    """Answer an operator's read. `document` is None where no newest configuration could be proven; `version`
    is 0 where there is none yet."""

    call: int
    version: int
    document: bytes | None


class UpstreamAnswered(msgspec.Struct, frozen=True):
    """Answer an upstream's call: accepted, or to be made to another control plane."""

    call: int
    is_accepted: bool


class SaveRegistry(msgspec.Struct, frozen=True):
    """Save the registry's copy at once, and tell the core what it held when it is on disk."""


Effect = (
    SendToPeer
    | SendTo
    | SendToAll
    | Close
    | CommandEnded
    | ReadEnded
    | UpstreamAnswered
    | SaveRegistry
    | Write
    | Rewrite
    | LogLine
)
