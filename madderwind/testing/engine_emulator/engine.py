"""A model server on a simulated clock: a batch of sequences, prompts prefilled in chunks between tokens.

Each step makes one token for every sequence that decodes, and prefills at most one chunk of prompts: those
already begun first, in the order of their admission, then the most urgent that wait. The host calls `advance`
once the clock has passed `next_ms`, and passes on the events that come back.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec

from madderwind.placement.prompts import PromptPart
from madderwind.testing.engine_emulator.memory import EngineMemory

MILLION = 1_000_000.0
THOUSAND = 1_000.0


class EngineSettings(msgspec.Struct, frozen=True):
    """One model server's size and speed. `queue` is how many may wait beyond the batch."""

    slots: int = 64
    queue: int = 192
    kv_tokens: int = 500_000
    block_tokens: int = 16
    stride: int = 1
    chunk_tokens: int = 1024
    step_ms: float = 5.0
    step_ms_per_sequence: float = 0.15
    context_ms_per_k: float = 0.003
    prefill_tokens_per_ms: float = 60.0
    pairs_ms_per_million: float = 0.4
    first_ms: float = 90.0
    slowness: float = 1.0


class Admission(Enum):
    """What became of a request on arrival."""

    TAKEN = "taken"
    FULL = "full"


class EngineRequest(msgspec.Struct, frozen=True):
    """A request to a model server. `output_tokens` is what it will generate; `priority` 0 is foremost."""

    key: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    priority: int = 5


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of an answer, `index` counted from 0."""

    at_ms: float
    key: str
    index: int
    last: bool


class PartRead(msgspec.Struct, frozen=True):
    """A prompt part was prefilled whole for a request. `shared`: it is not the last of its prompt."""

    at_ms: float
    key: str
    part: PromptPart
    shared: bool


class SequenceState(Enum):
    """Where a sequence stands."""

    WAITING = "waiting"
    PREFILL = "prefill"
    DECODE = "decode"


class Sequence:
    """A request in the queue or in the batch."""

    __slots__ = (
        "blocks",
        "events",
        "generated",
        "held_parts",
        "held_tokens",
        "order",
        "prefilled",
        "prompt_tokens",
        "ready_ms",
        "request",
        "state",
    )

    def __init__(self, request: EngineRequest, order: int, ready_ms: float) -> None:
        self.request = request
        self.order = order
        self.ready_ms = ready_ms
        self.prompt_tokens = sum(part.tokens for part in request.parts)
        self.state = SequenceState.WAITING
        self.generated = 0
        self.events = 0
        # The parts in memory that it uses, its own blocks, and the tokens prefilled into those.
        self.held_parts = 0
        self.held_tokens = 0
        self.blocks = 0
        self.prefilled = 0

    @property
    def urgency(self) -> tuple[int, int]:
        """Sorts the most urgent and oldest first."""
        return self.request.priority, self.order

    @property
    def to_prefill(self) -> int:
        """Tokens to be prefilled before the next token; after a preemption, the generated ones too."""
        return self.prompt_tokens - self.held_tokens + self.generated - self.prefilled

    @property
    def context(self) -> int:
        """Tokens that the next one attends to."""
        if self.state is SequenceState.DECODE:
            return self.prompt_tokens + self.generated
        return self.held_tokens + self.prefilled


class Engine:
    """One model server."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.memory = EngineMemory(settings.kv_tokens, settings.block_tokens)
        self.next_ms = math.inf
        self.reads: list[PartRead] = []
        self.preemptions = 0
        self._orders = 0
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._sequences: dict[str, Sequence] = {}
        self._chunks: list[tuple[Sequence, int]] = []
        self._in_step = False

    @property
    def waiting(self) -> int:
        """Requests that wait for a place."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    def tokens_ahead(self, priority: int) -> int:
        """Prompt tokens that are prefilled before those of a request of this priority that came now."""
        return sum(
            sequence.to_prefill
            for sequence in (*self._running, *self._waiting)
            if sequence.state is SequenceState.PREFILL
            or (sequence.state is SequenceState.WAITING and sequence.request.priority <= priority)
        )

    def submit(self, now_ms: float, request: EngineRequest) -> Admission:
        """A request arrives."""
        tokens = sum(part.tokens for part in request.parts) + request.output_tokens
        if self.memory.blocks_of(tokens) > self.memory.total_blocks:
            return Admission.FULL
        if len(self._sequences) >= self.settings.slots + self.settings.queue:
            return Admission.FULL
        sequence = Sequence(request, self._orders, now_ms + self.settings.first_ms * self.settings.slowness)
        self._orders += 1
        self._sequences[request.key] = sequence
        self._waiting.append(sequence)
        if not self._in_step:
            self._begin_step(now_ms)
        return Admission.TAKEN

    def cancel(self, key: str) -> None:
        """The caller has left: the request is dropped."""
        sequence = self._sequences.pop(key, None)
        if sequence is None:
            return
        if sequence.state is SequenceState.WAITING:
            self._waiting.remove(sequence)
        else:
            self._release(sequence)
        self._chunks = [chunk for chunk in self._chunks if chunk[0] is not sequence]

    def advance(self, now_ms: float) -> list[EngineEvent]:
        """Carry out all that is due by now."""
        events: list[EngineEvent] = []
        while self.next_ms <= now_ms:
            at_ms = self.next_ms
            if self._in_step:
                events.extend(self._end_step(at_ms))
            self._begin_step(at_ms)
        return events

    # --- a step ---

    def _begin_step(self, at_ms: float) -> None:
        self._chunks = self._continue_prefills()
        self._admit(at_ms)
        if not self._running:
            self._in_step = False
            self.next_ms = min((sequence.ready_ms for sequence in self._waiting), default=math.inf)
            return
        self._in_step = True
        self.next_ms = at_ms + self._step_ms()

    def _continue_prefills(self) -> list[tuple[Sequence, int]]:
        left = self.settings.chunk_tokens
        chunks = []
        for sequence in self._running:
            if sequence.state is SequenceState.PREFILL and left > 0:
                tokens = min(left, sequence.to_prefill)
                chunks.append((sequence, tokens))
                left -= tokens
        return chunks

    def _step_ms(self) -> float:
        settings = self.settings
        context = sum(sequence.context for sequence in self._running)
        took_ms = settings.step_ms + settings.step_ms_per_sequence * len(self._running)
        took_ms += settings.context_ms_per_k * context / THOUSAND
        for sequence, tokens in self._chunks:
            pairs = tokens * (sequence.context + tokens / 2)
            took_ms += tokens / settings.prefill_tokens_per_ms
            took_ms += settings.pairs_ms_per_million * pairs / MILLION
        return took_ms * settings.slowness

    def _end_step(self, at_ms: float) -> list[EngineEvent]:
        decoding = [sequence for sequence in self._running if sequence.state is SequenceState.DECODE]
        for sequence, tokens in self._chunks:
            sequence.prefilled += tokens
            self._keep_whole_parts(at_ms, sequence)
            if sequence.to_prefill <= 0:
                sequence.state = SequenceState.DECODE
                sequence.prefilled = 0
                decoding.append(sequence)
        self._chunks = []
        events = []
        for sequence in sorted(decoding, key=lambda sequence: sequence.urgency):
            if sequence.state is SequenceState.DECODE and self._grow(sequence):
                events.extend(self._generate(at_ms, sequence))
        return events

    def _generate(self, at_ms: float, sequence: Sequence) -> list[EngineEvent]:
        sequence.generated += 1
        last = sequence.generated >= sequence.request.output_tokens
        if not last and sequence.generated % self.settings.stride:
            return []
        event = EngineEvent(at_ms, sequence.request.key, sequence.events, last)
        sequence.events += 1
        if last:
            self._sequences.pop(sequence.request.key)
            self._release(sequence)
        return [event]

    # --- memory ---

    def _admit(self, at_ms: float) -> None:
        left = self.settings.chunk_tokens - sum(tokens for _, tokens in self._chunks)
        ready = [sequence for sequence in self._waiting if sequence.ready_ms <= at_ms]
        for sequence in sorted(ready, key=lambda sequence: sequence.urgency):
            if left <= 0 or not self._make_place(sequence):
                return
            self._waiting.remove(sequence)
            self._running.append(sequence)
            tokens = min(left, sequence.to_prefill)
            self._chunks.append((sequence, tokens))
            left -= tokens

    def _make_place(self, sequence: Sequence) -> bool:
        """Take a place in the batch and memory for the prompt; less urgent ones give way for it."""
        while not self._take_place(sequence):
            victim = self._newest_least_urgent()
            if victim is None or victim.request.priority <= sequence.request.priority:
                return False
            self._preempt(victim)
        return True

    def _take_place(self, sequence: Sequence) -> bool:
        if len(self._running) >= self.settings.slots:
            return False
        parts = sequence.request.parts
        held = self.memory.kept_chain(parts)
        self.memory.use(parts[:held])
        tokens = sum(part.tokens for part in parts[held:]) + sequence.generated + 1
        blocks = self.memory.blocks_of(tokens)
        if not self.memory.take(blocks):
            self.memory.release(parts[:held])
            return False
        sequence.held_parts, sequence.blocks, sequence.prefilled = held, blocks, 0
        sequence.held_tokens = sum(part.tokens for part in parts[:held])
        sequence.state = SequenceState.PREFILL
        return True

    def _grow(self, sequence: Sequence) -> bool:
        """Memory for one more token; False where the sequence itself had to give way."""
        own_tokens = sequence.generated + 1
        while self.memory.blocks_of(own_tokens) > sequence.blocks:
            if self.memory.take(1):
                sequence.blocks += 1
                continue
            victim = self._newest_least_urgent()
            if victim is None:
                return False
            self._preempt(victim)
            if victim is sequence:
                return False
        return True

    def _newest_least_urgent(self) -> Sequence | None:
        return max(self._running, key=lambda sequence: sequence.urgency, default=None)

    def _preempt(self, sequence: Sequence) -> None:
        self.preemptions += 1
        self._release(sequence)
        sequence.state = SequenceState.WAITING
        self._chunks = [chunk for chunk in self._chunks if chunk[0] is not sequence]
        self._waiting.append(sequence)

    def _release(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        self.memory.release(sequence.request.parts[: sequence.held_parts])
        self.memory.refund(sequence.blocks)
        sequence.held_parts = sequence.held_tokens = sequence.blocks = sequence.prefilled = 0

    def _keep_whole_parts(self, at_ms: float, sequence: Sequence) -> None:
        """Parts that are prefilled to their end are kept for others from now on."""
        parts = sequence.request.parts
        while sequence.held_parts < len(parts):
            part = parts[sequence.held_parts]
            if sequence.prefilled < part.tokens:
                return
            blocks = min(self.memory.blocks_of(part.tokens), sequence.blocks)
            self.memory.keep(part, blocks)
            sequence.blocks -= blocks
            sequence.prefilled -= part.tokens
            sequence.held_tokens += part.tokens
            sequence.held_parts += 1
            shared = sequence.held_parts < len(parts)
            self.reads.append(PartRead(at_ms, sequence.request.key, part, shared))
