"""Messages between replicas of the configuration.

Every message names the incarnation of its sender and, if known, that of its receiver. A machine that lost its
disk is a new incarnation at the same address and is not bound by the promises of the previous one.
"""

from __future__ import annotations

import msgspec

from madderwind.messages.codec import Codec


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica; `incarnation` is generated when its file is created and is valid as long as its disk."""

    incarnation: str
    address: str  # internal, ip:port
    control_address: str
    zone: str


class View(msgspec.Struct, frozen=True, array_like=True):
    """The primary, the in-sync replicas and the members from this epoch on, by incarnation."""

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    members: tuple[Member, ...]

    def member(self, incarnation: str) -> Member | None:
        """The member with this incarnation; None if there is none."""
        return next((member for member in self.members if member.incarnation == incarnation), None)

    def has_member(self, incarnation: str) -> bool:
        """Whether this incarnation has a vote in this view."""
        return self.member(incarnation) is not None

    def majority(self) -> int:
        """The number of members that can decide the next view."""
        return len(self.members) // 2 + 1


class PeerStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a replica knows of a member or learner.

    `idle_ms`: the time since its last message; `stopping`: its process is about to end; `is_direct`:
    whether the sender would receive its messages.
    """

    member: Member
    idle_ms: float
    stopping: bool
    is_direct: bool


class ProposalNumber(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Orders the proposals for one epoch.

    `process_incarnation` is generated at each start, so that no proposal number is ever used twice.
    """

    round: int
    incarnation: str
    process_incarnation: str


NO_PROPOSAL = ProposalNumber(0, "", "")


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An operator's command in the log, identified by index and epoch together."""

    index: int
    epoch: int
    kind: str
    base_version: int
    body: bytes


class Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages: the incarnations of sender and receiver; `target` is empty if unknown."""

    sender: str
    target: str


# Discovery.


class JoinRequest(Message, frozen=True, tag="Announce"):
    """Sent to known addresses by a replica that follows no primary.

    `epoch`: the newest epoch that it knows, 0 if none; `bootstrap`: whether its file was created at the very
    first start of the system.
    """

    member: Member
    epoch: int
    bootstrap: bool


class ViewNotice(Message, frozen=True, tag="ViewNotice"):
    """A decided view."""

    view: View


# Consensus on views.


class Prepare(Message, frozen=True, tag="Prepare"):
    """Requests a promise for the next epoch from the members of `base`, the newest decided view.

    `leadership_transferred`: the primary of `base` gave up its role.
    """

    base: View
    number: ProposalNumber
    leadership_transferred: bool


class Promise(Message, frozen=True, tag="Promise"):
    """Promises to accept no lower proposal number for this epoch; carries the last accepted proposal, if any.

    `peers`: what this witness knows of the other replicas, which does not affect the decision.
    """

    epoch: int
    number: ProposalNumber
    accepted_number: ProposalNumber
    accepted_view: View | None
    peers: tuple[PeerStatus, ...] = ()


class Accept(Message, frozen=True, tag="Accept"):
    """Requests the members of `base` to accept `view` as its successor."""

    base: View
    number: ProposalNumber
    view: View


class Accepted(Message, frozen=True, tag="Accepted"):
    """Confirms that the view with this proposal number is on this witness's disk."""

    epoch: int
    number: ProposalNumber


class AcceptedBroadcast(Message, frozen=True, tag="AcceptedNotice"):
    """Reports that `view` is on the sender's disk under this proposal number.

    Sent to all members of the base and of `view` except the proposer, so that they learn of a decision
    without the proposer: a view is decided when a majority of the base has accepted it under one proposal
    number.
    """

    number: ProposalNumber
    view: View


class Rejected(Message, frozen=True, tag="Refused"):
    """Rejects a proposal.

    `promised`: the highest proposal number that the witness knows; `primary_is_alive`: whether the witness
    considers the primary alive.
    """

    epoch: int
    number: ProposalNumber
    promised: ProposalNumber
    primary_is_alive: bool


# Replication from the primary to the other replicas.


class Heartbeat(Message, frozen=True, tag="Heartbeat"):
    """The primary's heartbeat.

    Attributes:
        epoch: The primary's epoch.
        round: The heartbeat round.
        committed_index: The index of the newest committed entry.
        fresh_age_ms: The time since the start of the last heartbeat round that a majority acknowledged; None
            while the primary cannot claim that its committed state is the newest.
        acknowledged_round: The newest round of this epoch that the receiver acknowledged; 0 if none.
        peers: All receivers of its heartbeats, for the next primary.
    """

    epoch: int
    round: int
    committed_index: int
    fresh_age_ms: float | None
    acknowledged_round: int
    peers: tuple[PeerStatus, ...]


class HeartbeatAck(Message, frozen=True, tag="HeartbeatAnswer"):
    """Acknowledges a heartbeat; sent by replicas that know the epoch.

    `round`: the acknowledged round, 0 if this is unsolicited; `accepted_epoch`: the epoch of the newest view
    that this witness accepted; `match_index`: the index up to which its synced log matches the primary's.
    """

    epoch: int
    round: int
    accepted_epoch: int
    match_index: int
    disk_faulty: bool
    stopping: bool


class AppendEntries(Message, frozen=True, tag="Append"):
    """The entries that follow the one at `previous_index` with `previous_epoch`."""

    epoch: int
    previous_index: int
    previous_epoch: int
    entries: tuple[LogEntry, ...]
    committed_index: int


class AppendAck(Message, frozen=True, tag="Appended"):
    """Reports that this replica's synced log matches that of `epoch`'s primary up to `match_index`."""

    epoch: int
    match_index: int


class AppendRejected(Message, frozen=True, tag="AppendRefused"):
    """Reports that the preceding entry is not in this replica's log.

    `committed_index`: the index up to which that log is committed.
    """

    epoch: int
    previous_index: int
    committed_index: int


class InstallSnapshot(Message, frozen=True, tag="InstallSnapshot"):
    """A chunk of the state after the committed entry at `index` with `entry_epoch`.

    `data` is the chunk at `offset` of a snapshot of `size` bytes. `begun_epoch`: the sender's epoch when it
    started to send this snapshot.
    """

    epoch: int
    begun_epoch: int
    index: int
    entry_epoch: int
    offset: int
    size: int
    data: bytes


class SnapshotAck(Message, frozen=True, tag="SnapshotReceived"):
    """Acknowledges the first `received` bytes of the snapshot at `index`; more are expected."""

    epoch: int
    index: int
    received: int


class TransferLeadership(Message, frozen=True, tag="HandOver"):
    """The primary of `epoch` gives up its role; the receiver is to become primary immediately."""

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
