"""Events that the subscriber is handed, and actions that its host carries out."""

from __future__ import annotations

import msgspec

from madderwind.configuration.reading import Document
from madderwind.distribution.reading_ahead import ReadAhead
from madderwind.log_events.event import LogLine
from madderwind.messages.distribution import ToControlPlane, ToDataPlane


class Identity(msgspec.Struct, frozen=True):
    """Who subscribes; `incarnation` is drawn at each start of the process."""

    node: str
    incarnation: str
    address: str
    zone: str


# --- events ---


class LinkOpened(msgspec.Struct, frozen=True):
    """The connection to this control plane is up."""

    address: str


class LinkClosed(msgspec.Struct, frozen=True):
    """It ended, or never came up."""

    address: str


class MessageReceived(msgspec.Struct, frozen=True):
    """A control plane's message. `read_ahead`: a configuration's document, where the host has read it."""

    address: str
    message: ToDataPlane
    read_ahead: ReadAhead | None = None


class ConfigurationArrived(msgspec.Struct, frozen=True):
    """A long configuration has come, and is being read; then MessageReceived."""

    address: str


class SeedsChanged(msgspec.Struct, frozen=True):
    """The settings name other seeds."""

    addresses: tuple[str, ...]


class TimePassed(msgspec.Struct, frozen=True):
    """Nothing happened but time; due at least every 50 ms."""


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

# --- actions ---


class Connect(msgspec.Struct, frozen=True):
    """Open a connection; then LinkOpened or LinkClosed."""

    address: str


class Disconnect(msgspec.Struct, frozen=True):
    """Close the connection; LinkClosed need not follow."""

    address: str


class Send(msgspec.Struct, frozen=True):
    """Send on the connection to this control plane."""

    address: str
    message: ToControlPlane


class ApplyConfiguration(msgspec.Struct, frozen=True):
    """This configuration is in force from now on."""

    document: Document


class Deliver(msgspec.Struct, frozen=True):
    """A message that is not about the configuration: registry, limits, load, other data planes."""

    address: str
    message: ToDataPlane


Action = Connect | Disconnect | Send | ApplyConfiguration | Deliver | LogLine
