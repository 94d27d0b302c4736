"""Messages between control planes other than replication: registry gossip and operators' forwarded requests.

They share the connection of the replication messages. Each control plane opens a connection to every other
one, sends `Hello` and then uses it for sending only.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from madderwind.messages.codec import Codec
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.replication import ReplicationMessage


class PeeringMessageBase(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages of this module; each message declares its tag on the wire."""


class Liveness(msgspec.Struct, frozen=True, array_like=True):
    """An upstream whose heartbeat the sender itself received, `heartbeat_age_ms` before sending this."""

    instance: str
    sequence: int
    heartbeat_age_ms: float


class Hello(PeeringMessageBase, frozen=True, tag="Hello"):
    """The first message of a connection: the internal address of its initiator, to which replies are sent."""

    sender: str


class RegistryGossip(PeeringMessageBase, frozen=True, tag="RegistryGossip"):
    """The upstreams that changed; on a new connection, all known upstreams."""

    upstreams: tuple[UpstreamRecord, ...]


class FinalStateNotice(PeeringMessageBase, frozen=True, tag="FinalStateNotice"):
    """An upstream is draining or deregistered.

    The receiver acknowledges this after it has notified its data planes and has written the state to disk.
    """

    upstream: UpstreamRecord


class FinalStateConfirmed(PeeringMessageBase, frozen=True, tag="FinalStateNoted"):
    """The sender has notified its data planes of the instance's state and has written it to disk."""

    instance: str
    state: Literal["draining", "gone"]


class RegistryRequest(PeeringMessageBase, frozen=True, tag="RegistryRequested"):
    """The sender is missing an upstream and requests the records of all of them."""


class LivenessReport(PeeringMessageBase, frozen=True, tag="LivenessReport"):
    """Upstreams whose heartbeats the sender received since its last report; sent even if it is empty."""

    observed: tuple[Liveness, ...]


class ForwardCommand(PeeringMessageBase, frozen=True, tag="ForwardOrder"):
    """An operator's command, forwarded by a control plane that is not the primary.

    `token` is unique across restarts of the sender.
    """

    token: int
    kind: Literal["replace", "update"]
    base_version: int
    body: bytes


class CommandReply(PeeringMessageBase, frozen=True, tag="OrderReply"):
    """The result of a forwarded command; the fields are those of `CommandResult`."""

    token: int
    outcome: Literal["taken", "stale base", "invalid", "unclear"]
    version: int
    field: str
    reason: str


class ForwardRead(PeeringMessageBase, frozen=True, tag="ForwardRead"):
    """An operator's forwarded request for the newest configuration."""

    token: int


class ReadReply(PeeringMessageBase, frozen=True, tag="ReadReply"):
    """A configuration; unless `is_newest`, the sender could not prove that it is the newest."""

    token: int
    is_newest: bool
    version: int
    document: bytes


PeeringMessage = (
    Hello
    | RegistryGossip
    | FinalStateNotice
    | FinalStateConfirmed
    | RegistryRequest
    | LivenessReport
    | ForwardCommand
    | CommandReply
    | ForwardRead
    | ReadReply
)

# All messages on a connection between control planes.
PeerFrame = ReplicationMessage | PeeringMessage

peer_frames: Codec[PeerFrame] = Codec(PeerFrame)
