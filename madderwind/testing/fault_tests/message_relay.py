"""The relay of datagrams, as a process: one socket; a datagram's two addresses say who speaks to whom."""

from __future__ import annotations

import asyncio
import random
import socket

from madderwind.standalone.gossip.wire import BadMessage, Kind, read, seed_of
from madderwind.testing.fault_tests.part import RigProcess, play
from madderwind.testing.fault_tests.plan import COPY_HOST, PKTINFO, ip
from madderwind.testing.fault_tests.scenario import MessageFault
from madderwind.testing.fault_tests.schedule import FaultOccurrence
from madderwind.testing.fault_tests.traces import EventTrace, MessageCounts

BUFFER_BYTES = 8 << 20
MOST_AT_ONCE = 64
LONGEST = 2048
IP_PKTINFO = getattr(socket, "IP_PKTINFO", 8)  # Python names it from 3.14 on only


class MessageRelay(RigProcess):
    async def start(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.IPPROTO_IP, IP_PKTINFO, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        self._socket.setblocking(False)
        # For all of this rig's addresses at once; what comes by another interface than loopback is foreign.
        self._socket.bind(("0.0.0.0", self.plan.message_port))
        self._net = ip(self.plan.at(0, 0, 0)[0])[:2]
        self._loopback = socket.if_nametoindex("lo")
        self._chances: dict[tuple[int, int], random.Random] = {}
        self._seconds: dict[tuple[int, int], MessageCounts] = {}
        self._hit: dict[tuple[int, int], list[MessageFault]] = {}
        self._turns: list[FaultOccurrence] = []
        fleet = self.plan.scenario.file.get("fleet.name")
        self._fleet = None if fleet is None else seed_of(str(fleet))
        self._news: dict[tuple[int, int, int], EventTrace] = {}
        asyncio.get_running_loop().add_reader(self._socket, self._readable)

    def begin(self) -> None:
        self._turns = self.turns(MessageFault)
        self.at_edges(self._turns, self._change)

    def _change(self) -> None:
        now_ms = self.clock.now_ms + 0.5
        self._hit = {}
        for turn in self._turns:
            fault = self.plan.scenario.faults[turn.fault]
            if isinstance(fault, MessageFault) and turn.on(now_ms):
                for pair in turn.pairs:
                    self._hit.setdefault(pair, []).append(fault)

    def _readable(self) -> None:
        for _ in range(MOST_AT_ONCE):
            try:
                data, control, _, address = self._socket.recvmsg(LONGEST, 64)
            except BlockingIOError:
                return
            except OSError:
                continue  # a copy that is down: an answer to what was sent there
            self._came(data, control, address[0])

    def _came(self, data: bytes, control: list[tuple[int, int, bytes]], sender_host: str) -> None:
        if not control:
            self.seen.foreign += 1
            return
        interface, _, to = PKTINFO.unpack_from(control[0][2])
        source = ip(sender_host)
        ours = source[:2] == self._net == to[:2] and source[3] == COPY_HOST and interface == self._loopback
        sender, hearer = source[2], to[3]
        if not ours or to[2] != sender or max(sender, hearer) >= self.plan.scenario.copies:
            self.seen.foreign += 1
            return
        second = int(self.clock.now_ms // 1000)
        tally = self._seconds.get((sender, second))
        if tally is None:
            tally = self._seconds[sender, second] = MessageCounts(sender, second)
        tally.sent += 1
        tally.size_bytes += len(data)
        self._pass_on(data, sender, hearer, tally)

    def _pass_on(self, data: bytes, sender: int, hearer: int, tally: MessageCounts) -> None:
        late_ms, copies = 0.0, 1
        faults = self._hit.get((sender, hearer), ())
        if faults:
            # A source a pair: what befalls the n-th word of a pair hangs on nobody else's words.
            chance = self._chances.setdefault(
                (sender, hearer), random.Random(f"{self.plan.schedule.seed} words {sender} {hearer}")
            )
            for fault in faults:
                lost, twice, damaged = (chance.random() for _ in range(3))
                if lost < fault.loss:
                    return
                copies += twice < fault.twice
                late_ms += chance.uniform(*fault.late_ms)
                if damaged < fault.damaged and data:
                    place = chance.randrange(len(data))
                    data = data[:place] + bytes([data[place] ^ 1 << chance.randrange(8)]) + data[place + 1 :]
                    data = data[: chance.randrange(1, len(data) + 1)] if chance.random() < 0.5 else data
        tally.passed += 1
        for _ in range(copies):
            if late_ms > 0:
                self.clock.after(late_ms, lambda: self._send(data, sender, hearer))
            else:
                self._send(data, sender, hearer)

    def _send(self, data: bytes, sender: int, hearer: int) -> None:
        """To the hearer, from the very address that its file names for the sender."""
        if self._fleet is not None:
            self._note_news(data, hearer, self._fleet)
        source = PKTINFO.pack(0, ip(self.plan.message_link(hearer, sender)[0]), b"\0" * 4)
        try:
            control = [(socket.IPPROTO_IP, IP_PKTINFO, source)]
            self._socket.sendmsg([data], control, 0, self.plan.words(hearer))
        except OSError:
            return  # lost, as words may be

    def _note_news(self, data: bytes, hearer: int, fleet: int) -> None:
        """Which urgent words reach this copy with it for the first time."""
        try:
            datagram = read(data, fleet)
        except BadMessage:
            return
        for item in datagram.items:
            if item.kind == Kind.EVENT:
                key = item.about, item.life, item.version
                news = self._news.setdefault(key, EventTrace(item.about, item.version, self.clock.now_ms))
                news.heard_ms.setdefault(hearer, self.clock.now_ms)

    async def finish(self) -> None:
        self.seen.news = list(self._news.values())
        self.seen.words = list(self._seconds.values())


if __name__ == "__main__":
    play(MessageRelay)
