"""The plan that every process of a rig reads (scenario, schedule, addresses), and the copies' configuration.

Every process has its own loopback address, derived from its role and number, and listens nowhere else. The
configuration of a copy names the addresses of its relays, so the program needs no interface for tests.
"""

from __future__ import annotations

import random
import socket
import struct
from typing import Any

import msgspec

from madderwind.testing.fault_tests.scenario import Scenario, UpstreamFault
from madderwind.testing.fault_tests.schedule import Schedule, upstream_count, zone_of

Address = tuple[str, int]
# The last byte of a copy's own addresses; lower values are its relays, by number of the upstream or copy.
COPY_HOST, DISCOVERY_HOST, RELAY_SOURCE_HOST = 250, 249, 253
# The third byte of addresses that belong to no copy.
UPSTREAM_NET, AGENT_NET, LOCK_NET = 251, 252, 255
SERVING_PORT, ADMIN_PORT, GOSSIP_PORT, RELAY_PORT, LOCK_PORT = 5000, 5001, 7000, 6000, 5999
# The rig's second address byte is added to get the port of the message relay, which listens on all addresses.
MESSAGE_RELAY_BASE_PORT = 20_000
RIG_NETS = range(16, 80)
FIRST_REVISION = 41


class Plan(msgspec.Struct, frozen=True):
    scenario: Scenario
    schedule: Schedule
    net: int  # the second byte of all addresses
    shards: int  # number of processes that relay connections; all relays of a copy are in one process
    folder: str

    def at(self, third: int, last: int, port: int) -> Address:
        return f"127.{self.net}.{third}.{last}", port

    def copy(self, number: int) -> Address:
        return self.at(number, COPY_HOST, SERVING_PORT)

    def admin(self, number: int, second: bool = False) -> Address:
        return self.at(number, COPY_HOST, ADMIN_PORT + second)

    def words(self, number: int) -> Address:
        return self.at(number, COPY_HOST, GOSSIP_PORT)

    def link(self, copy: int, upstream: int) -> Address:
        """The address of an upstream in a copy's list, which is that of a relay."""
        return self.at(copy, upstream, RELAY_PORT)

    def discovery_link(self, copy: int) -> Address:
        return self.at(copy, DISCOVERY_HOST, RELAY_PORT)

    def source(self, copy: int) -> Address:
        """The source address of a copy's relays, by which upstreams and agents identify the copy."""
        return self.at(copy, RELAY_SOURCE_HOST, 0)

    def upstream(self, number: int) -> Address:
        return self.at(UPSTREAM_NET, number, RELAY_PORT)

    @property
    def agents(self) -> Address:
        return self.at(AGENT_NET, 1, 8500)

    @property
    def message_port(self) -> int:
        return MESSAGE_RELAY_BASE_PORT + self.net

    def message_link(self, sender: int, hearer: int) -> Address:
        """The address of a peer in a copy's configuration, which is that of a relay."""
        return self.at(sender, hearer, self.message_port)

    def upstreams(self) -> range:
        return range(upstream_count(self.scenario))

    def starts_ms(self) -> dict[int, list[float]]:
        """The times at which the schedule restarts each upstream's process."""
        found: dict[int, list[float]] = {}
        for turn in self.schedule.turns:
            fault = self.scenario.faults[turn.fault]
            if isinstance(fault, UpstreamFault) and fault.kind == "restart":
                for upstream in turn.upstreams:
                    found.setdefault(upstream, []).append(turn.end_ms)
        return found

    def copies(self) -> range:
        return range(self.scenario.copies)


def copy_of(address: Address) -> int:
    """The copy whose relay connects from this address."""
    return int(address[0].split(".")[2])


def ip(text: str) -> bytes:
    return socket.inet_aton(text)


# The structure of IP_PKTINFO: interface index, source address to send from, destination of a datagram.
PKTINFO = struct.Struct("=I4s4s")


def take_net(rng: random.Random) -> tuple[int, socket.socket]:
    """Reserve a second address byte that no other rig on this machine uses. Returns it with the bound socket
    that serves as its lock. Raises OSError if all are taken."""
    for net in rng.sample(RIG_NETS, len(RIG_NETS)):
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.{LOCK_NET}.1", LOCK_PORT))
            return net, lock
        except OSError:
            lock.close()
    raise OSError("every address plan is taken by another drill")


def member(plan: Plan, copy: int, upstream: int, phase: str, up_since_ms: float) -> dict[str, Any]:
    """An entry of a copy's discovery list."""
    host, port = plan.link(copy, upstream)
    zone = zone_of(upstream, plan.scenario)
    return {
        "id": f"s-{upstream}",
        "host_port": f"{host}:{port}",
        "locality": plan.scenario.zones[zone],
        "flavor": "m",
        "cell": zone,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
    }


EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def copy_configuration(plan: Plan, copy: int, changes: dict[str, Any]) -> dict[str, Any]:
    """A copy's configuration. `changes` maps paths like `settings.Ceilings.MaxAttempts` to values."""
    scenario, rules = plan.scenario, plan.scenario.rules
    classes = [
        {
            "Name": c.name,
            "Effect": EFFECTS[c.effect],
            "GoalTimeMs": c.aim_ms,
            "DeadlineMs": c.deadline_ms,
            "Importance": 1.0,
            **({"Group": "all", "WindowMs": rules.window_ms} if c.effect == "keyed" else {}),
        }
        for c in scenario.load.classes
    ]
    tree: dict[str, Any] = {
        "name": f"app-{copy}",
        "listen": _host_port(plan.copy(copy)),
        "discovery": _host_port(plan.discovery_link(copy)),
        "seed": f"{random.Random(f'{plan.schedule.seed} copy {copy}').randrange(1 << 64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "admin_addr": _host_port(plan.admin(copy)),
        "known": {
            "revision": FIRST_REVISION,
            "complete": True,
            "members": [member(plan, copy, u, "Ready", 0) for u in plan.upstreams()],
        },
        "settings": {
            "Ceilings": {
                "Cancel": True,
                "ConnIdleMs": 30_000.0,
                "ConnectTimeoutMs": rules.connect_timeout_ms,
                "MaxAttempts": rules.max_attempts,
                "MaxRetryAfterMs": 2000.0,
                "Probes": False,
                "RetryAfter": True,
                "SecondCopies": rules.second_copies,
                "MayTell": scenario.words,
            },
            "Customers": [{"Name": "acme", "Fraction": 1.0, "QuotaPerS": 1e6}],
            "Discovery": "pushed",
            "Kinds": ["m"],
            "Me": copy,
            "NInstances": scenario.copies,
            "Obligations": {
                "AnswerSlackMs": 50.0,
                "DrainGraceMs": rules.drain_grace_ms,
                "FallMs": rules.fall_ms,
                "FallMultiple": rules.fall_multiple,
                "StartCapacity": rules.start_capacity,
                "WarmAfterMs": rules.warm_after_ms,
            },
            "Profiles": classes,
            "Tier": 0,
            "Tiers": ["front"],
            "Weights": "nominal",
            "Zone": zone_of(copy, scenario),
            "Zones": list(scenario.zones),
        },
    }
    if scenario.words and scenario.copies > 1:
        tree["peers"] = [
            _host_port(plan.words(n) if n == copy else plan.message_link(copy, n)) for n in plan.copies()
        ]
    for path, value in changes.items():
        *parents, last = path.split(".")
        inner = tree
        for step in parents:
            inner = inner.setdefault(step, {})
        inner[last] = value
    return tree


def _host_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
