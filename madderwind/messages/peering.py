"""Messages between control planes beside replication: the registry, and operators' calls for the primary.

They share the connection of the replicas' messages: each control plane dials its own to every other, says
`Hello` and sends on it alone.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.distribution import UpstreamRecord


class Message(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The base of all messages of this module; the tag is the class's name."""


class Liveness(msgspec.Struct, frozen=True, array_like=True):
    """An upstream heard by the sender itself, `silent_ms` before the message was sent."""

    instance: str
    sequence: int
    silent_ms: float


class Hello(Message, frozen=True):
    """First message of a connection: the internal address of who dialled it, where answers go."""

    sender: str


class RegistryGossip(Message, frozen=True):
    """Upstreams of which something changed; on a new connection all that are known."""

    upstreams: tuple[UpstreamRecord, ...]


class RegistryRequested(Message, frozen=True):
    """The sender lacks some upstream: all are to be told again."""


class LivenessReport(Message, frozen=True):
    """Upstreams that the sender heard since its last report; sent also when there are none."""

    heard: tuple[Liveness, ...]


class ForwardOrder(Message, frozen=True):
    """An operator's order that reached a control plane which is not the primary. `token` is unique over the
    sender's lives."""

    token: int
    kind: str
    base_version: int
    body: bytes


class OrderReply(Message, frozen=True):
    """How a forwarded order ended; the fields are those of `OrderResult`."""

    token: int
    outcome: str
    version: int
    field: str
    reason: str


class ForwardRead(Message, frozen=True):
    """The operator asks for the newest configuration."""

    token: int


class ReadReply(Message, frozen=True):
    """The newest configuration where `is_newest`; else the sender could not prove that it is."""

    token: int
    is_newest: bool
    version: int
    document: bytes


PeeringMessage = (
    Hello
    | RegistryGossip
    | RegistryRequested
    | LivenessReport
    | ForwardOrder
    | OrderReply
    | ForwardRead
    | ReadReply
)
