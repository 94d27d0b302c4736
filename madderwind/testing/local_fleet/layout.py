"""Layout of a local fleet: names, addresses, settings files and folders of all processes.

Every process has its own loopback address. If the fleet uses relays, a process advertises the address of
its relay; the address that it binds to differs in the third byte.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from madderwind.node_settings import CONTROL_PLANE_PORT
from madderwind.testing.engine_emulator.upstream_settings import UpstreamSettings
from madderwind.testing.local_fleet.fleet_file import FleetFile, UpstreamGroup

CONTROL_PORT, FRONT_PORT, READY_PORT, UPSTREAM_PORT, SUPERVISOR_PORT = 8367, 8360, 8365, 8080, 8500
METRICS_PORT = 9464
INTERNAL_PORTS = (7500, 7515)
# Third byte of the addresses by kind of process. Each upstream group has its own, from the first one upwards.
CONTROL_PLANE_BYTE, DATA_PLANE_BYTE, SUPERVISOR_BYTE, FIRST_UPSTREAM_BYTE = 1, 2, 3, 10
# Added to the third byte for the address that a process behind a relay binds to.
RELAY_TARGET_OFFSET = 100
STATE_FILE = "fleet.json"


class NodeKind(Enum):
    """The kind of a process."""

    CONTROL_PLANE = "control plane"
    DATA_PLANE = "data plane"
    UPSTREAM = "upstream"


class RelayLayout(msgspec.Struct, frozen=True):
    """A relay that forwards connections from `address` to `target`, an address of `node`."""

    node: str
    address: str
    target: str


class NodeLayout(msgspec.Struct, frozen=True):
    """One process: its module, its folder, the content of its settings file, and its addresses."""

    name: str
    kind: NodeKind
    zone: str
    module: str
    folder: str
    settings: dict[str, Any]
    data_dir: str = ""
    records: str = ""
    front: str = ""
    ready: str = ""
    status: str = ""

    @property
    def settings_path(self) -> Path:
        """Path of the process's settings file."""
        return Path(self.folder) / "settings.json"

    @property
    def log_path(self) -> Path:
        """Path of the file that receives standard output and standard error."""
        return Path(self.folder) / "log"


class FleetLayout(msgspec.Struct, frozen=True):
    """The layout of a whole fleet, stored in its folder for other commands.

    `control` holds the control plane addresses that operators call.
    """

    name: str
    folder: str
    file: str
    supervisor: str
    control: tuple[str, ...]
    nodes: tuple[NodeLayout, ...]
    relays: tuple[RelayLayout, ...]

    def node(self, name: str) -> NodeLayout:
        """Return the node with this name; KeyError if there is none."""
        return {node.name: node for node in self.nodes}[name]

    def of_kind(self, kind: NodeKind) -> tuple[NodeLayout, ...]:
        """Return all nodes of a kind."""
        return tuple(node for node in self.nodes if node.kind is kind)


def read_layout(folder: Path) -> FleetLayout:
    """Read the layout of the fleet running in a folder; OSError or msgspec.MsgspecError if there is none."""
    return msgspec.json.decode((folder / STATE_FILE).read_bytes(), type=FleetLayout)


def build_layout(fleet: FleetFile, file: Path, folder: Path, net: int) -> FleetLayout:
    """Lay out all processes of the fleet on loopback addresses 127.`net`.*.*."""
    return _LayoutBuilder(fleet, folder.resolve(), net).build_layout(file)


