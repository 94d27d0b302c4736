"""Messages between control planes beside replication: the registry, and operators' calls for the primary.

They share the connection of the replicas' messages: each control plane dials its own to every other, says
`Hello` and sends on it alone.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from madderwind.messages.codec import Codec
from madderwind.messages.distribution import UpstreamRecord
from madderwind.messages.replication import ReplicationMessage


class PeeringMessageBase(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages of this module; each names its tag on the wire."""


class Liveness(msgspec.Struct, frozen=True, array_like=True):
    """An upstream whose heartbeat the sender itself received, `heartbeat_age_ms` before this was sent."""

    instance: str
    sequence: int
    heartbeat_age_ms: float


class Hello(PeeringMessageBase, frozen=True, tag="Hello"):
    """First message of a connection: the internal address of who dialled it, where answers go."""

    sender: str


class RegistryGossip(PeeringMessageBase, frozen=True, tag="RegistryGossip"):
    """Upstreams of which something changed; on a new connection all that are known."""

    upstreams: tuple[UpstreamRecord, ...]


class FinalStateNotice(PeeringMessageBase, frozen=True, tag="FinalStateNotice"):
    """An upstream drains or is gone.

    Its acknowledgement waits until the receiver has notified its data planes and has the state on disk.
    """

    upstream: UpstreamRecord


class FinalStateConfirmed(PeeringMessageBase, frozen=True, tag="FinalStateNoted"):
    """The sender's data planes were notified that the instance has this state, and its disk holds it."""

    instance: str
    state: Literal["draining", "gone"]


class RegistryRequest(PeeringMessageBase, frozen=True, tag="RegistryRequested"):
    """The sender lacks some upstream: all are to be sent again."""


class LivenessReport(PeeringMessageBase, frozen=True, tag="LivenessReport"):
    """Upstreams whose heartbeats the sender received since its last report; sent also when there are none."""

    observed: tuple[Liveness, ...]


class ForwardCommand(PeeringMessageBase, frozen=True, tag="ForwardOrder"):
    """An operator's command that reached a control plane which is not the primary.

    `token` is unique over the sender's lives.
    """

    token: int
    kind: Literal["replace", "update"]
    base_version: int
    body: bytes


class CommandReply(PeeringMessageBase, frozen=True, tag="OrderReply"):
    """How a forwarded command ended; the fields are those of `CommandResult`."""

    token: int
    outcome: Literal["taken", "stale base", "invalid", "unclear"]
    version: int
    field: str
    reason: str


class ForwardRead(PeeringMessageBase, frozen=True, tag="ForwardRead"):
    """The operator asks for the newest configuration."""

    token: int


class ReadReply(PeeringMessageBase, frozen=True, tag="ReadReply"):
    """The newest configuration where `is_newest`; else the sender could not prove that it is."""

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

# All that goes over the connection.
PeerFrame = ReplicationMessage | PeeringMessage

peer_frames: Codec[PeerFrame] = Codec(PeerFrame)
