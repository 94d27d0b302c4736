"""Events that the subscriber handles, and actions that its host executes."""

from __future__ import annotations

import msgspec

from madderwind.configuration.reading import Document
from madderwind.distribution.reading_ahead import ReadAhead
from madderwind.log_events.event import LogLine
from madderwind.messages.distribution import ToControlPlane, ToDataPlane


class Identity(msgspec.Struct, frozen=True):
    """The identity of the subscribing process; `incarnation` is drawn at each start of the process."""

    node: str
    incarnation: str
    address: str
    zone: str


class LinkOpened(msgspec.Struct, frozen=True):
    """The connection to this control plane was opened."""

    address: str


class LinkClosed(msgspec.Struct, frozen=True):
    """The connection to this control plane ended, or could not be opened."""

    address: str


class MessageReceived(msgspec.Struct, frozen=True):
    """A control plane sent a message. `read_ahead`: the document, if the host has parsed a configuration."""

    address: str
    message: ToDataPlane
    read_ahead: ReadAhead | None = None


class ConfigurationArrived(msgspec.Struct, frozen=True):
    """A long configuration was received and is being parsed; MessageReceived follows."""

    address: str


class SeedsChanged(msgspec.Struct, frozen=True):
    """The seeds in the settings changed."""

    addresses: tuple[str, ...]


class TimePassed(msgspec.Struct, frozen=True):
    """Time passed without another event; due at least every 50 ms."""


class ShutdownRequested(msgspec.Struct, frozen=True):
    """The process shuts down: it accepts no more requests."""


Event = (
    LinkOpened
    | LinkClosed
    | MessageReceived
    | ConfigurationArrived
    | SeedsChanged
    | TimePassed
    | ShutdownRequested
)


class Connect(msgspec.Struct, frozen=True):
    """Open a connection; LinkOpened or LinkClosed follows."""

    address: str


class Disconnect(msgspec.Struct, frozen=True):
    """Close the connection; LinkClosed may not follow."""

    address: str


class Send(msgspec.Struct, frozen=True):
    """Send a message on the connection to this control plane."""

    address: str
    message: ToControlPlane


class ApplyConfiguration(msgspec.Struct, frozen=True):
    """Put this configuration in force."""

    document: Document


class Deliver(msgspec.Struct, frozen=True):
    """Pass on a message that is not about the configuration: registry, limits, load, other data planes."""

    address: str
    message: ToDataPlane


Action = Connect | Disconnect | Send | ApplyConfiguration | Deliver | LogLine
