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
from tests.explore.calm import FaultFreeRun
from tests.explore.choices import Allowance, Submit
from tests.explore.history import Disk, History
from tests.explore.node import Node, Output, Settings
from tests.explore.world import Bounds, Rules, World
from tests.fleet.register import command

# The messages of the view register, and those that announce views.
REGISTER_MESSAGES = (JoinRequest, ViewNotice, Prepare, Promise, Accept, Accepted, AcceptedBroadcast, Rejected)
# Silence after which a follower becomes a candidate, and after which a primary steps down.
TIMES = ReplicationTimes()
CANDIDACY_MS = TIMES.election_timeout_max_ms + TIMES.heartbeat_ms
STEP_DOWN_MS = max(TIMES.quorum_timeout_ms, TIMES.proposal_timeout_ms) + TIMES.heartbeat_ms
HEARTBEAT_MS = TIMES.heartbeat_ms
STABILIZE_MS = 5_000.0

INITIAL_COMMANDS = (command(0, 1, "first"), command(1, 2, "second"))
# Commands of two operators, both based on the second version, and one based on the first of these.
COMMANDS = (command(2, 3, "ann"), command(2, 4, "bob"), command(3, 5, "cid"))


class Scenario(msgspec.Struct):
    """The rules and the initial worlds."""

    name: str
    rules: Rules
    first: list[World]


def two_candidates(allowance: Allowance) -> Scenario:
    """View register only: the primary is lost permanently, and both others are candidates repeatedly."""
    bounds = Bounds(allowance, (STEP_DOWN_MS,), crashable=(1, 2), timed=(1, 2), removed=(0,))
    run = _stable_run()
    history = _history(run)
    run.present.discard(0)
    run.act(0, lambda node, output: node.wipe(output))
    run.in_flight.clear()
    return _register_only(_from_fault_free_run("two candidates", bounds, run, 0, history))


def three_candidates(allowance: Allowance) -> Scenario:
    """View register only: all three machines lose contact and become candidates; one may lose its disk."""
    bounds = Bounds(allowance, (STEP_DOWN_MS,), crashable=(1, 2), wipeable=(0,), timed=(0, 1, 2))
    return _register_only(_from_fault_free_run("three candidates", bounds, _stable_run(), max_steps=0))


def lagging_candidate(allowance: Allowance) -> Scenario:
    """View register only: a replica out of sync that lacks a command is a candidate beside one in sync."""
    bounds = Bounds(allowance, (STEP_DOWN_MS,), crashable=(1, 2), timed=(1, 2))
    run = _stable_run()
    run.present.discard(2)
    run.run_until(lambda: _in_sync_count(run) == 2, STABILIZE_MS)
    run.submit_and_commit(COMMANDS[0], STABILIZE_MS)
    run.in_flight.clear()
    return _register_only(_from_fault_free_run("a lagging candidate", bounds, run, 0))


def swap_and_candidate(allowance: Allowance) -> Scenario:
    """View register only: from each step of a member swap on, while another backup is a candidate."""
    bounds = Bounds(
        allowance,
        durations_ms=(STEP_DOWN_MS,),
        crashable=(0, 1),
        wipeable=(1,),
        timed=(0, 1),
    )
    return _register_only(
        _from_fault_free_run("a member swap and a candidate", bounds, _swap_run(), SWAP_STEPS)
    )


def stable(allowance: Allowance) -> Scenario:
    """Whole replica: commands, reads, silence and crashes in a stable system."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    return _from_fault_free_run("commands", bounds, _stable_run(), max_steps=0)


def takeover(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on after the primary's machine lost its disk."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 2), (), (1, 2))
    run = _stable_run()
    history = _history(run)
    run.act(0, lambda node, output: node.wipe(output))
    lost_ms = run.nodes[0].now_ms
    run.run_until(lambda: run.nodes[0].now_ms >= lost_ms + BEFORE_TAKEOVER_MS, STABILIZE_MS)
    return _from_fault_free_run("a lost primary", bounds, run, TAKEOVER_STEPS, history)


def swap(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on while a wiped backup rejoins the in-sync set."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    return _from_fault_free_run("a member swap", bounds, _swap_run(), SWAP_STEPS)


def learner(allowance: Allowance) -> Scenario:
    """Whole replica: a standby machine restarts with an empty disk, and once it has caught up a command is
    submitted in the same epoch."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 3), (3,), (0, 3))
    run = _stable_run(machines=4)
    run.act(3, lambda node, output: node.wipe(output))
    scenario = _from_fault_free_run("a learner", bounds, run, SWAP_STEPS)
    submitted = scenario.rules.after(scenario.first[-1], Submit(0, 0))
    assert submitted is not None
    scenario.first += scenario.rules.fault_free_path(submitted, COMMIT_STEPS)
    return scenario


