"""The process of the datagram relay: one socket; the source and destination addresses identify the copies."""

from __future__ import annotations

import asyncio
import random
import socket

from madderwind.standalone.gossip.wire import BadMessage, Kind, read, seed_of
from madderwind.testing.fault_tests.part import RigProcess, run_process
from madderwind.testing.fault_tests.plan import COPY_HOST, PKTINFO, ip
from madderwind.testing.fault_tests.scenario import MessageFault
from madderwind.testing.fault_tests.schedule import FaultOccurrence
from madderwind.testing.fault_tests.traces import EventTrace, MessageCounts

BUFFER_BYTES = 8 << 20
MAX_DATAGRAMS_PER_WAKEUP = 64
MAX_DATAGRAM_BYTES = 2048
IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)  # Python names it from 3.14 on only


class MessageRelay(RigProcess):
    async def start(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.setblocking(False)
        # Receives on all addresses of this rig; a datagram from an interface other than loopback is foreign.
        self._socket.bind(("0.0.0.0", self.plan.message_port))
        self._net = ip(self.plan.at(0, 0, 0)[0])[:2]
        self._loopback = socket.if_nametoindex("lo")
        self._random_by_pair: dict[tuple[int, int], random.Random] = {}
        self._counts_by_second: dict[tuple[int, int], MessageCounts] = {}
        self._active_faults: dict[tuple[int, int], list[MessageFault]] = {}
        self._turns: list[FaultOccurrence] = []
        fleet = self.plan.scenario.file.get("fleet.name")
        self._fleet = None if fleet is None else seed_of(str(fleet))
        self._events: dict[tuple[int, int, int], EventTrace] = {}
        asyncio.get_running_loop().add_reader(self._socket, self._read_datagrams)

    def begin(self) -> None:
        self._turns = self.turns(MessageFault)
        self.at_edges(self._turns, self._update_faults)

    def _update_faults(self) -> None:
        now_ms = self.clock.now_ms + 0.5
        self._active_faults = {}
        for turn in self._turns:
            fault = self.plan.scenario.faults[turn.fault]
            if isinstance(fault, MessageFault) and turn.on(now_ms):
                for pair in turn.pairs:
                    self._active_faults.setdefault(pair, []).append(fault)

    def _read_datagrams(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, control, _, address = self._socket.recvmsg(MAX_DATAGRAM_BYTES, 64)
            except BlockingIOError:
                return
            except OSError:
                continue  # an ICMP error for a datagram sent to a copy that is down
            self._handle_datagram(data, control, address[0])

    def _handle_datagram(self, data: bytes, control: list[tuple[int, int, bytes]], sender_host: str) -> None:
        if not control:
            self.seen.foreign += 1
            return
        interface, _, to = PKTINFO.unpack_from(control[0][2])
        source = ip(sender_host)
        from_rig = (
            source[:2] == self._net == to[:2] and source[3] == COPY_HOST and interface == self._loopback
        )
        sender, receiver = source[2], to[3]
        if not from_rig or to[2] != sender or max(sender, receiver) >= self.plan.scenario.copies:
            self.seen.foreign += 1
            return
        second = int(self.clock.now_ms // 1000)
        counts = self._counts_by_second.get((sender, second))
        if counts is None:
            counts = self._counts_by_second[sender, second] = MessageCounts(sender, second)
        counts.sent += 1
        counts.size_bytes += len(data)
        self._forward(data, sender, receiver, counts)

    def _forward(self, data: bytes, sender: int, receiver: int, counts: MessageCounts) -> None:
        late_ms, copies = 0.0, 1
        faults = self._active_faults.get((sender, receiver), ())
        if faults:
            # A random source per pair: the faults on a pair's n-th message don't depend on other pairs'
            # messages.
            rng = self._random_by_pair.setdefault(
                (sender, receiver), random.Random(f"{self.plan.schedule.seed} words {sender} {receiver}")
            )
            for fault in faults:
                lost, twice, damaged = (rng.random() for _ in range(3))
                if lost < fault.loss:
                    return
                copies += twice < fault.twice
                late_ms += rng.uniform(*fault.late_ms)
                if damaged < fault.damaged and data:
                    index = rng.randrange(len(data))
                    data = data[:index] + bytes([data[index] ^ 1 << rng.randrange(8)]) + data[index + 1 :]
                    data = data[: rng.randrange(1, len(data) + 1)] if rng.random() < 0.5 else data
        counts.passed += 1
        for _ in range(copies):
            if late_ms > 0:
                self.clock.after(late_ms, lambda: self._send(data, sender, receiver))
            else:
                self._send(data, sender, receiver)

    def _send(self, data: bytes, sender: int, receiver: int) -> None:
        """Send to the receiver, from the address that its configuration has for the sender."""
        if self._fleet is not None:
            self._record_events(data, receiver, self._fleet)
        source = PKTINFO.pack(0, ip(self.plan.message_link(receiver, sender)[0]), b"\0" * 4)
        try:
            control = [(socket.IPPROTO_IP, IP_PKTINFO, source)]
            self._socket.sendmsg([data], control, 0, self.plan.words(receiver))
        except OSError:
            return  # counts as lost, as any datagram may be

    def _record_events(self, data: bytes, receiver: int, fleet: int) -> None:
        """Record the events that reach this copy for the first time with this datagram."""
        try:
            datagram = read(data, fleet)
        except BadMessage:
            return
        for item in datagram.items:
            if item.kind == Kind.EVENT:
                key = item.about, item.life, item.version
                event = self._events.setdefault(key, EventTrace(item.about, item.version, self.clock.now_ms))
                event.heard_ms.setdefault(receiver, self.clock.now_ms)

    async def finish(self) -> None:
        self.seen.news = list(self._events.values())
        self.seen.words = list(self._counts_by_second.values())


if __name__ == "__main__":
    run_process(MessageRelay)
