"""One process's part in an upgrade: first as the successor, later as the predecessor of another process."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from pathlib import Path

from madderwind.eventlog import EventLog
from madderwind.standalone.handover.bans import Bans, read_bans, write_bans
from madderwind.standalone.handover.link import Link, LinkMessage, Offer, take_over
from madderwind.standalone.handover.message import (
    Message,
    MessageError,
    deployment_shape,
    read_message,
    write_message,
)
from madderwind.standalone.routing.copy import Copy
from madderwind.standalone.routing.directory import Memory


class Handover:
    """Connects the link to the other process, the handover message and the bans file with one balancer.

    `on_change` is called when another process connects, ends, starts to serve or aborts.
    """

    def __init__(
        self,
        folder: Path,
        name: str,
        copy: Copy,
        listening: Callable[[], socket.socket | None],
        on_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._bans_path = folder / f"madderwind-{name}-bans.json"
        self._path = folder / f"madderwind-{name}.sock"
        self._copy, self._listening, self._on_change, self._log = copy, listening, on_change, log
        self._offer = Offer(self._path, self._prepare_handover, self._on_link)
        self._predecessor: Link | None = None
        self._successor: Link | None = None
        self._offered = False  # a successor has received the socket or is receiving it
        self.successor_serves = False
        self._is_ending = False
        self._follow_tasks: set[asyncio.Task[None]] = set()

    @property
    def alone(self) -> bool:
        """Whether no other process of this balancer is known to run."""
        return self._predecessor is None and not self._offered

    async def take_over(self) -> socket.socket | None:
        """Take the listening socket over from the serving process and restore that process's state."""
        bans, read_error = read_bans(self._bans_path)
        if read_error:
            self._log("bans_unreadable", error=read_error)
        self._copy.directory.recall(Memory({}, [], bans.suspended, bans.restored_ms))
        received = await take_over(self._path, self._on_message)
        if received is None:
            return None
        self._predecessor = received.link
        self._follow(received.link)
        try:
            message = read_message(received.raw)
        except MessageError as error:
            self._log("handover_unreadable", error=str(error))
        else:
            self._copy.directory.recall(message.directory)
            self._copy.listed(message.listing, cached=True)
            same_shape = message.shape == deployment_shape(self._copy.settings)
            self._copy.recall(message.quota, message.room, message.upstreams, same_shape)
            self._log("taken_over", upstreams=len(message.listing.members), same_shape=same_shape)
        self._on_change()
        return received.listening

    def serving(self) -> None:
        """Tell the predecessor that this process serves, and accept a successor."""
        if self._predecessor is not None:
            self._predecessor.send(LinkMessage(serving=True))
        self._accept_successor()

    def _prepare_handover(self) -> tuple[socket.socket, bytes] | None:
        listening = self._listening()
        if listening is None or self._offered:
            return None
        self._offered = True
        self._on_change()
        message = Message(
            self._copy.directory.listing(),
            self._copy.directory.memory(),
            *self._copy.hand_over(),
            deployment_shape(self._copy.settings),
        )
        return listening, write_message(message)

    def _on_link(self, connection: socket.socket | None) -> None:
        if connection is None:
            self._on_successor_lost()
            return
        self._successor = Link(connection, self._on_message)
        self._follow(self._successor)

    def _on_successor_lost(self) -> None:
        """Keep serving without the successor. Guards against one that dies before or after it serves."""
        self._log("successor_lost", served=self.successor_serves)
        self._successor, self._offered, self.successor_serves = None, False, False
        self._accept_successor()
        self._on_change()

    def end(self) -> None:
        """Accept no successor any more, as this process ends."""
        self._is_ending = True
        self._offer.close()

    def _accept_successor(self) -> None:
        self._offer.close()
        if not self._is_ending and (error := self._offer.open()):
            self._log("no_handover", error=error)

    def _follow(self, link: Link) -> None:
        task = asyncio.get_running_loop().create_task(self._follow_until_closed(link))
        self._follow_tasks.add(task)
        task.add_done_callback(self._follow_tasks.discard)

    async def _follow_until_closed(self, link: Link) -> None:
        await link.follow()
        if link is self._successor:
            self._on_successor_lost()
        elif link is self._predecessor:
            self._predecessor = None
            self._log("predecessor_ended")
            self._on_change()

    def _on_message(self, message: LinkMessage) -> None:
        """Handle a message from the other process: that it serves, or an operator's command."""
        if message.serving:
            self.successor_serves = True
            self._offer.close()
            self._log("successor_serves")
            self._on_change()
        if message.suspend:
            self._copy.suspend(message.suspend, heard=True)
        if message.restore:
            self._copy.restore(message.restore)

    def suspend(self, name: str) -> bool:
        """Suspend an upstream at an operator's request, in both processes and in the bans file."""
        return self._apply_operator_command(self._copy.suspend(name), LinkMessage(suspend=name))

    def restore(self, name: str) -> bool:
        return self._apply_operator_command(self._copy.restore(name), LinkMessage(restore=name))

    def _apply_operator_command(self, is_known: bool, message: LinkMessage) -> bool:
        if is_known:
            memory = self._copy.directory.memory()
            if error := write_bans(self._bans_path, Bans(memory.suspended, memory.restored_ms)):
                self._log("bans_not_written", error=error)
            for link in (self._predecessor, self._successor):
                if link is not None:
                    link.send(message)
        return is_known

    def close(self) -> None:
        self.end()
        for task in list(self._follow_tasks):
            task.cancel()
        for link in (self._predecessor, self._successor):
            if link is not None:
                link.close()
