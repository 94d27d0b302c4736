"""Steps of single machines, each carried out only once: the result depends only on the machine's state and
the choice."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

import msgspec

from madderwind.replication.commands import Command
from tests.explore.choices import (
    Choice,
    Deliver,
    FailWrite,
    FinishWrite,
    Kill,
    Leave,
    LosePower,
    PassTime,
    Read,
    Submit,
    Wipe,
)
from tests.explore.graph import clone, digest
from tests.explore.node import Ended, Node, Observation, Output, Sent, Vote

Value = TypeVar("Value", bound=Hashable)


class Violation(AssertionError):
    """A violated invariant of the system."""


class Step(msgspec.Struct, frozen=True):
    """The result of a choice at one machine: its next state and its output. `token` belongs to the command or
    read that was received."""

    state: int
    sent: tuple[Sent, ...]
    ended: tuple[Ended, ...]
    proven_reads: tuple[int, ...]
    votes: tuple[Vote, ...] = ()
    early: tuple[Sent, ...] = ()
    token: int = 0
    fault: str = ""  # what the replica raised, or did to its disk


class Numbers(Generic[Value]):
    """Assigns consecutive numbers to distinct values, starting at 0."""

    def __init__(self) -> None:
        self._numbers: dict[Value, int] = {}
        self._values: list[Value] = []

    def number(self, value: Value) -> int:
        """The number of a value."""
        number = self._numbers.setdefault(value, len(self._values))
        if number == len(self._values):
            self._values.append(value)
        return number

    def __getitem__(self, number: int) -> Value:
        return self._values[number]


class Steps:
    """The states of single machines by number, and the steps between them."""

    def __init__(self, commands: tuple[Command, ...], messages: Numbers[Sent]) -> None:
        self._commands, self._messages = commands, messages
        self._nodes: list[Node] = []
        self._observations: list[Observation | None] = []
        self._numbers: dict[Hashable, int] = {}
        self._steps: dict[tuple[int, Choice], Step] = {}

    @property
    def state_count(self) -> int:
        """The number of distinct machine states."""
        return len(self._nodes)

    @property
    def step_count(self) -> int:
        """The number of steps that real replicas carried out."""
        return len(self._steps)

    def number(self, node: Node) -> int:
        """The number of a machine's state."""
        key = digest(node)
        number = self._numbers.setdefault(key, len(self._nodes))
        if number == len(self._nodes):
            self._nodes.append(node)
            self._observations.append(None)
        return number

    def node(self, state: int) -> Node:
        """A machine in the given state; callers must not modify it."""
        return self._nodes[state]

    def observation(self, state: int) -> Observation:
        """The observation of the given state, for the checks."""
        observation = self._observations[state]
        if observation is None:
            observation = self._observations[state] = self._nodes[state].observe()
        return observation

    def step(self, state: int, choice: Choice) -> Step:
        """The result of a choice at a machine in the given state."""
        key = (state, choice)
        step = self._steps.get(key)
        if step is None:
            step = self._steps[key] = self._execute(state, choice)
        return step

    def _execute(self, state: int, choice: Choice) -> Step:
        node, output = clone(self._nodes[state]), Output()
        try:
            self._apply(node, choice, output)
            while node.pending and not choice.holds_writes:
                node.finish_write(output)
        except Exception as error:
            return Step(state, (), (), (), fault=f"{type(error).__name__}: {error}")
        return Step(
            self.number(node),
            tuple(_newest(output.sent)),
            tuple(output.ended),
            tuple(output.proven_reads),
            tuple(output.votes),
            tuple(output.early),
            output.token,
            output.fault,
        )

    def _apply(self, node: Node, choice: Choice, output: Output) -> None:
        match choice:
            case Deliver(_, message):
                node.receive(self._messages[message], output)
            case FinishWrite():
                node.finish_write(output)
            case FailWrite():
                node.fail_write(output)
            case PassTime(_, duration_ms):
                node.pass_time(duration_ms, output)
            case LosePower(_, retained_writes):
                node.lose_power(retained_writes, output)
            case Kill():
                node.kill(output)
            case Wipe():
                node.wipe(output)
            case Submit(_, command):
                node.submit(self._commands[command], output)
            case Read():
                node.read(output)
            case Leave():
                node.leave(output)


def _newest(sent: list[Sent]) -> list[Sent]:
    """The newest message of each type to each machine in one step: the others count as lost in transit."""
    newest = {(message.receiver, type(message.message)): message for message in sent}
    return list(newest.values())
