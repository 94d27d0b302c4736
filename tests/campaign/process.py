"""Base class of the fleet's processes, which can be frozen, killed and restarted."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from tests.fleet.clock import Clock


class ProcessState(Enum):
    """In `ENDED` the machine refuses connections; in `NO_POWER` it does not respond at all."""

    NO_POWER = "no power"
    ENDED = "ended"
    RUNNING = "running"
    FROZEN = "frozen"


class Process:
    """One address of the fleet. Actions are posted to one incarnation and queue while it is frozen."""

    def __init__(self, address: str, clock: Clock) -> None:
        self.address, self.clock = address, clock
        self.incarnation = 0
        self.state = ProcessState.ENDED
        self.incarnation_ended_ms = -1e9
        self.end_hooks: dict[
            int, Callable[[], None]
        ] = {}  # by id of the object to notify when this incarnation ends
        self._inbox: deque[Callable[[], None]] = deque()

    @property
    def is_up(self) -> bool:
        """Whether the process is running or frozen."""
        return self.state in (ProcessState.RUNNING, ProcessState.FROZEN)

    @property
    def is_running(self) -> bool:
        """Whether the process is running and not frozen."""
        return self.state is ProcessState.RUNNING

    def begin_incarnation(self) -> None:
        """Start a new incarnation of the process."""
        self.incarnation += 1
        self._inbox.clear()
        self.state = ProcessState.RUNNING

    def end_incarnation(self, has_power: bool) -> None:
        """End the process and call the end hooks."""
        self.incarnation += 1
        self.incarnation_ended_ms = self.clock.now_ms
        self._inbox.clear()
        self.state = ProcessState.ENDED if has_power else ProcessState.NO_POWER
        hooks, self.end_hooks = list(self.end_hooks.values()), {}
        for hook in hooks:
            hook()

    def freeze(self) -> None:
        """Suspend the process; actions posted to it are queued."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN

    def thaw(self) -> None:
        """Resume the process and run the queued actions."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        while self._inbox and self.state is ProcessState.RUNNING:
            self._inbox.popleft()()

    def post(self, incarnation: int, action: Callable[[], None]) -> None:
        """Run an action in an incarnation, now or once it is thawed; dropped if the incarnation has ended."""
        if incarnation != self.incarnation or not self.is_up:
            return
        if self.state is ProcessState.FROZEN:
            self._inbox.append(action)
        else:
            action()

    def later(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Run an action in the current incarnation after a delay."""
        incarnation = self.incarnation
        self.clock.after(delay_ms, lambda: self.post(incarnation, action))
