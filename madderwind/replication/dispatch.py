"""Dispatches each received message to the component of the replica that handles it."""

from __future__ import annotations

from madderwind.messages.replication import (
    Accept,
    Accepted,
    AcceptedBroadcast,
    AppendAck,
    AppendEntries,
    AppendRejected,
    Heartbeat,
    HeartbeatAck,
    InstallSnapshot,
    JoinRequest,
    Member,
    Prepare,
    Promise,
    Rejected,
    ReplicationMessage,
    SnapshotAck,
    TransferLeadership,
    ViewNotice,
)
from madderwind.replication.context import ReplicaContext
from madderwind.replication.discovery import Discovery
from madderwind.replication.follower import Follower
from madderwind.replication.primary import Primary
from madderwind.replication.role_machine import RoleMachine
from madderwind.replication.witness import Witness

# Messages about views, which a replica handles in any role.
_ViewMessage = ViewNotice | Promise | Accepted | AcceptedBroadcast | Rejected | TransferLeadership


class MessageDispatcher:
    """Dispatches messages to the components of a replica, and drops messages that do not apply to it."""

    def __init__(
        self,
        context: ReplicaContext,
        discovery: Discovery,
        roles: RoleMachine,
        follower: Follower,
        witness: Witness,
    ) -> None:
        self._context = context
        self._store, self._outbox = context.store, context.outbox
        self._discovery, self._roles = discovery, roles
        self._follower, self._witness = follower, witness

    def handle(self, now_ms: float, sender_address: str, message: ReplicationMessage) -> None:
        """Handle a message.

        Args:
            now_ms: Monotonic time, ms.
            sender_address: Internal address of the replica that sent it.
            message: The message.
        """
        if not self._store.has_identity_on_disk:
            return
        if message.target not in ("", self._store.me.incarnation):
            # The target is an earlier incarnation at this address that lost its disk. A join request informs
            # the sender of the current incarnation.
            self._outbox.send(sender_address, self._store.join_request)
            return
        match message:
            case JoinRequest():
                self._handle_join_request(now_ms, message)
            case Prepare():
                self._witness.handle_prepare(now_ms, sender_address, message)
            case Accept():
                self._witness.handle_accept(now_ms, sender_address, message)
            case Heartbeat() | AppendEntries() | InstallSnapshot():
                if self._is_from_primary(sender_address, message):
                    self._handle_as_follower(now_ms, message)
            case HeartbeatAck() | AppendAck() | AppendRejected() | SnapshotAck():
                if self._roles.primary is not None:
                    _handle_as_primary(now_ms, self._roles.primary, message)
            case _:
                self._handle_in_any_role(now_ms, message)

    def _handle_in_any_role(self, now_ms: float, message: _ViewMessage) -> None:
        match message:
            case ViewNotice(view=view):
                self._roles.adopt(now_ms, view)
            case Promise():
                self._roles.handle_promise(now_ms, message)
            case Accepted():
                self._roles.handle_accepted(now_ms, message)
            case AcceptedBroadcast():
                self._roles.handle_accepted_broadcast(now_ms, message)
            case Rejected():
                self._roles.handle_rejection(now_ms, message)
            case TransferLeadership():
                self._roles.handle_transfer(now_ms, message)

    def _handle_join_request(self, now_ms: float, request: JoinRequest) -> None:
        store, member = self._store, request.member
        self._discovery.handle_join_request(request)
        if request.epoch < store.epoch:
            self._context.notify_view(member.address, member.incarnation)
        elif request.epoch > store.epoch:
            self._outbox.send(member.address, store.join_request)
        if self._roles.primary is not None:
            self._roles.primary.handle_join_request(now_ms, request)
        elif self._replaces_primary(member):
            # The primary's machine lost its disk, so this primary will send no more messages.
            self._follower.forget_primary()
            self._roles.election.expedite(now_ms)

    def _replaces_primary(self, member: Member) -> bool:
        """Whether `member` is another incarnation at the address of the newest view's primary."""
        primary = self._store.primary if self._store.epoch > 0 else None
        if primary is None or primary.incarnation == member.incarnation:
            return False
        return primary.address == member.address

    def _is_from_primary(
        self, sender_address: str, message: Heartbeat | AppendEntries | InstallSnapshot
    ) -> bool:
        """Whether a message was sent by the primary of the newest view.

        If the epochs differ, requests the newer view from the sender or sends it to the sender.
        """
        store = self._store
        if message.epoch > store.epoch:
            self._outbox.send(sender_address, store.join_request)
            return False
        if message.epoch < store.epoch:
            self._context.notify_view(sender_address, message.sender)
            return False
        is_primary = store.view is not None and message.sender == store.view.primary
        return is_primary and self._roles.primary is None

    def _handle_as_follower(
        self, now_ms: float, message: Heartbeat | AppendEntries | InstallSnapshot
    ) -> None:
        self._roles.end_candidacy(now_ms)
        self._roles.election.restart_timeout(now_ms)
        match message:
            case Heartbeat():
                self._follower.handle_heartbeat(now_ms, message, self._roles.is_stopping)
            case AppendEntries():
                self._follower.handle_append(now_ms, message)
            case InstallSnapshot():
                self._follower.handle_snapshot(now_ms, message)


def _handle_as_primary(
    now_ms: float, primary: Primary, message: HeartbeatAck | AppendAck | AppendRejected | SnapshotAck
) -> None:
    match message:
        case HeartbeatAck():
            primary.handle_heartbeat_ack(now_ms, message)
        case AppendAck():
            primary.handle_append_ack(now_ms, message)
        case AppendRejected():
            primary.handle_append_rejected(now_ms, message)
        case SnapshotAck():
            primary.handle_snapshot_ack(now_ms, message)
