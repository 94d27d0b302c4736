"""The safety-relevant history of a run, and the invariants that must hold after every step.

Majorities are counted here independently, from the votes on the witnesses' disks, so that a fault in how the
code counts them is detected.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.replication import Accept, Accepted, Prepare, ProposalNumber, View
from madderwind.replication.commands import CommandOutcome
from tests.explore.node import Observation, Sent, Taken, Vote
from tests.explore.steps import Step, Violation

MAX_MEMBERS = 3
REFUSALS = (CommandOutcome.STALE_BASE, CommandOutcome.INVALID)


class Proposal(msgspec.Struct, frozen=True):
    """A view that was proposed under a proposal number."""

    number: ProposalNumber
    view: View


class Disk(msgspec.Struct, frozen=True):
    """One disk of a machine, from empty until lost, and the incarnation name that a replica stores on it."""

    node: int
    number: int
    incarnation: str


class PendingRequest(msgspec.Struct, frozen=True):
    """A read or command without a response yet, and the commands acknowledged before it was received."""

    node: int
    process: int
    token: int
    acknowledged: frozenset[Taken]


class UsedProposalNumber(msgspec.Struct, frozen=True):
    """A proposal number that one process incarnation used."""

    number: ProposalNumber
    node: int
    process: int


class PrimaryTerm(msgspec.Struct, frozen=True):
    """The replica that was primary in an epoch."""

    epoch: int
    incarnation: str


class History(msgspec.Struct, frozen=True):
    """The history so far. `decided`: the views of consecutive epochs, starting with the initial one;
    `committed`: the longest committed prefix known to any replica."""

    decided: tuple[View, ...]
    committed: tuple[Taken, ...]
    disks: frozenset[Disk]
    votes: frozenset[Vote] = frozenset()
    proposals: frozenset[Proposal] = frozenset()
    primary_terms: frozenset[PrimaryTerm] = frozenset()
    acknowledged: frozenset[Taken] = frozenset()
    refused: frozenset[Taken] = frozenset()
    pending_requests: frozenset[PendingRequest] = frozenset()
    numbers: frozenset[UsedProposalNumber] = frozenset()


class Transition(msgspec.Struct, frozen=True):
    """One step of one machine; `now` holds the observations of all machines after it."""

    node: int
    before: Observation
    after: Observation
    now: tuple[Observation, ...]
    step: Step
    tolerance: int


def history_after(history: History, transition: Transition) -> History:
    """The history extended by one step; raises Violation if the step breaks an invariant."""
    if transition.step.fault:
        raise Violation(f"replica fault: {transition.step.fault}")
    if transition.step.early:
        raise Violation(f"a response was sent before its state was on disk: {transition.step.early[0]}")
    history = _with_disk(history, transition)
    history = _with_proposal_numbers(history, transition)
    history = _with_votes(history, transition)
    history = _with_decisions(history, transition)
    history = _with_primary_term(history, transition)
    history = _with_commits(history, transition)
    history = _with_commands(history, transition)
    _check_in_sync_hold_all(history, transition)
    return _with_pending_requests(history, transition)


def is_notable(before: Observation, after: Observation, step: Step) -> bool:
    """Whether a step may change the history."""
    is_seen = bool(step.fault or step.ended or step.proven_reads or step.token or step.votes or step.early)
    return is_seen or before != after or any(_is_register_message(sent) for sent in step.sent)


def _is_register_message(sent: Sent) -> bool:
    return isinstance(sent.message, Prepare | Accept | Accepted)


def _with_disk(history: History, transition: Transition) -> History:
    after = transition.after
    disk = Disk(transition.node, after.disk_number, after.disk_incarnation)
    if disk in history.disks or not disk.incarnation:
        return history
    for other in history.disks:
        if other.incarnation == disk.incarnation or (other.node, other.number) == (disk.node, disk.number):
            raise Violation(f"a replica of a lost disk and its successor share a name: {other} and {disk}")
    return msgspec.structs.replace(history, disks=history.disks | {disk})


def _with_proposal_numbers(history: History, transition: Transition) -> History:
    for sent in transition.step.sent:
        if not isinstance(sent.message, Prepare):
            continue
        used = UsedProposalNumber(sent.message.number, transition.node, transition.after.process)
        if any(other.number == used.number and other != used for other in history.numbers):
            raise Violation(f"two processes use one proposal number: {used}")
        history = msgspec.structs.replace(history, numbers=history.numbers | {used})
    return history


def _with_votes(history: History, transition: Transition) -> History:
    proposals, votes = set(history.proposals), set(history.votes)
    for sent in transition.step.sent:
        if isinstance(sent.message, Accept):
            proposals.add(Proposal(sent.message.number, sent.message.view))
    views = {proposal.number: proposal.view for proposal in proposals}
    if len(views) < len(proposals):
        raise Violation("two views were proposed under one proposal number")
    for sent in transition.step.sent:
        if isinstance(sent.message, Accepted) and sent.message.number in views:
            votes.add(Vote(sent.message.sender, sent.message.number, views[sent.message.number]))
    votes.update(transition.step.votes)
    if len(votes) == len(history.votes) and len(proposals) == len(history.proposals):
        return history
    return msgspec.structs.replace(history, proposals=frozenset(proposals), votes=frozenset(votes))


def _with_decisions(history: History, transition: Transition) -> History:
    for vote in history.votes:
        voters = {other.incarnation for other in history.votes if _is_same_vote(vote, other)}
        history = _with_view_if_decided(history, vote.view, voters, transition.tolerance)
    view = transition.after.view
    if view is not None and view.epoch >= history.decided[0].epoch and view not in history.decided:
        raise Violation(f"a view is considered decided without the votes of a majority: {view}")
    return history


def _is_same_vote(vote: Vote, other: Vote) -> bool:
    return (vote.number, vote.view) == (other.number, other.view)


def _with_view_if_decided(history: History, view: View, voters: set[str], tolerance: int) -> History:
    index = view.epoch - history.decided[0].epoch
    if not 0 < index <= len(history.decided):
        return history
    voting_members = {member.incarnation for member in history.decided[index - 1].members}
    if 2 * len(voters & voting_members) <= len(voting_members):
        return history
    if index == len(history.decided):
        _check_view(view, tolerance)
        return msgspec.structs.replace(history, decided=(*history.decided, view))
    if history.decided[index] != view:
        raise Violation(f"two views of one epoch: {history.decided[index]} and {view}")
    return history


def _check_view(view: View, tolerance: int) -> None:
    members = {member.incarnation for member in view.members}
    if len(set(view.in_sync)) <= tolerance:
        raise Violation(f"the in-sync set has too few replicas to hold a command: {view}")
    if not {view.primary, *view.in_sync} <= members or view.primary not in view.in_sync:
        raise Violation(f"primary or in-sync replicas are not members: {view}")
    if len(members) > MAX_MEMBERS or len({member.address for member in view.members}) < len(members):
        raise Violation(f"more members than needed, or two at one address: {view}")


def _with_primary_term(history: History, transition: Transition) -> History:
    before, after = transition.before, transition.after
    if not after.is_primary or after.view is None:
        return history
    is_new = not before.is_primary or before.process != after.process
    if is_new and after.disk_epoch != after.view.epoch:
        raise Violation(f"primary before the view is on its disk: {after.view}")
    term = PrimaryTerm(after.view.epoch, after.incarnation)
    for other in history.primary_terms:
        if other.epoch == term.epoch and other != term:
            raise Violation(f"two primaries of one epoch: {other} and {term}")
    if after.view.primary != after.incarnation:
        raise Violation(f"{after.incarnation} is primary of another's view: {after.view}")
    return msgspec.structs.replace(history, primary_terms=history.primary_terms | {term})


def _with_commits(history: History, transition: Transition) -> History:
    before, after = transition.before, transition.after
    if before.process == after.process and after.committed[: len(before.committed)] != before.committed:
        raise Violation(f"the committed prefix went back from {before.committed} to {after.committed}")
    shared = min(len(after.committed), len(history.committed))
    if after.committed[:shared] != history.committed[:shared]:
        raise Violation(f"committed {after.committed}, but another replica {history.committed}")
    if history.refused & set(after.committed):
        raise Violation(f"refused and committed: {after.committed}")
    longest = max(history.committed, after.committed, key=len)
    return msgspec.structs.replace(history, committed=longest)


def _with_commands(history: History, transition: Transition) -> History:
    for ended in transition.step.ended:
        match ended.outcome:
            case CommandOutcome.COMMITTED:
                history = _acknowledged(history, transition, ended.taken)
            case outcome if outcome in REFUSALS:
                if ended.taken in history.acknowledged or ended.taken in history.committed:
                    raise Violation(f"committed and refused: {ended.taken}")
                history = msgspec.structs.replace(history, refused=history.refused | {ended.taken})
    return history


def _acknowledged(history: History, transition: Transition, taken: Taken) -> History:
    holders = [number for number, machine in enumerate(transition.now) if taken in machine.disk_taken]
    if len(holders) <= transition.tolerance:
        raise Violation(f"{taken} is acknowledged and on disk at machines {holders} alone")
    if taken in history.refused:
        raise Violation(f"refused and acknowledged: {taken}")
    return msgspec.structs.replace(history, acknowledged=history.acknowledged | {taken})


def _check_in_sync_hold_all(history: History, transition: Transition) -> None:
    """Check that each replica of the newest in-sync set has all acknowledged commands on its disk: any of
    them may become the next primary."""
    for machine in transition.now:
        is_in_sync = machine.disk_incarnation in history.decided[-1].in_sync
        if is_in_sync and not history.acknowledged <= machine.disk_taken:
            raise Violation(f"an in-sync replica lacks an acknowledged command: {machine.disk_incarnation}")


def _with_pending_requests(history: History, transition: Transition) -> History:
    """Check that a replica that proves a read or refuses a command knows all commands acknowledged before."""
    step, process = transition.step, transition.after.process
    pending_requests = set(history.pending_requests)
    if step.token:
        pending_requests.add(PendingRequest(transition.node, process, step.token, history.acknowledged))
    refusals = {ended.token for ended in step.ended if ended.outcome in REFUSALS}
    answered = {*step.proven_reads, *refusals}
    resolved = {*answered, *(ended.token for ended in step.ended)}
    for request in tuple(pending_requests):
        if request.node != transition.node:
            continue
        is_of_process = request.process == process
        if (
            is_of_process
            and request.token in answered
            and not request.acknowledged <= set(transition.after.committed)
        ):
            raise Violation(f"answered or refused without all commands acknowledged before: {request}")
        if not is_of_process or request.token in resolved:
            pending_requests.discard(request)
    return msgspec.structs.replace(history, pending_requests=frozenset(pending_requests))
