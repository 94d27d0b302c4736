"""One process's part in an upgrade: first as a successor, later as the one that has a successor."""

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
    read_message,
    shape_of,
    write_message,
)
from madderwind.standalone.routing.copy import Copy
from madderwind.standalone.routing.directory import Memory


class Handover:
    """Ties the link, the message and the file of bans to one copy.

    `on_change` is called when another process comes or goes, begins to serve, or gives up.
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
        self._offer = Offer(self._path, self._handed, self._linked)
        self._predecessor: Link | None = None
        self._successor: Link | None = None
        self._offered = False  # a successor has the socket, or is getting it
        self.successor_serves = False
        self._ending = False
        self._following: set[asyncio.Task[None]] = set()

    @property
    def alone(self) -> bool:
        """Whether no other process of this balancer is known to run."""
        return self._predecessor is None and not self._offered

    # --- as a successor ---

    async def take_over(self) -> socket.socket | None:
        """The listening socket of the process that serves now; the copy has learned what that one knows."""
        bans, wrong = read_bans(self._bans_path)
        if wrong:
            self._log("bans_unreadable", error=wrong)
        self._copy.directory.recall(Memory({}, [], bans.suspended, bans.restored_ms))
        taken = await take_over(self._path, self._received)
        if taken is None:
            return None
        self._predecessor = taken.link
        self._follow(taken.link)
        try:
            message = read_message(taken.raw)
        except MessageError as error:
            self._log("handover_unreadable", error=str(error))
        else:
            self._copy.directory.recall(message.directory)
            self._copy.listed(message.listing, cached=True)
            same = message.shape == shape_of(self._copy.settings)
            self._copy.recall(message.quota, message.room, message.upstreams, same)
            self._log("taken_over", upstreams=len(message.listing.members), same_shape=same)
        self._on_change()
        return taken.listening

    def serving(self) -> None:
        """This process serves: the one before it may stop, and the next may come."""
        if self._predecessor is not None:
            self._predecessor.tell(LinkMessage(serving=True))
        self._wait_for_successor()

    # --- as the one that has a successor ---

    def _handed(self) -> tuple[socket.socket, bytes] | None:
        listening = self._listening()
        if listening is None or self._offered:
            return None
        self._offered = True
        self._on_change()
        message = Message(
            self._copy.directory.listing(),
            self._copy.directory.memory(),
            *self._copy.hand_over(),
            shape_of(self._copy.settings),
        )
        return listening, write_message(message)

    def _linked(self, connected: socket.socket | None) -> None:
        if connected is None:
            self._lost()
            return
        self._successor = Link(connected, self._received)
        self._follow(self._successor)

    def _lost(self) -> None:
        """Guards against a successor that dies, before it serves or after: this process goes on as it was."""
        self._log("successor_lost", served=self.successor_serves)
        self._successor, self._offered, self.successor_serves = None, False, False
        self._wait_for_successor()
        self._on_change()

    def end(self) -> None:
        """This process ends: no successor is waited for any more."""
        self._ending = True
        self._offer.close()

    # --- both ---

    def _wait_for_successor(self) -> None:
        self._offer.close()
        if not self._ending and (error := self._offer.open()):
            self._log("no_handover", error=error)

    def _follow(self, link: Link) -> None:
        task = asyncio.get_running_loop().create_task(self._until_end(link))
        self._following.add(task)
        task.add_done_callback(self._following.discard)

    async def _until_end(self, link: Link) -> None:
        await link.follow()
        if link is self._successor:
            self._lost()
        elif link is self._predecessor:
            self._predecessor = None
            self._log("predecessor_ended")
            self._on_change()

    def _received(self, message: LinkMessage) -> None:
        """What the other process says: that it serves, or what an operator told it."""
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
        """An operator's ban, in force in both processes and in the file."""
        return self._by_hand(self._copy.suspend(name), LinkMessage(suspend=name))

    def restore(self, name: str) -> bool:
        return self._by_hand(self._copy.restore(name), LinkMessage(restore=name))

    def _by_hand(self, known: bool, message: LinkMessage) -> bool:
        if known:
            memory = self._copy.directory.memory()
            if error := write_bans(self._bans_path, Bans(memory.suspended, memory.restored_ms)):
                self._log("bans_not_written", error=error)
            for link in (self._predecessor, self._successor):
                if link is not None:
                    link.tell(message)
        return known

    def close(self) -> None:
        self.end()
        for task in list(self._following):
            task.cancel()
        for link in (self._predecessor, self._successor):
            if link is not None:
                link.close()
