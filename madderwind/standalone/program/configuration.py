"""The configuration file of one balancer."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from madderwind.standalone.agreement.versions import Stamp, digest_of, why_not
from madderwind.standalone.evacuation.areas import AreaError, EvacuationSettings, check_regions
from madderwind.standalone.gossip.membership import FleetSettings
from madderwind.standalone.protocol.listing import (
    UNREADABLE,
    Listing,
    ListingError,
    read_address,
    read_listing,
)
from madderwind.standalone.settings import HostSettings, SettingsError, read_host_settings


class ConfigurationError(ValueError):
    """The configuration is invalid or unreadable; the message is a single line."""


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class Fleet(FleetSettings, frozen=True, forbid_unknown_fields=True):
    """The `fleet` key of the file: gossip between the copies, and whether they evacuate zones together."""

    leaving: EvacuationSettings | None = None


class _ConfigurationFile(msgspec.Struct):
    name: str
    listen: str
    discovery: str
    seed: str
    known: msgspec.Raw
    settings: msgspec.Raw
    limits: Limits = msgspec.field(default_factory=Limits)
    admin_addr: str = ""
    peers: tuple[str, ...] = ()
    fleet: Fleet | None = None
    version: Annotated[int, msgspec.Meta(ge=1, lt=2**32)] | None = None


class Configuration(msgspec.Struct, frozen=True):
    path: str
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    admin: tuple[str, int] | None
    seed: int
    limits: Limits
    known: Listing
    host: HostSettings
    admin_given: str  # from the environment; takes precedence over the file
    peers: tuple[tuple[str, int], ...]  # the copies of this tier by their numbers, including this one
    fleet: Fleet | None  # gossip between the copies; without it each copy sends to every other
    parts: frozenset[str]  # the keys of the file and those of its settings
    stamp: Stamp | None  # the version, if given, with the digest of what the copies have in common

    @property
    def version(self) -> int | None:
        return None if self.stamp is None else self.stamp.number


def read_configuration(path: str, admin_given: str = "") -> Configuration:
    """Read the configuration of one balancer. Raises ConfigurationError with a one-line message.

    `admin_given` is the admin address that the environment gives to this process, if any; it takes
    precedence over the one in the file.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    try:
        file = msgspec.json.decode(raw, type=_ConfigurationFile)
        known = read_listing(bytes(file.known))
        settings = msgspec.json.decode(bytes(file.settings))
        host = read_host_settings(settings)
        document = msgspec.json.decode(raw)
        seed = int(file.seed, 16)
        admin_addr = admin_given or file.admin_addr
        return Configuration(
            path,
            file.name,
            read_address(file.listen, "listen"),
            read_address(file.discovery, "discovery"),
            read_address(admin_addr, "admin_addr") if admin_addr else None,
            seed,
            file.limits,
            known,
            host,
            admin_given,
            _read_peers(file.peers, host),
            _read_fleet(file, host),
            frozenset(document) | {f"settings.{name}" for name in settings},
            Stamp(file.version, digest_of(document)) if file.version is not None else None,
        )
    except (*UNREADABLE, ListingError, SettingsError, AreaError) as error:
        raise ConfigurationError(f"{path}: {' '.join(str(error).split())}") from None


def _read_peers(peers: tuple[str, ...], host: HostSettings) -> tuple[tuple[str, int], ...]:
    """The gossip addresses of the copies. The checks prevent messages sent under a wrong copy number."""
    settings = host.settings
    if peers and len(peers) != settings.copies:
        raise SettingsError(f"peers lists {len(peers)} copies, but NInstances is {settings.copies}")
    if peers and not 0 <= settings.me < len(peers):
        raise SettingsError(f"Me is {settings.me}, but peers lists {len(peers)} copies")
    if len(set(peers)) < len(peers):
        raise SettingsError("peers lists an address twice")
    return tuple(read_address(peer, "peers") for peer in peers)


def read_successor(current: Configuration) -> Configuration:
    """Read the file of a running balancer again and validate it completely before any of it takes effect.

    Rejects a truncated file that still parses, a version older than the one in force, and one that skips
    a version.
    """
    new = read_configuration(current.path, current.admin_given)
    if reason := successor_rejection_reason(current, new):
        raise ConfigurationError(f"{current.path}: {reason}")
    return new


def successor_rejection_reason(current: Configuration, new: Configuration) -> str:
    """Why the new file may not replace the one in force; "" if it may."""
    if missing := sorted(current.parts - new.parts):
        return f"lacks {', '.join(missing)}, which the configuration in force has"
    return why_not(current.stamp, new.stamp)


def _read_fleet(file: _ConfigurationFile, host: HostSettings) -> Fleet | None:
    if file.fleet is None:
        return None
    if not file.peers:
        raise SettingsError("fleet needs peers: no other copies are configured")
    if file.fleet.leaving is not None:
        if not 0 <= host.settings.zone < len(host.zone_names):
            raise SettingsError("fleet.leaving needs settings.Zones, and settings.Zone must be one of them")
        check_regions(file.fleet.leaving, host.zone_names)
    return file.fleet