def replacement(allowance: Allowance) -> Scenario:
    """Whole replica: a backup is lost permanently, and a machine at another address replaces it."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 3), (0, 1, 3), (0, 1, 3), removed=(2,))
    return _from_fault_free_run("a replacement", bounds, _replacement_run(), SWAP_STEPS)


def transfer_leadership(allowance: Allowance) -> Scenario:
    """Whole replica: from each step on after the primary received a shutdown request."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 2), (0, 1, 2), (0, 1, 2))
    run = _stable_run()
    history = _history(run)
    run.act(0, lambda node, output: node.leave(output))
    return _from_fault_free_run("a leadership transfer", bounds, run, TRANSFER_STEPS, history)


def cut_off(allowance: Allowance) -> Scenario:
    """Whole replica: the primary was partitioned while the others elected another and committed a command. It
    is connected again and has not learned of either."""
    bounds = Bounds(allowance, (HEARTBEAT_MS, CANDIDACY_MS), (0, 1, 2), (), (0, 1, 2))
    run = _stable_run()
    run.present.discard(0)
    run.run_until(lambda: run.primary() is not None, STABILIZE_MS)
    run.submit_and_commit(COMMANDS[0], STABILIZE_MS)
    run.in_flight.clear()
    return _from_fault_free_run("a partitioned primary", bounds, run, 0)


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
TRANSFER_STEPS = 60
# Steps until all replicas know that a command is committed.
COMMIT_STEPS = 20
# From the loss of the primary until the others are about to become candidates.
BEFORE_TAKEOVER_MS = 0.0


def _stable_run(machines: int = 3) -> FaultFreeRun:
    """Three machines with two commands, and standbys beyond three. All members are in sync and were
    restarted; the first one is primary."""
    run = _bootstrapped_run(machines)
    # The first restart after the commands writes a snapshot; after the second, the log begins behind it.
    for number in (2, 1, 0, 2, 1, 0):
        run.act(number, lambda node, output: node.kill(output))
        run.run_until(run.has_full_in_sync_set, STABILIZE_MS)
    return run


def _swap_run() -> FaultFreeRun:
    """The third machine restarts with an empty disk."""
    run = _stable_run()
    run.act(2, lambda node, output: node.wipe(output))
    return run


def _replacement_run() -> FaultFreeRun:
    """The third machine is lost permanently; a fourth one has caught up."""
    run = _bootstrapped_run(4)
    run.present.discard(2)
    run.nodes[2].wipe(Output())  # no further events occur there
    run.run_until(lambda: _silence_ms(run) >= BEFORE_REPLACEMENT_MS, STABILIZE_MS)
    return run


def _in_sync_count(run: FaultFreeRun) -> int:
    primary = run.primary()
    view = run.nodes[primary].observe().view if primary is not None else None
    return len(view.in_sync) if view is not None else 0


def _silence_ms(run: FaultFreeRun) -> float:
    """Time since the third machine stopped."""
    return run.nodes[0].now_ms - run.nodes[2].now_ms


# Just before the primary replaces a silent member.
BEFORE_REPLACEMENT_MS = TIMES.replica_timeout_ms - TIMES.heartbeat_ms


def _bootstrapped_run(machines: int) -> FaultFreeRun:
    settings = Settings(tuple(f"m{number + 1}" for number in range(machines)))
    run = FaultFreeRun([Node(number, settings) for number in range(machines)], [])
    for number in range(machines):
        run.act(number, lambda node, output: node.start(output, bootstrap=True))
    run.run_until(run.has_full_in_sync_set, STABILIZE_MS)
    for initial_command in INITIAL_COMMANDS:
        run.submit_and_commit(initial_command, STABILIZE_MS)
    run.run_until(lambda: run.nodes[0].now_ms >= STABILIZE_MS, STABILIZE_MS)
    return run


def _from_fault_free_run(
    name: str, bounds: Bounds, run: FaultFreeRun, max_steps: int, history: History | None = None
) -> Scenario:
    """Start from each step of a fault-free run; `history` is the state before the scenario's fault."""
    rules = Rules(bounds, COMMANDS, run.nodes[0].settings.tolerance)
    first = rules.first(run.nodes, list(run.in_flight), history or _history(run))
    return Scenario(name, rules, rules.fault_free_path(first, max_steps))


def _register_only(scenario: Scenario) -> Scenario:
    """The same scenario with only the messages of the view register."""
    scenario.first = scenario.rules.restricted(scenario.first, REGISTER_MESSAGES)
    return scenario


def _history(run: FaultFreeRun) -> History:
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
