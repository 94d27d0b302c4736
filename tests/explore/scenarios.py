"""The initial worlds of the exploration: stable systems of three or four machines, and their faults."""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    JoinRequest,
    Prepare,
    Promise,
    Rejected,
    ViewNotice,
)
from madderwind.replication.times import ReplicationTimes
from tests.explore.calm import CalmRun
from tests.explore.choices import Allowance, Submit
from tests.explore.history import Disk, History
from tests.explore.node import Node, Output, Settings
from tests.explore.world import Bounds, Rules, World
from tests.fleet.register import command

# The messages of the view register, and those that announce views.
REGISTER_MESSAGES = (JoinRequest, ViewNotice, Prepare, Promise, Accept, Accepted, AcceptedBroadcast, Rejected)
# Silence after which a follower becomes a candidate, and after which a primary steps down.
TIMES = ReplicationTimes()
STAND_MS = TIMES.election_timeout_max_ms + TIMES.heartbeat_ms
GIVE_UP_MS = max(TIMES.quorum_timeout_ms, TIMES.proposal_timeout_ms) + TIMES.heartbeat_ms
HEARTBEAT_MS = TIMES.heartbeat_ms
STABILIZE_MS = 5_000.0

FOUNDING_COMMANDS = (command(0, 1, "first"), command(1, 2, "second"))
# Commands of two operators, both based on the second version, and one based on the first of these.
COMMANDS = (command(2, 3, "ann"), command(2, 4, "bob"), command(3, 5, "cid"))


class Scenario(msgspec.Struct):
    """The rules and the initial worlds."""

    name: str
    rules: Rules
    first: list[World]


def two_candidates(allowance: Allowance) -> Scenario:
    """View register only: the primary is lost permanently, and both others are candidates repeatedly."""
    bounds = Bounds(allowance, (GIVE_UP_MS,), crashable=(1, 2), timed=(1, 2), removed=(0,))
    run = _stable()
    history = _history(run)
    run.present.discard(0)
    run.act(0, lambda node, output: node.wipe(output))
    run.in_flight.clear()
    return _of_register(_from_calm("two candidates", bounds, run, 0, history))


def three_candidates(allowance: Allowance) -> Scenario:
    """View register only: all three machines lose contact and become candidates; one may lose its disk."""
    bounds = Bounds(allowance, (GIVE_UP_MS,), crashable=(1, 2), wipeable=(0,), timed=(0, 1, 2))
    return _of_register(_from_calm("three candidates", bounds, _stable(), most_steps=0))


def lagging_candidate(allowance: Allowance) -> Scenario:
    """View register only: a replica out of sync that lacks a command is a candidate beside one in sync."""
    bounds = Bounds(allowance, (GIVE_UP_MS,), crashable=(1, 2), timed=(1, 2))
    run = _stable()
    run.present.discard(2)
    run.run_until(lambda: _in_sync_count(run) == 2, STABILIZE_MS)
    run.submit_and_commit(COMMANDS[0], STABILIZE_MS)
    run.in_flight.clear()
    return _of_register(_from_calm("a lagging candidate", bounds, run, 0))


def swap_and_candidate(allowance: Allowance) -> Scenario:
    """View register only: from each step of a member swap on, while another backup is a candidate."""
    bounds = Bounds(
        allowance,
        durations_ms=(GIVE_UP_MS,),
        crashable=(0, 1),
        wipeable=(1,),
        timed=(0, 1),
    )
    return _of_register(_from_calm("a member swap and a candidate", bounds, _swapping(), SWAP_STEPS))


def stable(allowance: Allowance) -> Scenario:
    """Whole replica: commands, reads, silence and crashes in a stable system."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    return _from_calm("commands", bounds, _stable(), most_steps=0)


def takeover(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on after the primary's machine lost its disk."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 2), (), (1, 2))
    run = _stable()
    history = _history(run)
    run.act(0, lambda node, output: node.wipe(output))
    lost_ms = run.nodes[0].now_ms
    run.run_until(lambda: run.nodes[0].now_ms >= lost_ms + BEFORE_TAKEOVER_MS, STABILIZE_MS)
    return _from_calm("a lost primary", bounds, run, TAKEOVER_STEPS, history)


def swap(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on while a wiped backup rejoins the in-sync set."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    return _from_calm("a member swap", bounds, _swapping(), SWAP_STEPS)


def learner(allowance: Allowance) -> Scenario:
    """Whole replica: a standby machine restarts with an empty disk, and once it has caught up a command is
    submitted in the same epoch."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 3), (3,), (0, 3))
    run = _stable(machines=4)
    run.act(3, lambda node, output: node.wipe(output))
    scenario = _from_calm("a learner", bounds, run, SWAP_STEPS)
    ordered = scenario.rules.after(scenario.first[-1], Submit(0, 0))
    assert ordered is not None
    scenario.first += scenario.rules.calm_path(ordered, ORDER_STEPS)
    return scenario


