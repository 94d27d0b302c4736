"""The state of the whole system, and the choices that may follow it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from madderwind.replication.commands import Command
from tests.explore.choices import (
    Allowance,
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
    cost_of,
    describe,
)
from tests.explore.history import History, Transition, history_after, is_notable
from tests.explore.node import Node, Sent
from tests.explore.steps import Numbers, Step, Steps, Violation

# Clock advance when no write or message is pending; the interval of the host's timer.
IDLE_TICK_MS = 25.0


class World(msgspec.Struct, frozen=True):
    """The states of all machines, the messages in flight (without duplicates) and the history, by number."""

    nodes: tuple[int, ...]
    in_flight: tuple[int, ...]
    allowance: Allowance
    history: int


class Bounds(msgspec.Struct, frozen=True):
    """The events possible in a scenario. `durations_ms`: by how much a machine's clock may advance in one
    step; `crashable`, `wipeable`, `timed`, `stopping`: numbers of the machines that each event may affect."""

    allowance: Allowance
    durations_ms: tuple[float, ...] = (100.0, 650.0)
    crashable: tuple[int, ...] = ()
    wipeable: tuple[int, ...] = ()
    timed: tuple[int, ...] = ()
    stopping: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()  # removed permanently before the start: no events occur there


class Move(msgspec.Struct, frozen=True):
    """A step of one machine as the whole system sees it. `sent`: message numbers; `is_notable`: the step may
    change the history."""

    step: Step
    sent: tuple[int, ...]
    has_effect: bool
    is_notable: bool


class Rules:
    """The steps that a system can take, and the result of each."""

    def __init__(self, bounds: Bounds, commands: tuple[Command, ...], tolerance: int) -> None:
        self.bounds, self.tolerance = bounds, tolerance
        self._messages: Numbers[Sent] = Numbers()
        self.steps = Steps(commands, self._messages)
        self._command_count = len(commands)
        self._histories: Numbers[History] = Numbers()
        self._targets: dict[int, int] = {}
        self._moves: dict[tuple[int, Choice], Move] = {}
        self._choices: dict[tuple[int, int], tuple[Choice, ...]] = {}
        self._addresses: dict[str, int] = {}
        self._kinds: tuple[type, ...] | None = None  # of messages that are delivered; None: all

    def first(self, nodes: list[Node], in_flight: list[Sent], history: History) -> World:
        """The initial world of a scenario."""
        removed = self.bounds.removed
        self._addresses = {node.address: node.number for node in nodes if node.number not in removed}
        messages = tuple(sorted(set(self._numbers_of(in_flight))))
        states = tuple(self.steps.number(node) for node in nodes)
        return World(states, messages, self.bounds.allowance, self._histories.number(history))

    def history(self, world: World) -> History:
        """The history that led to this world."""
        return self._histories[world.history]

    def restricted(self, worlds: list[World], kinds: tuple[type, ...]) -> list[World]:
        """The worlds without messages of other kinds; from now on only these kinds are delivered."""
        self._kinds = kinds
        self._moves.clear()
        return [
            msgspec.structs.replace(world, in_flight=tuple(self._numbers_of(self.messages(world))))
            for world in worlds
        ]

    def messages(self, world: World) -> list[Sent]:
        """The messages in flight."""
        return [self._messages[number] for number in world.in_flight]

    def describe(self, choice: Choice) -> str:
        """A one-line description of a choice, with the message that it delivers."""
        text = describe(choice)
        if not isinstance(choice, Deliver):
            return text
        sent = self._messages[choice.message]
        return f"{text} from {sent.sender}: {sent.message}"

    def choices(self, world: World) -> Iterator[Choice]:
        """All choices possible in this world. A lost message is modelled as one that is never delivered."""
        allowance = world.allowance
        for message in world.in_flight:
            target = self._targets[message]
            yield from self._variants(allowance, world.nodes[target], Deliver(target, message))
        for node, state in enumerate(world.nodes):
            for choice in self._own_choices(node, state):
                if allowance.covers(choice):
                    yield from self._variants(allowance, state, choice)

    def after(self, world: World, choice: Choice) -> World | None:
        """The world after a choice; None if the choice has no effect. Raises Violation."""
        node = choice.node
        before = world.nodes[node]
        move = self._move(before, choice)
        if not move.has_effect:
            return None
        nodes = (*world.nodes[:node], move.step.state, *world.nodes[node + 1 :])
        history = self._history_after(world, choice, move.step, nodes) if move.is_notable else world.history
        in_flight = self._in_flight_after(world.in_flight, choice, move.sent)
        return World(nodes, in_flight, world.allowance.after(choice), history)

    def fault_free_path(self, world: World, max_steps: int) -> list[World]:
        """The worlds that a fault-free system passes through from here on, each with the full allowance."""
        worlds = [world]
        present = [node for node in range(len(world.nodes)) if node not in self.bounds.removed]
        ticks = 0
        for _ in range(max_steps):
            choice = self._fault_free_choice(world, present[ticks % len(present)])
            ticks += isinstance(choice, PassTime)
            following = self.after(world, choice) or self._without_message(world, choice)
            world = msgspec.structs.replace(following, allowance=self.bounds.allowance)
            worlds.append(world)
        return worlds

    def _fault_free_choice(self, world: World, ticking: int) -> Choice:
        """The next choice without faults: pending writes, then the oldest message, then a clock advance."""
        for node, state in enumerate(world.nodes):
            if node not in self.bounds.removed and self.steps.node(state).pending:
                return FinishWrite(node)
        for message in world.in_flight:
            return Deliver(self._targets[message], message)
        return PassTime(ticking, IDLE_TICK_MS)

    def _without_message(self, world: World, choice: Choice) -> World:
        """The world after delivery of a message that has no effect."""
        return msgspec.structs.replace(world, in_flight=self._in_flight_after(world.in_flight, choice, ()))

    def _variants(self, allowance: Allowance, state: int, choice: Choice) -> Iterator[Choice]:
        """A choice, and its variants with a message that stays in flight or with writes that stay pending."""
        yield choice
        if allowance.faults <= cost_of(choice).faults:
            return
        if isinstance(choice, Deliver):
            yield Deliver(choice.node, choice.message, stays=True)
        held = msgspec.structs.replace(choice, holds_writes=True)
        if self.steps.node(self._move(state, held).step.state).pending:
            yield held

    def _own_choices(self, node: int, state: int) -> tuple[Choice, ...]:
        """The choices at a machine other than deliveries, regardless of the allowance."""
        key = (node, state)
        choices = self._choices.get(key)
        if choices is None:
            choices = self._choices[key] = tuple(self._choices_at(node, state))
        return choices

    def _choices_at(self, node: int, state: int) -> Iterator[Choice]:
        bounds, pending = self.bounds, len(self.steps.node(state).pending)
        if node in bounds.removed:
            return
        if pending:
            yield FinishWrite(node)
        if pending and node in bounds.crashable:
            yield FailWrite(node)
        if node in bounds.timed:
            yield from (PassTime(node, duration_ms) for duration_ms in bounds.durations_ms)
        if node in bounds.crashable:
            yield from (LosePower(node, retained) for retained in range(pending + 1))
            yield Kill(node)
        if node in bounds.wipeable:
            yield Wipe(node)
        if node in bounds.stopping:
            yield Leave(node)
        if self.steps.observation(state).is_primary:
            yield from (Submit(node, command) for command in range(self._command_count))
            yield Read(node)

    def _move(self, state: int, choice: Choice) -> Move:
        if isinstance(choice, Deliver) and choice.stays:
            choice = Deliver(choice.node, choice.message, holds_writes=choice.holds_writes)
        key = (state, choice)
        move = self._moves.get(key)
        if move is None:
            move = self._moves[key] = self._new_move(state, choice)
        return move

    def _new_move(self, state: int, choice: Choice) -> Move:
        step = self.steps.step(state, choice)
        before, after = self.steps.observation(state), self.steps.observation(step.state)
        sent = tuple(self._numbers_of(step.sent))
        has_effect = step.state != state or bool(sent or step.fault or step.ended)
        return Move(step, sent, has_effect, is_notable(before, after, step))

    def _history_after(self, world: World, choice: Choice, step: Step, nodes: tuple[int, ...]) -> int:
        node = choice.node
        before, after = self.steps.observation(world.nodes[node]), self.steps.observation(step.state)
        now = tuple(self.steps.observation(state) for state in nodes)
        transition = Transition(node, before, after, now, step, self.tolerance)
        return self._histories.number(history_after(self.history(world), transition))

    def _in_flight_after(
        self, in_flight: tuple[int, ...], choice: Choice, sent: tuple[int, ...]
    ) -> tuple[int, ...]:
        if isinstance(choice, Deliver) and not choice.stays:
            in_flight = tuple([message for message in in_flight if message != choice.message])
        return tuple(sorted({*in_flight, *sent})) if sent else in_flight

    def _numbers_of(self, messages: Iterable[Sent]) -> Iterator[int]:
        """Numbers of the messages that can be delivered."""
        kinds = self._kinds
        for sent in messages:
            target = self._addresses.get(sent.receiver)
            if target is None or not (kinds is None or isinstance(sent.message, kinds)):
                continue
            number = self._messages.number(sent)
            self._targets[number] = target
            yield number


class BrokenRule(Violation):
    """A violation with the choices that lead to it, one per line."""

    def __init__(self, what: str, lines: list[str]) -> None:
        self.lines = lines
        numbered = "\n".join(f"  {number}. {line}" for number, line in enumerate(lines, 1))
        super().__init__(f"{what}\nafter {len(lines)} choices:\n{numbered}")
