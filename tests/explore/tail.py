"""Recovery of a world once faults stop: within the tolerance, the in-sync set has to become full and commands
have to be accepted again."""

from __future__ import annotations

from madderwind.messages.replication import View
from tests.explore.calm import FaultFreeRun
from tests.explore.graph import clone
from tests.explore.world import Rules, World
from tests.fleet.register import change_of, command

# Time limits until the in-sync set is full again, and from then until a command is acknowledged.
FULL_SET_MS = 10_000.0
ACKNOWLEDGED_MS = 4_000.0
# Lets pending commands end.
PAUSE_MS = 500.0


def is_within_tolerance(rules: Rules, world: World) -> bool:
    """Whether a majority of the newest view, and of the one before it, still has its disks, and one of them
    is in sync. If more is lost, the system may stop making progress but must stay safe."""
    existing = _disks(rules, world)
    views = rules.history(world).decided[-2:]
    return all(_has_majority(view, existing) for view in views) and bool(set(views[-1].in_sync) & existing)


def has_lost_previous_majority(rules: Rules, world: World) -> bool:
    """Whether a second disk was lost while replicas were being notified of the newest view: only replicas
    that know that it was decided can continue. The view's own majority still exists."""
    existing = _disks(rules, world)
    newest = rules.history(world).decided[-1]
    has_newest_majority = _has_majority(newest, existing) and bool(set(newest.in_sync) & existing)
    return has_newest_majority and not is_within_tolerance(rules, world)


def recover(rules: Rules, world: World, loses_messages: bool = False) -> float:
    """Run without faults, with or without the messages in flight; return the time until the in-sync set is
    full. Raises Violation if that takes too long or if a command is not acknowledged in time afterwards."""
    nodes = [clone(rules.steps.node(state)) for state in world.nodes]
    present = set(range(len(nodes))) - set(rules.bounds.removed)
    run = FaultFreeRun(nodes, [] if loses_messages else rules.messages(world), present)
    for number in present:
        if nodes[number].is_stopping:  # by now the process has ended and was restarted
            run.act(number, lambda node, output: node.kill(output))
    elapsed_ms = run.run_until(run.has_full_in_sync_set, FULL_SET_MS)
    end_ms = nodes[min(present)].now_ms + PAUSE_MS
    run.run_until(lambda: nodes[min(present)].now_ms >= end_ms, FULL_SET_MS)
    primary = run.primary()
    assert primary is not None
    version = change_of(nodes[primary].observe().committed[-1][1]).version
    run.submit_and_commit(command(version, version + 1, "last"), ACKNOWLEDGED_MS)
    return elapsed_ms


def _disks(rules: Rules, world: World) -> set[str]:
    """The incarnations whose disks still exist."""
    removed = rules.bounds.removed
    states = [state for node, state in enumerate(world.nodes) if node not in removed]
    return {rules.steps.observation(state).disk_incarnation for state in states}


def _has_majority(view: View, existing: set[str]) -> bool:
    members = {member.incarnation for member in view.members}
    return 2 * len(members & existing) > len(members)