class _LayoutBuilder:
    def __init__(self, fleet: FleetFile, folder: Path, net: int) -> None:
        self._fleet, self._folder, self._net = fleet, folder, net
        self._relays: list[RelayLayout] = []

    def build_layout(self, file: Path) -> FleetLayout:
        fleet = self._fleet
        control_planes = [self._control_plane(number) for number in range(fleet.control_planes)]
        data_planes = [self._data_plane(number) for number in range(fleet.data_planes)]
        upstreams = [
            self._upstream(group_index, group, number)
            for group_index, group in enumerate(fleet.upstreams)
            for number in range(group.count)
        ]
        return FleetLayout(
            name=fleet.name,
            folder=str(self._folder),
            file=str(file.resolve()),
            supervisor=self._address(SUPERVISOR_BYTE, 0, SUPERVISOR_PORT),
            control=self._control_addresses(),
            nodes=(*control_planes, *data_planes, *upstreams),
            relays=tuple(self._relays),
        )

    def _ip(self, third_byte: int, number: int) -> str:
        return f"127.{self._net}.{third_byte}.{number + 1}"

    def _address(self, third_byte: int, number: int, port: int) -> str:
        return f"{self._ip(third_byte, number)}:{port}"

    def _bound_third_byte(self, third_byte: int) -> int:
        return third_byte + RELAY_TARGET_OFFSET if self._fleet.relays else third_byte

    def _add_relay(self, node: str, third_byte: int, number: int, port: int) -> tuple[str, str]:
        """Return the advertised address and the bound address, with a relay between them if they differ."""
        advertised, bound = (
            self._address(third_byte, number, port),
            self._address(self._bound_third_byte(third_byte), number, port),
        )
        if advertised != bound:
            self._relays.append(RelayLayout(node, advertised, bound))
        return advertised, bound

    def _control_addresses(self) -> tuple[str, ...]:
        numbers = range(self._fleet.control_planes)
        return tuple(self._address(CONTROL_PLANE_BYTE, number, CONTROL_PORT) for number in numbers)

    def _zone(self, number: int) -> str:
        return self._fleet.zones[number % len(self._fleet.zones)]

    def _metrics(self, ip: str) -> dict[str, str]:
        """The listen setting of the metrics endpoint; empty if the fleet serves no metrics."""
        return {"metrics": f"{ip}:{METRICS_PORT}"} if self._fleet.metrics else {}

    def _node_settings(self, name: str, ip: str, zone: str) -> dict[str, Any]:
        """The settings common to control planes and data planes."""
        fleet = self._fleet
        return {
            "node": name,
            "ip": ip,
            "zone": zone,
            "region": fleet.name,
            "zones": dict.fromkeys(fleet.zones, fleet.name),
            "internal_ports": list(INTERNAL_PORTS),
            "seeds": list(self._control_addresses()[:3]),
            "bootstrap": True,
            "heartbeat_ms": fleet.heartbeat_ms,
            "fault_tolerance": {"machines": fleet.tolerance, "zones": 0, "regions": 0},
            "limits": fleet.limits,
            "bounds": fleet.bounds,
        }

    def _control_plane(self, number: int) -> NodeLayout:
        name, zone = f"control-{number + 1}", self._zone(number)
        folder = self._folder / name
        internal_port = INTERNAL_PORTS[0] + CONTROL_PLANE_PORT
        _, internal = self._add_relay(name, CONTROL_PLANE_BYTE, number, internal_port)
        _, control = self._add_relay(name, CONTROL_PLANE_BYTE, number, CONTROL_PORT)
        data_dir = str(folder / "data")
        settings = {
            **self._node_settings(name, self._ip(CONTROL_PLANE_BYTE, number), zone),
            "bind_ip": internal.rpartition(":")[0],
            "listen": {"control": control, **self._metrics(internal.rpartition(":")[0])},
            "data_dir": data_dir,
        }
        return NodeLayout(
            name=name,
            kind=NodeKind.CONTROL_PLANE,
            zone=zone,
            module="madderwind.controlplane",
            folder=str(folder),
            settings=settings,
            data_dir=data_dir,
            status=internal,
        )

    def _data_plane(self, number: int) -> NodeLayout:
        name, zone = f"data-{number + 1}", self._zone(number)
        front = self._address(DATA_PLANE_BYTE, number, FRONT_PORT)
        ready = self._address(DATA_PLANE_BYTE, number, READY_PORT)
        settings = {
            **self._node_settings(name, self._ip(DATA_PLANE_BYTE, number), zone),
            "listen": {"front": front, "ready": ready, **self._metrics(self._ip(DATA_PLANE_BYTE, number))},
            "data_dir": None,
        }
        return NodeLayout(
            name=name,
            kind=NodeKind.DATA_PLANE,
            zone=zone,
            module="madderwind.dataplane",
            folder=str(self._folder / name),
            settings=settings,
            front=front,
            ready=ready,
        )

    def _upstream(self, group_index: int, group: UpstreamGroup, number: int) -> NodeLayout:
        name, zone = f"{group.service}-{number + 1}", self._zone(number)
        folder = self._folder / name
        advertised, bound = self._add_relay(name, FIRST_UPSTREAM_BYTE + group_index, number, UPSTREAM_PORT)
        records = str(folder / "records.jsonl")
        engine = group.engine_settings()
        if engine is not None:
            slowness = group.slowness[number % len(group.slowness)]
            engine = msgspec.structs.replace(engine, slowness=slowness)
        service = next(s for s in self._fleet.document().configuration.services if s.name == group.service)
        settings = UpstreamSettings(
            service=group.service,
            zone=zone,
            listen=bound,
            address=advertised,
            control=self._control_addresses(),
            records=records,
            heartbeat_ms=self._fleet.heartbeat_ms,
            drain_ms=group.drain_ms,
            health_path=service.health_path,
            max_connections=group.max_connections,
            cold_ms=group.cold_ms,
            cold_slowness=group.cold_slowness,
            mishaps=group.fault_settings(),
            engine=engine,
            plain=group.plain_work(),
        )
        return NodeLayout(
            name=name,
            kind=NodeKind.UPSTREAM,
            zone=zone,
            module="madderwind.testing.engine_emulator.upstream_process",
            folder=str(folder),
            settings=msgspec.to_builtins(settings),
            records=records,
        )