def replacement(allowance: Allowance) -> Scenario:
    """Whole replica: a backup is lost permanently, and a machine at another address replaces it."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 3), (0, 1, 3), (0, 1, 3), removed=(2,))
    return _from_calm("a replacement", bounds, _replacing(), SWAP_STEPS)


def transfer_leadership(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on after the primary received a shutdown request."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    run = _stable()
    history = _history(run)
    run.act(0, lambda node, output: node.leave(output))
    return _from_calm("a leadership transfer", bounds, run, HAND_OVER_STEPS, history)


def cut_off(allowance: Allowance) -> Scenario:
    """Whole replica: the primary was partitioned while the others elected another and committed a command. It
    is connected again and has not learned of either."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, STAND_MS), (0, 1, 2), (), (0, 1, 2))
    run = _stable()
    run.present.discard(0)
    run.run_until(lambda: run.primary() is not None, STABILIZE_MS)
    run.submit_and_commit(COMMANDS[0], STABILIZE_MS)
    run.in_flight.clear()
    return _from_calm("a partitioned primary", bounds, run, 0)


def late_copies(scenario: Scenario) -> Scenario:
    """The same scenario in which every message that was in flight so far may be delivered once more."""
    seen: set[int] = set()
    worlds: list[World] = []
    for world in scenario.first:
        seen |= set(world.in_flight)
        worlds.append(msgspec.structs.replace(world, in_flight=tuple(sorted(seen))))
    return Scenario(f"{scenario.name}, late copies", scenario.rules, worlds)


# Steps that a fault-free system takes until its in-sync set is full again.
SWAP_STEPS = 60
TAKEOVER_STEPS = 60
HAND_OVER_STEPS = 60
# Steps until all replicas know that a command is committed.
ORDER_STEPS = 20
# From the loss of the primary until the others are about to become candidates.
BEFORE_TAKEOVER_MS = 0.0


def _stable(machines: int = 3) -> CalmRun:
    """Three machines with two commands, and standbys beyond three. All members are in sync and were
    restarted; the first one is primary."""
    run = _founded(machines)
    # The first restart after the commands writes a snapshot; after the second, the log begins behind it.
    for number in (2, 1, 0, 2, 1, 0):
        run.act(number, lambda node, output: node.kill(output))
        run.run_until(run.is_whole, STABILIZE_MS)
    return run


def _swapping() -> CalmRun:
    """The third machine restarts with an empty disk."""
    run = _stable()
    run.act(2, lambda node, output: node.wipe(output))
    return run


def _replacing() -> CalmRun:
    """The third machine is lost permanently; a fourth one has caught up."""
    run = _founded(4)
    run.present.discard(2)
    run.nodes[2].wipe(Output())  # no further events occur there
    run.run_until(lambda: _timeout_ms(run) >= REPLACED_AFTER_MS, STABILIZE_MS)
    return run


def _in_sync_count(run: CalmRun) -> int:
    primary = run.primary()
    view = run.nodes[primary].observe().view if primary is not None else None
    return len(view.in_sync) if view is not None else 0


def _timeout_ms(run: CalmRun) -> float:
    """Time since the third machine stopped."""
    return run.nodes[0].now_ms - run.nodes[2].now_ms


# Just before the primary replaces a silent member.
REPLACED_AFTER_MS = TIMES.replica_timeout_ms - TIMES.heartbeat_ms


def _founded(machines: int) -> CalmRun:
    settings = Settings(tuple(f"m{number + 1}" for number in range(machines)))
    run = CalmRun([Node(number, settings) for number in range(machines)], [])
    for number in range(machines):
        run.act(number, lambda node, output: node.start(output, bootstrap=True))
    run.run_until(run.is_whole, STABILIZE_MS)
    for founding_command in FOUNDING_COMMANDS:
        run.submit_and_commit(founding_command, STABILIZE_MS)
    run.run_until(lambda: run.nodes[0].now_ms >= STABILIZE_MS, STABILIZE_MS)
    return run


def _from_calm(
    name: str, bounds: Bounds, run: CalmRun, most_steps: int, history: History | None = None
) -> Scenario:
    """Start from each step of a fault-free run; `history` is the state before the scenario's fault."""
    rules = Rules(bounds, COMMANDS, run.nodes[0].settings.tolerance)
    first = rules.first(run.nodes, list(run.in_flight), history or _history(run))
    return Scenario(name, rules, rules.calm_path(first, most_steps))


def _of_register(scenario: Scenario) -> Scenario:
    """The same scenario with only the messages of the view register."""
    scenario.first = scenario.rules.restricted(scenario.first, REGISTER_MESSAGES)
    return scenario


def _history(run: CalmRun) -> History:
    """The history of a system that has acknowledged all committed commands."""
    primary = run.primary()
    assert primary is not None
    observed = [node.observe() for node in run.nodes]
    view, committed = observed[primary].view, observed[primary].committed
    assert view is not None
    disks = {
        Disk(number, seen.disk_number, seen.disk_incarnation)
        for number, seen in enumerate(observed)
        if seen.disk_incarnation
    }
    return History((view,), committed, frozenset(disks), acknowledged=frozenset(committed))
