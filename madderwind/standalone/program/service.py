"""One balancer as a program: wiring, readiness, signals and the end."""

from __future__ import annotations

import asyncio
import gc
import logging
import random
import resource
import signal
from pathlib import Path

import msgspec
from aiohttp import web

from madderwind.standalone.admin.desk import Desk
from madderwind.standalone.admin.listener import MOST_CALLS, SPARES, AdminListener
from madderwind.standalone.clock import Clock
from madderwind.standalone.handover.handover import Handover
from madderwind.standalone.program.configuration import Configuration, ConfigurationError, read_successor
from madderwind.standalone.program.log import JsonLog, LibraryLog
from madderwind.standalone.routing.copy import Copy, LastWord
from madderwind.standalone.routing.discovery import Follower
from madderwind.standalone.routing.exchange import serve
from madderwind.standalone.routing.gossip_peers import GossipPeers
from madderwind.standalone.routing.peers import Peers
from madderwind.standalone.routing.withdrawal import Withdrawal
from madderwind.standalone.settings import HostSettings, moved, retuned
from madderwind.transport.budget import Budgets
from madderwind.transport.listening import Listener
from madderwind.transport.upstreams import Upstreams

READY = "/healthz"
# Readiness waits this long for discovery's first word; then the list known from before must do.
FIRST_WORD_S = 0.5
# And so long for what its fleet has left; once another copy has told some of it, the rest is on its way.
FIRST_NEWS_S, REST_OF_NEWS_S = 0.6, 0.1
# After SIGTERM new connections come for up to 0.4 s more; until then everything is taken.
TAKE_ON_S = 0.6
# SIGKILL comes as soon as the longest deadline, of which this much counts at most, and 0.7 s more are over.
MOST_DEADLINE_S = 3.0
# What is still open so long after that deadline is answered by the host, and then has so long to be written.
LAST_WORD_S, LAST_WRITE_S = 0.35, 0.15
# Most answers come in this part of what their callers hope for: calm days have a median of a sixth of it.
MOST_ANSWERS = 1 / 3
# What of a new configuration needs a restart. The seed is new with each start and the list known is for the
# start alone, so changes of those are nothing to speak of.
FOR_THE_START = ("name", "listen", "admin", "limits", "peers", "fleet")
# Descriptors for all but connections: streams, loop, listener, the watch and its successor, and a margin.
OWN_DESCRIPTORS = 20


