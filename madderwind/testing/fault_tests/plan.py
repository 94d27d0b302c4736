"""What every process of a rig is told: scenario, schedule and addresses; and the copies' files.

Every process has a loopback address of its own, by who it is: nothing listens elsewhere, a copy's file names
its relays, and the program needs no door for tests.
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
# The last byte of a copy's own addresses; lower ones are its relays, by upstream or by copy.
OWN, DISCOVERY, SOURCE = 250, 249, 253
# The third byte, where it is no copy's.
UPSTREAMS, AGENTS, KEEPER = 251, 252, 255
SERVES, ADMIN, WORDS, RELAYS, LOCK = 5000, 5001, 7000, 6000, 5999
# What the relay of words listens on, with the rig's number added: it hears for all of the rig's addresses.
WORD_RELAY = 20_000
NETS = range(16, 80)
FIRST_REVISION = 41


class Plan(msgspec.Struct, frozen=True):
    scenario: Scenario
    schedule: Schedule
    net: int  # the second byte of all addresses
    shards: int  # processes that relay connections; a copy's are all in one
    folder: str

    def at(self, third: int, last: int, port: int) -> Address:
        return f"127.{self.net}.{third}.{last}", port

    def copy(self, number: int) -> Address:
        return self.at(number, OWN, SERVES)

    def admin(self, number: int, second: bool = False) -> Address:
        return self.at(number, OWN, ADMIN + second)

    def words(self, number: int) -> Address:
        return self.at(number, OWN, WORDS)

    def link(self, copy: int, upstream: int) -> Address:
        """Where a copy's list says that an upstream is: a relay."""
        return self.at(copy, upstream, RELAYS)

    def discovery_link(self, copy: int) -> Address:
        return self.at(copy, DISCOVERY, RELAYS)

    def source(self, copy: int) -> Address:
        """From where a copy's relays connect, which tells upstreams and agents whom they serve."""
        return self.at(copy, SOURCE, 0)

    def upstream(self, number: int) -> Address:
        return self.at(UPSTREAMS, number, RELAYS)

    @property
    def agents(self) -> Address:
        return self.at(AGENTS, 1, 8500)

    @property
    def message_port(self) -> int:
        return WORD_RELAY + self.net

    def message_link(self, sender: int, hearer: int) -> Address:
        """Where a copy's file says that another listens for it: a relay."""
        return self.at(sender, hearer, self.message_port)

    def upstreams(self) -> range:
        return range(upstream_count(self.scenario))

    def starts_ms(self) -> dict[int, list[float]]:
        """When the schedule starts each upstream's process anew."""
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
    """Whose relay connects from there."""
    return int(address[0].split(".")[2])


def ip(text: str) -> bytes:
    return socket.inet_aton(text)


# IP_PKTINFO's structure: interface, the address to send from, the address that a datagram came to.
PKTINFO = struct.Struct("=I4s4s")


def take_net(chance: random.Random) -> tuple[int, socket.socket]:
    """A second byte that no other rig on this machine has, and the lock that holds it. OSError: all are
    taken."""
    for net in chance.sample(NETS, len(NETS)):
        lock = socket.socket()
        try:
            lock.bind((f"127.{net}.{KEEPER}.1", LOCK))
            return net, lock
        except OSError:
            lock.close()
    raise OSError("every address plan is taken by another drill")


def member(plan: Plan, copy: int, upstream: int, phase: str, up_since_ms: float) -> dict[str, Any]:
    """An entry of a copy's list."""
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


def file_of(plan: Plan, copy: int, changes: dict[str, Any]) -> dict[str, Any]:
    """A copy's configuration file. `changes` are places like `settings.Ceilings.MaxAttempts` and values."""
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
        "listen": _said(plan.copy(copy)),
        "discovery": _said(plan.discovery_link(copy)),
        "seed": f"{random.Random(f'{plan.schedule.seed} copy {copy}').randrange(1 << 64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "admin_addr": _said(plan.admin(copy)),
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
            _said(plan.words(n) if n == copy else plan.message_link(copy, n)) for n in plan.copies()
        ]
    for place, value in changes.items():
        *way, last = place.split(".")
        inner = tree
        for step in way:
            inner = inner.setdefault(step, {})
        inner[last] = value
    return tree


def _said(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
