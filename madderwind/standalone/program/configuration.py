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
    """The configuration cannot be read; the text is one plain line."""


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class Fleet(FleetSettings, frozen=True, forbid_unknown_fields=True):
    """`fleet` of the file: how copies speak with one another, and whether they leave zones together."""

    leaving: EvacuationSettings | None = None


class _File(msgspec.Struct):
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
    admin_given: str  # by the environment, before the file's
    peers: tuple[tuple[str, int], ...]  # the copies of this tier by their numbers, this one among them
    fleet: Fleet | None  # how copies speak with one another; without it each tells every other
    parts: frozenset[str]  # what the file holds: its own keys and those of its settings
    stamp: Stamp | None  # its version, where it says one, with the digest of what copies have alike

    @property
    def version(self) -> int | None:
        return None if self.stamp is None else self.stamp.number


def read_configuration(path: str, admin_given: str = "") -> Configuration:
    """All that one balancer is told. ConfigurationError says in one line what is wrong.

    `admin_given` is this process's own second address, where it was given one; it stands before the file's.
    """
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(f"{path}: {error.strerror}") from None
    try:
        file = msgspec.json.decode(raw, type=_File)
        known = read_listing(bytes(file.known))
        settings = msgspec.json.decode(bytes(file.settings))
        host = read_host_settings(settings)
        whole = msgspec.json.decode(raw)
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
            frozenset(whole) | {f"settings.{name}" for name in settings},
            Stamp(file.version, digest_of(whole)) if file.version is not None else None,
        )
    except (*UNREADABLE, ListingError, SettingsError, AreaError) as error:
        raise ConfigurationError(f"{path}: {' '.join(str(error).split())}") from None


def _read_peers(peers: tuple[str, ...], host: HostSettings) -> tuple[tuple[str, int], ...]:
    """Where the copies listen for one another. Guards against words under a wrong number."""
    settings = host.settings
    if peers and len(peers) != settings.copies:
        raise SettingsError(f"peers names {len(peers)} copies, NInstances says {settings.copies}")
    if peers and not 0 <= settings.me < len(peers):
        raise SettingsError(f"Me is {settings.me}, peers names {len(peers)} copies")
    if len(set(peers)) < len(peers):
        raise SettingsError("peers names an address twice")
    return tuple(read_address(peer, "peers") for peer in peers)


def read_successor(before: Configuration) -> Configuration:
    """The file of a running balancer once more, judged whole before any of it acts.

    Guards against a file that was cut off at a place where it still reads as one, and against one that was
    meant for before or after what is in force.
    """
    new = read_configuration(before.path, before.admin_given)
    if why := why_no_successor(before, new):
        raise ConfigurationError(f"{before.path}: {why}")
    return new


def why_no_successor(before: Configuration, new: Configuration) -> str:
    """Why the new file may not follow the one in force; "" where it may."""
    if lost := sorted(before.parts - new.parts):
        return f"lacks {', '.join(lost)}, which the one in force has"
    return why_not(before.stamp, new.stamp)


def _read_fleet(file: _File, host: HostSettings) -> Fleet | None:
    if file.fleet is None:
        return None
    if not file.peers:
        raise SettingsError("fleet needs peers: it names no copies to speak with")
    if file.fleet.leaving is not None:
        if not 0 <= host.settings.zone < len(host.zone_names):
            raise SettingsError("fleet.leaving needs settings.Zones, and Zone among them")
        check_regions(file.fleet.leaving, host.zone_names)
    return file.fleet
