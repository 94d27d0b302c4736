"""The balancer process: component setup, readiness, signals and graceful shutdown."""

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
from madderwind.standalone.program.log import JsonLog, LibraryLogHandler
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

READINESS_PATH = "/healthz"
# Readiness waits this long for the first list of discovery; then the known list of the file is used.
DISCOVERY_WAIT_S = 0.5
# Readiness also waits for the zones that the fleet has evacuated. Once another copy has sent some of the
# state, the rest is expected within the second time.
GOSSIP_SYNC_WAIT_S, GOSSIP_SYNC_REMAINDER_S = 0.6, 0.1
# After SIGTERM, callers open new connections for up to 0.4 s more; until then all requests are accepted.
TAKE_ON_S = 0.6
# SIGKILL follows 0.7 s after the longest request deadline, of which at most this much counts.
MOST_DEADLINE_S = 3.0
# Requests still open LAST_WORD_S after that deadline get a final answer from the host, which then has
# LAST_WRITE_S to be written.
LAST_WORD_S, LAST_WRITE_S = 0.35, 0.15
# Most answers arrive within this fraction of the goal time of their class; the median is a sixth under
# normal load.
TYPICAL_ANSWER_FRACTION = 1 / 3
# The fields of a configuration whose change needs a restart. The seed is new with each start and the known
# list is used only at the start, so changes of those are not reported.
RESTART_ONLY_FIELDS = ("name", "listen", "admin", "limits", "peers", "fleet")
# Descriptors for everything but connections: streams, event loop, listener, the discovery watch and its
# successor, and a margin.
RESERVED_DESCRIPTORS = 20