class Service:
    def __init__(self, configuration: Configuration, log: JsonLog, folder: str | None = None) -> None:
        """`folder`: where another process of this balancer finds this one; without it none does."""
        self._configuration, self._log = configuration, log
        self.ready = asyncio.Event()
        self._ending = asyncio.Event()
        self.port = 0
        host = self._with_peers(configuration.host)
        # A request takes two descriptors, its caller's connection and an upstream's: half for each side.
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        own = OWN_DESCRIPTORS + (MOST_CALLS + SPARES + 1 if configuration.admin else 0)
        self._most = max(4, min(configuration.limits.sockets, allowed) - own) // 2
        self._upstreams = Upstreams(host.settings.connect_timeout_ms, host.idle_ms, self._most)
        self._budgets = Budgets(configuration.limits.memory_mb)
        self.copy = Copy(host, configuration.seed, Clock(), self._upstreams, self._budgets, log)
        self.copy.tally.version = configuration.version
        self._chance = random.Random(configuration.seed)
        self._follower = Follower(self.copy, configuration.discovery, self._chance)
        self._following: asyncio.Task[None] | None = None
        self._reopening: asyncio.Task[None] | None = None
        self._listener = Listener(self._answer, self._most, log, self._upstreams.held)
        # An upgrade is for operators, who ask at the second address whether the new process serves.
        self._handover: Handover | None = None
        if configuration.admin is not None and folder:
            self._handover = Handover(
                Path(folder),
                configuration.name,
                self.copy,
                lambda: self._listener.listening,
                self._processes_changed,
                log,
            )
        by_hand = self._handover or self.copy
        desk = Desk(self.copy, self._is_ready, by_hand.suspend, by_hand.restore)
        self._admin = AdminListener(desk.answer, log, self.copy.clock.now_ms)
        self.admin_port = 0

    def _with_peers(self, host: HostSettings) -> HostSettings:
        """Words are for where the configuration names the other copies: elsewhere the module says none."""
        may_tell = host.settings.may_tell and bool(self._configuration.peers)
        return msgspec.structs.replace(
            host, settings=msgspec.structs.replace(host.settings, may_tell=may_tell)
        )

    def speaker(self) -> Peers | GossipPeers:
        """Who carries this copy's words: each to every other, or passed on where the file has a fleet."""
        configuration, copy = self._configuration, self.copy
        me, fleet = configuration.host.settings.me, configuration.fleet
        if fleet is None:
            return Peers(configuration.peers, me, copy.heard, copy.log_sparingly)
        logs, seed = (self._log, copy.log_sparingly), configuration.seed
        return GossipPeers(configuration.peers, me, copy.heard, *logs, copy.clock, fleet, seed)

    def _withdrawal(self, speaker: Peers | GossipPeers) -> Withdrawal | None:
        """Who leaves zones together with the other copies, where the file says so."""
        fleet, host = self._configuration.fleet, self._configuration.host
        if not isinstance(speaker, GossipPeers) or fleet is None or fleet.leaving is None:
            return None
        zone = host.zone_names[host.settings.zone]
        copy, logs = self.copy, (self._log, self.copy.log_sparingly)
        return Withdrawal(speaker, copy, host.settings, zone, fleet.leaving, copy.clock, *logs)

    async def _first_news(self, speaker: Peers | GossipPeers) -> None:
        """Guards against a copy that starts while a zone is left, and sends there until it hears of it."""
        if isinstance(speaker, GossipPeers) and len(self._configuration.peers) > 1:
            try:
                await asyncio.wait_for(speaker.synced.wait(), FIRST_NEWS_S)
                await asyncio.sleep(REST_OF_NEWS_S)
            except TimeoutError:
                self._log("no_word_from_fellows", after_s=FIRST_NEWS_S)

    def _is_ready(self) -> bool:
        return self.ready.is_set() and not self._ending.is_set()

    @property
    def _handed_on(self) -> bool:
        return self._handover is not None and self._handover.successor_serves

    def _processes_changed(self) -> None:
        """Another process of this balancer came or went: both are one to callers, and to the limits."""
        assert self._handover is not None
        processes = 1 if self._handover.alone else 2
        self._upstreams.share(self._most // processes)
        self._listener.share(self._most // processes)
        self._budgets.share(processes)
        self._listener.hand_on(self._handed_on)
        if self.copy.peers is not None and self._handed_on:
            self.copy.peers.close()  # two processes are one copy: the successor speaks and hears
        elif self.copy.peers is not None and self.copy.peers.closed:
            self._reopening = asyncio.get_running_loop().create_task(self.copy.peers.start(shared=True))

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request._message.path == READY and request.method == "GET":
            # With a successor that serves, the balancer is ready, whichever process is asked.
            return web.Response(status=200 if self._is_ready() or self._handed_on else 500)
        return await serve(self.copy, request)

    def end(self) -> None:
        """SIGTERM: finish what is taken and end."""
        self._ending.set()

    def reload(self) -> None:
        """SIGHUP: read the configuration again; new settings and a new address of discovery act at once.

        Guards against the signal's default, which ends the program with all that it has taken.
        """
        before = self._configuration
        try:
            new = read_successor(before)
        except ConfigurationError as error:
            self.copy.tally.load_errors += 1
            self._log("configuration_unreadable", error=str(error))  # the one in force stays
            return
        self.copy.tally.loads += 1
        needs_restart = [what for what in FOR_THE_START if getattr(new, what) != getattr(before, what)]
        needs_restart += moved(before.host, new.host)
        said = {} if new.stamp is None else {"version": new.stamp.number, "digest": new.stamp.digest}
        self._log("configuration_read", discovery=list(new.discovery), needs_restart=needs_restart, **said)
        # What needs a restart is compared with what runs, not with what an earlier reading found.
        host = self._with_peers(retuned(before.host, new.host))
        self._configuration = msgspec.structs.replace(
            before, discovery=new.discovery, host=host, parts=new.parts, stamp=new.stamp
        )
        self.copy.tally.version = new.version
        if host != before.host:
            self.copy.retune(host)
        if new.discovery != before.discovery:
            self._follower = Follower(self.copy, new.discovery, self._chance)
            if self._following is not None:  # else the start is still to come, and follows this one
                self._following.cancel()  # leaves the old address at once: no descriptor is held for both
                self._following = asyncio.get_running_loop().create_task(self._follower.run(anew=True))

    async def run(self) -> None:
        """Serve until SIGTERM, and end."""
        library_log = LibraryLog(self._log)
        logging.getLogger().addHandler(library_log)
        try:
            await self._run()
        finally:
            self._admin.close()
            if self.copy.withdrawal is not None:
                self.copy.withdrawal.close()
            if self.copy.peers is not None:
                self.copy.peers.close()
            if self._handover is not None:
                self._handover.close()
            logging.getLogger().removeHandler(library_log)
            self._log.flush()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.end)
        loop.add_signal_handler(signal.SIGINT, self.end)
        loop.add_signal_handler(signal.SIGHUP, self.reload)  # before readiness: until then it would kill
        configuration = self._configuration
        self.copy.listed(configuration.known, cached=True)
        if configuration.admin is not None:
            self.admin_port = await self._admin.start(*configuration.admin)
        if configuration.peers:
            self.copy.peers = self.speaker()
            self.copy.withdrawal = self._withdrawal(self.copy.peers)
            await self.copy.peers.start(shared=self._handover is not None)
            if self.copy.withdrawal is not None:
                self.copy.withdrawal.listed(self.copy.directory.places())
                self.copy.withdrawal.start()
                await self._first_news(self.copy.peers)
        elif configuration.host.settings.may_tell:
            self._log("no_peers_named")
        listening = await self._handover.take_over() if self._handover is not None else None
        reuse_port = self._handover is not None  # the way in where no process hands its socket over
        self.port = await self._listener.start(*configuration.listen, listening, reuse_port)
        self._following = loop.create_task(self._follower.run())
        if not configuration.host.settings.must_ask:  # else the module asks in its own time
            try:
                await asyncio.wait_for(self._follower.heard.wait(), FIRST_WORD_S)
            except TimeoutError:
                self._log("no_word_from_discovery", after_s=FIRST_WORD_S)
        gc.collect()
        gc.freeze()  # what lives from here on is small; the rest need not be looked through again
        self.ready.set()
        if self._handover is not None:
            self._handover.serving()
        self._log("ready", listen=list(configuration.listen), tier=configuration.host.settings.tier)
        await self._ending.wait()
        if self._handover is not None:
            self._handover.end()
        await self._finish()
        self._following.cancel()
        await self._upstreams.close()
        self._log("ended", invariants_broken=dict(self.copy.invariants.broken))

    async def _finish(self) -> None:
        """Take on what comes for a while, close connections as they come free, answer the rest, and end."""
        self._log("ending", open_requests=len(self.copy.open))
        loop = asyncio.get_running_loop()
        classes = self._configuration.host.settings.classes
        end_s = loop.time() + min(max(c.deadline_ms for c in classes) / 1000, MOST_DEADLINE_S) + LAST_WORD_S
        if not self._handed_on:  # else the successor takes what is new
            await asyncio.sleep(TAKE_ON_S)
        # Callers go on using the connections that they have, and another balancer may be down as well: what
        # comes on them is taken while it still has the time that most answers take.
        await self._listener.serve_on(end_s - min(c.aim_ms for c in classes) * MOST_ANSWERS / 1000)
        left = await self._listener.finish(end_s - loop.time())
        if left:
            # Guards against requests lost to SIGKILL: a client may wait longer than the platform does.
            self._log("answered_at_the_end", count=left)
            self.copy.end_all(LastWord.ENDING)
            left = await self._listener.finish(LAST_WRITE_S)
            while self.copy.passes_answers():  # what upstreams still give is not cut off
                left = await self._listener.finish(LAST_WRITE_S)
            self.copy.invariants.must(not left, "nothing_unanswered_at_the_end", count=left)
