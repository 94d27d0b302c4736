"""A process that runs, is frozen, dies and starts anew: what all parties of the fleet have in common."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from tests.fleet.clock import Clock


class ProcessState(Enum):
    """`ENDED`: the machine refuses connections; `NO_POWER`: it says nothing at all."""

    NO_POWER = "no power"
    ENDED = "ended"
    RUNNING = "running"
    FROZEN = "frozen"


class Process:
    """One address of the fleet. Actions are posted to a life of it, and wait while it is frozen."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address, self.clock = address, clock
        self.incarnation = 0
        self.state = ProcessState.ENDED
        self.incarnation_ended_ms = -1e9
        self.end_hooks: dict[int, Callable[[], None]] = {}  # by whoever asked to be told of this life's end
        self._inbox: deque[Callable[[], None]] = deque()

    @property
    def is_up(self) -> bool:
        """Whether there is a process, frozen or not."""
        return self.state in (ProcessState.RUNNING, ProcessState.FROZEN)

    @property
    def is_running(self) -> bool:
        """Whether there is a process that is not frozen."""
        return self.state is ProcessState.RUNNING

    def begin_incarnation(self) -> None:
        """A process starts."""
        self.incarnation += 1
        self._inbox.clear()
        self.state = ProcessState.RUNNING

    def end_incarnation(self, has_power: bool) -> None:
        """The process is no more."""
        self.incarnation += 1
        self.incarnation_ended_ms = self.clock.now_ms
        self._inbox.clear()
        self.state = ProcessState.ENDED if has_power else ProcessState.NO_POWER
        hooks, self.end_hooks = list(self.end_hooks.values()), {}
        for hook in hooks:
            hook()

    def freeze(self) -> None:
        """The process does not run; what comes for it is queued."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN

    def thaw(self) -> None:
        """The process goes on with what is queued."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        while self._inbox and self.state is ProcessState.RUNNING:
            self._inbox.popleft()()

    def post(self, incarnation: int, action: Callable[[], None]) -> None:
        """Have something done by a life of this process, now or once it is thawed; dropped after its end."""
        if incarnation != self.incarnation or not self.is_up:
            return
        if self.state is ProcessState.FROZEN:
            self._inbox.append(action)
        else:
            action()

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Have something done by this life later."""
        incarnation = self.incarnation
        self.clock.after(delay_ms, lambda: self.post(incarnation, action))
