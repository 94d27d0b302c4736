"""Messages between replicas of the configuration.

Every message names the incarnation that sends it and, where it is known, the one that it is meant for: a
machine whose disk was lost is another incarnation at the same address, and has no part in what the
earlier one promised.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.codec import Codec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One replica: `incarnation` is drawn when its file is created and lasts as long as its disk."""

    incarnation: str
    address: str  # internal, ip:port
    control_address: str
    zone: str


class View(msgspec.Struct, frozen=True, array_like=True):
    """Which replicas are primary, in sync and members from this epoch on, by incarnation."""

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    members: tuple[Member, ...]

    def member(self, incarnation: str) -> Member | None:
        """The member of that incarnation."""
        return next((member for member in self.members if member.incarnation == incarnation), None)

    def has_member(self, incarnation: str) -> bool:
        """Whether that incarnation has a vote in this view."""
        return self.member(incarnation) is not None

    def majority(self) -> int:
        """How many members decide what the next view is."""
        return len(self.members) // 2 + 1


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a replica knows of a member or learner.

    `idle_ms`: since the last message of that one; `stopping`: its process is about to end; `is_direct`: the
    sender would receive its messages.
    """

    member: Member
    idle_ms: float
    stopping: bool
    is_direct: bool


class ProposalNumber(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders proposals for one epoch.

    `life` is drawn at each start, so that no proposal number is ever used twice.
    """

    round: int
    incarnation: str
    process_incarnation: str


NO_PROPOSAL = ProposalNumber(0, "", "")


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One operator's command in the log: index and epoch together name it."""

    index: int
    epoch: int
    kind: str
    base_version: int
    body: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages: incarnations of sender and receiver; `target` is empty if unknown."""

    sender: str
    target: str


# --- finding each other ---


class JoinRequest(Message, frozen=True, tag="Announce"):
    """Sent to known addresses by a replica that follows no primary.

    `epoch` is the newest it knows (0: none); `bootstrap`: its file was created at the very first start of the
    system.
    """

    member: Member
    epoch: int
    bootstrap: bool


class ViewNotice(Message, frozen=True, tag="ViewNotice"):
    """A view that was decided."""

    view: View


# --- the register of views ---


class Prepare(Message, frozen=True, tag="Prepare"):
    """Asks the members of `base`, the newest decided view, for a promise about the epoch that follows it.

    `leadership_transferred`: the primary of `base` gave its role up.
    """

    base: View
    number: ProposalNumber
    leadership_transferred: bool


class Promise(Message, frozen=True, tag="Promise"):
    """No lower proposal number will be accepted for this epoch; with what was accepted for it so far.

    `peers`: what this witness knows of the others, which does not bear on the decision.
    """

    epoch: int
    number: ProposalNumber
    accepted_number: ProposalNumber
    accepted_view: View | None
    peers: tuple[PeerStatus, ...] = ()


class Accept(Message, frozen=True, tag="Accept"):
    """Asks the members of `base` to accept `view` as what follows it."""

    base: View
    number: ProposalNumber
    view: View


class Accepted(Message, frozen=True, tag="Accepted"):
    """The view proposed under this proposal number is on this witness's disk."""

    epoch: int
    number: ProposalNumber


class AcceptedBroadcast(Message, frozen=True, tag="AcceptedNotice"):
    """`view` is on the sender's disk under this proposal number.

    Sent to all members of the base and of `view` but the proposer, so that a decision is known without it:
    with a majority of the base under one proposal number.
    """

    number: ProposalNumber
    view: View


class Rejected(Message, frozen=True, tag="Refused"):
    """This witness rejects the proposal.

    `promised` is the highest proposal number it knows; `primary_is_alive`: the primary is at work, as far as
    it can tell.
    """

    epoch: int
    number: ProposalNumber
    promised: ProposalNumber
    primary_is_alive: bool


# --- the primary and the others ---


class Heartbeat(Message, frozen=True, tag="Heartbeat"):
    """The primary is at work.

    `committed_index`: index of the newest committed entry; `fresh_age_ms`: since the start of its last round
    of heartbeats that a majority answered, None while it can't call that newest; `acknowledged_round`: the
    newest round of this epoch that the receiver answered, 0 where it answered none; `peers`: all that it
    sends heartbeats to, for whoever is primary after it.
    """

    epoch: int
    round: int
    committed_index: int
    fresh_age_ms: float | None
    acknowledged_round: int
    peers: tuple[PeerStatus, ...]


class HeartbeatAck(Message, frozen=True, tag="HeartbeatAnswer"):
    """Given by those that know the epoch.

    `accepted_epoch`: of the newest view that this witness accepted; `match_index`: up to where its synced log
    is the primary's. `round` is 0 where nothing was asked.
    """

    epoch: int
    round: int
    accepted_epoch: int
    match_index: int
    disk_faulty: bool
    stopping: bool


class AppendEntries(Message, frozen=True, tag="Append"):
    """Entries that follow the entry named by `previous_index` and `previous_epoch`."""

    epoch: int
    previous_index: int
    previous_epoch: int
    entries: tuple[LogEntry, ...]
    committed_index: int


class AppendAck(Message, frozen=True, tag="Appended"):
    """Up to `match_index`, this replica's synced log is the primary's of `epoch`."""

    epoch: int
    match_index: int


class AppendRejected(Message, frozen=True, tag="AppendRefused"):
    """The entry before these is not in this replica's log, which is sure up to `committed_index`."""

    epoch: int
    previous_index: int
    committed_index: int


class InstallSnapshot(Message, frozen=True, tag="InstallSnapshot"):
    """A part of the state as it is after the committed entry `index`, which has `entry_epoch`.

    Bytes from `offset` on, of `size` in all. `begun_epoch`: the sender's when it began with this snapshot.
    """

    epoch: int
    begun_epoch: int
    index: int
    entry_epoch: int
    offset: int
    size: int
    data: bytes


class SnapshotAck(Message, frozen=True, tag="SnapshotReceived"):
    """So many bytes of the state after the entry `index` are here, and more are expected."""

    epoch: int
    index: int
    received: int


class TransferLeadership(Message, frozen=True, tag="HandOver"):
    """The primary of `epoch` gives its role up: the receiver is to take it at once."""

    epoch: int


ReplicationMessage = (
    JoinRequest
    | ViewNotice
    | Prepare
    | Promise
    | Accept
    | Accepted
    | AcceptedBroadcast
    | Rejected
    | Heartbeat
    | HeartbeatAck
    | AppendEntries
    | AppendAck
    | AppendRejected
    | InstallSnapshot
    | SnapshotAck
    | TransferLeadership
)

replication_messages: Codec[ReplicationMessage] = Codec(ReplicationMessage)