class Service:
    def __init__(self, configuration: Configuration, log: JsonLog, folder: str | None = None) -> None:
        """`folder` holds the socket for a takeover by another process of this balancer; None disables it."""
        self._configuration, self._log = configuration, log
        self.ready = asyncio.Event()
        self._stopping = asyncio.Event()
        self.port = 0
        host = self._with_effective_settings(configuration.host)
        # A request uses two descriptors, one for the client and one for the upstream, so each side gets half.
        descriptor_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        reserved = RESERVED_DESCRIPTORS + (MOST_CALLS + SPARES + 1 if configuration.admin else 0)
        self._max_connections = max(4, min(configuration.limits.sockets, descriptor_limit) - reserved) // 2
        self._upstreams = Upstreams(host.settings.connect_timeout_ms, host.idle_ms, self._max_connections)
        self._budgets = Budgets(configuration.limits.memory_mb)
        self.copy = Copy(host, configuration.seed, Clock(), self._upstreams, self._budgets, log)
        self.copy.tally.version = configuration.version
        self._random = random.Random(configuration.seed)
        self._follower = Follower(self.copy, configuration.discovery, self._random)
        self._follow_task: asyncio.Task[None] | None = None
        self._reopen_task: asyncio.Task[None] | None = None
        self._listener = Listener(self._answer, self._max_connections, log, self._upstreams.open_connections)
        # An upgrade needs the admin address, where operators check whether the new process serves.
        self._handover: Handover | None = None
        if configuration.admin is not None and folder:
            self._handover = Handover(
                Path(folder),
                configuration.name,
                self.copy,
                lambda: self._listener.listening,
                self._on_process_change,
                log,
            )
        operator_target = self._handover or self.copy
        desk = Desk(self.copy, self._is_ready, operator_target.suspend, operator_target.restore)
        self._admin = AdminListener(desk.answer, log, self.copy.clock.now_ms)
        self.admin_port = 0

    def _with_effective_settings(self, host: HostSettings) -> HostSettings:
        """The settings with messages to other copies disabled if the configuration lists no peers."""
        may_tell = host.settings.may_tell and bool(self._configuration.peers)
        return msgspec.structs.replace(
            host, settings=msgspec.structs.replace(host.settings, may_tell=may_tell)
        )

    def create_peers(self) -> Peers | GossipPeers:
        """The transport of messages to other copies: gossip if the file has a fleet, else direct sends."""
        configuration, copy = self._configuration, self.copy
        me, fleet = configuration.host.settings.me, configuration.fleet
        if fleet is None:
            return Peers(configuration.peers, me, copy.heard, copy.log_sparingly)
        logs, seed = (self._log, copy.log_sparingly), configuration.seed
        return GossipPeers(configuration.peers, me, copy.heard, *logs, copy.clock, fleet, seed)

    def _create_withdrawal(self, peers: Peers | GossipPeers) -> Withdrawal | None:
        """The coordinated evacuation of zones, if the file enables it."""
        fleet, host = self._configuration.fleet, self._configuration.host
        if not isinstance(peers, GossipPeers) or fleet is None or fleet.leaving is None:
            return None
        zone = host.zone_names[host.settings.zone]
        copy, logs = self.copy, (self._log, self.copy.log_sparingly)
        return Withdrawal(peers, copy, host.settings, zone, fleet.leaving, copy.clock, *logs)

    async def _wait_for_gossip_sync(self, peers: Peers | GossipPeers) -> None:
        """Wait for the state of the fleet, so that a copy that starts does not send to an evacuated zone."""
        if isinstance(peers, GossipPeers) and len(self._configuration.peers) > 1:
            try:
                await asyncio.wait_for(peers.synced.wait(), GOSSIP_SYNC_WAIT_S)
                await asyncio.sleep(GOSSIP_SYNC_REMAINDER_S)
            except TimeoutError:
                self._log("no_word_from_fellows", after_s=GOSSIP_SYNC_WAIT_S)

    def _is_ready(self) -> bool:
        return self.ready.is_set() and not self._stopping.is_set()

    @property
    def _successor_ready(self) -> bool:
        return self._handover is not None and self._handover.successor_serves

    def _on_process_change(self) -> None:
        """Divide the limits when another process of this balancer starts or ends.

        Both processes together act as one balancer, to callers and within the limits.
        """
        assert self._handover is not None
        processes = 1 if self._handover.alone else 2
        self._upstreams.share(self._max_connections // processes)
        self._listener.share(self._max_connections // processes)
        self._budgets.share(processes)
        self._listener.hand_on(self._successor_ready)
        if self.copy.peers is not None and self._successor_ready:
            self.copy.peers.close()  # both processes are one copy, and only the successor sends and receives
        elif self.copy.peers is not None and self.copy.peers.closed:
            self._reopen_task = asyncio.get_running_loop().create_task(self.copy.peers.start(shared=True))

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        if request._message.path == READINESS_PATH and request.method == "GET":
            # Once a successor serves, the balancer is ready, whichever process receives the request.
            return web.Response(status=200 if self._is_ready() or self._successor_ready else 500)
        return await serve(self.copy, request)

    def end(self) -> None:
        """SIGTERM: finish the accepted requests and shut down."""
        self._stopping.set()

    def reload(self) -> None:
        """SIGHUP: read the configuration again; new settings and a new discovery address apply at once.

        The default action of the signal would end the process with all its open requests.
        """
        current = self._configuration
        try:
            new = read_successor(current)
        except ConfigurationError as error:
            self.copy.tally.load_errors += 1
            self._log("configuration_unreadable", error=str(error))  # the configuration in force stays
            return
        self.copy.tally.loads += 1
        needs_restart = [
            field for field in RESTART_ONLY_FIELDS if getattr(new, field) != getattr(current, field)
        ]
        needs_restart += moved(current.host, new.host)
        version_fields = (
            {} if new.stamp is None else {"version": new.stamp.number, "digest": new.stamp.digest}
        )
        self._log(
            "configuration_read", discovery=list(new.discovery), needs_restart=needs_restart, **version_fields
        )
        # Fields that need a restart keep their running values, so a later reload compares with those.
        host = self._with_effective_settings(retuned(current.host, new.host))
        self._configuration = msgspec.structs.replace(
            current, discovery=new.discovery, host=host, parts=new.parts, stamp=new.stamp
        )
        self.copy.tally.version = new.version
        if host != current.host:
            self.copy.retune(host)
        if new.discovery != current.discovery:
            self._follower = Follower(self.copy, new.discovery, self._random)
            if self._follow_task is not None:  # otherwise `run` has yet to start this follower
                self._follow_task.cancel()  # closes the old watch at once: there is no descriptor for both
                self._follow_task = asyncio.get_running_loop().create_task(self._follower.run(anew=True))

    async def run(self) -> None:
        """Serve until SIGTERM, then shut down."""
        library_handler = LibraryLogHandler(self._log)
        logging.getLogger().addHandler(library_handler)
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
            logging.getLogger().removeHandler(library_handler)
            self._log.flush()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.end)
        loop.add_signal_handler(signal.SIGINT, self.end)
        # Installed before readiness, because the default action of SIGHUP would end the process.
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        configuration = self._configuration
        self.copy.listed(configuration.known, cached=True)
        if configuration.admin is not None:
            self.admin_port = await self._admin.start(*configuration.admin)
        if configuration.peers:
            self.copy.peers = self.create_peers()
            self.copy.withdrawal = self._create_withdrawal(self.copy.peers)
            await self.copy.peers.start(shared=self._handover is not None)
            if self.copy.withdrawal is not None:
                self.copy.withdrawal.listed(self.copy.directory.places())
                self.copy.withdrawal.start()
                await self._wait_for_gossip_sync(self.copy.peers)
        elif configuration.host.settings.may_tell:
            self._log("no_peers_named")
        listening = await self._handover.take_over() if self._handover is not None else None
        reuse_port = self._handover is not None  # needed if no process hands over its socket
        self.port = await self._listener.start(*configuration.listen, listening, reuse_port)
        self._follow_task = loop.create_task(self._follower.run())
        if not configuration.host.settings.must_ask:  # otherwise the policy decides when to ask discovery
            try:
                await asyncio.wait_for(self._follower.heard.wait(), DISCOVERY_WAIT_S)
            except TimeoutError:
                self._log("no_word_from_discovery", after_s=DISCOVERY_WAIT_S)
        gc.collect()
        gc.freeze()  # later objects are few; the collector need not scan the rest again
        self.ready.set()
        if self._handover is not None:
            self._handover.serving()
        self._log("ready", listen=list(configuration.listen), tier=configuration.host.settings.tier)
        await self._stopping.wait()
        if self._handover is not None:
            self._handover.end()
        await self._drain()
        self._follow_task.cancel()
        await self._upstreams.close()
        self._log("ended", invariants_broken=dict(self.copy.invariants.broken))

    async def _drain(self) -> None:
        """Accept requests for a while, close idle connections, and answer the remaining requests."""
        self._log("ending", open_requests=len(self.copy.open))
        loop = asyncio.get_running_loop()
        classes = self._configuration.host.settings.classes
        deadline_s = (
            loop.time() + min(max(c.deadline_ms for c in classes) / 1000, MOST_DEADLINE_S) + LAST_WORD_S
        )
        if not self._successor_ready:  # otherwise the successor accepts new requests
            await asyncio.sleep(TAKE_ON_S)
        # Callers keep using their open connections, and another balancer may be down as well. Requests
        # on those connections are accepted as long as the time left is enough for most answers.
        await self._listener.serve_on(
            deadline_s - min(c.aim_ms for c in classes) * TYPICAL_ANSWER_FRACTION / 1000
        )
        unanswered = await self._listener.finish(deadline_s - loop.time())
        if unanswered:
            # A client may wait longer than the platform waits before SIGKILL, which would lose its request.
            self._log("answered_at_the_end", count=unanswered)
            self.copy.end_all(LastWord.ENDING)
            unanswered = await self._listener.finish(LAST_WRITE_S)
            while self.copy.passes_answers():  # answers still arriving from upstreams are not truncated
                unanswered = await self._listener.finish(LAST_WRITE_S)
            self.copy.invariants.must(not unanswered, "nothing_unanswered_at_the_end", count=unanswered)
