"""A model server on a simulated clock, with continuous batching and chunked prefill.

Each step generates one token for every decoding sequence and prefills at most one chunk of prompt tokens:
first prompts already in prefill, in order of admission, then waiting ones, most urgent first. The host
calls `advance` once the clock has passed `next_ms`, and forwards the events that it returns.
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
    """Capacity and speed of one model server. `queue`: requests that may wait outside the batch."""

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
    """Result of submitting a request."""

    ACCEPTED = "taken"
    FULL = "full"


class EngineRequest(msgspec.Struct, frozen=True):
    """A request that generates `output_tokens` tokens. `priority` 0 is the highest."""

    key: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    priority: int = 5


class EngineEvent(msgspec.Struct, frozen=True):
    """One event of a response stream; `index` starts at 0."""

    at_ms: float
    key: str
    index: int
    last: bool


class PartPrefilled(msgspec.Struct, frozen=True):
    """A prompt part was prefilled completely for a request. `shared`: not the last part of its prompt."""

    at_ms: float
    key: str
    part: PromptPart
    shared: bool


class SequenceState(Enum):
    """Phase of a sequence."""

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
        # Pinned cached parts and their tokens, its own blocks, and the tokens prefilled into those.
        self.held_parts = 0
        self.held_tokens = 0
        self.blocks = 0
        self.prefilled = 0

    @property
    def scheduling_key(self) -> tuple[int, int]:
        """Sort key: the most urgent first, then the oldest."""
        return self.request.priority, self.order

    @property
    def tokens_to_prefill(self) -> int:
        """Tokens to prefill before the next one is generated; after a preemption, generated tokens too."""
        return self.prompt_tokens - self.held_tokens + self.generated - self.prefilled

    @property
    def context_tokens(self) -> int:
        """Number of tokens that the next token attends to."""
        if self.state is SequenceState.DECODE:
            return self.prompt_tokens + self.generated
        return self.held_tokens + self.prefilled


class Engine:
    """One model server."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.memory = EngineMemory(settings.kv_tokens, settings.block_tokens)
        self.next_ms = math.inf
        self.prefilled_parts: list[PartPrefilled] = []
        self.preemptions = 0
        self._submitted = 0
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._sequences: dict[str, Sequence] = {}
        self._chunks: list[tuple[Sequence, int]] = []
        self._in_step = False

    @property
    def waiting(self) -> int:
        """Number of requests waiting for admission to the batch."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests in the batch."""
        return len(self._running)

    def tokens_ahead(self, priority: int) -> int:
        """Prompt tokens that would be prefilled before those of a request of this priority submitted now."""
        return sum(
            sequence.tokens_to_prefill
            for sequence in (*self._running, *self._waiting)
            if sequence.state is SequenceState.PREFILL
            or (sequence.state is SequenceState.WAITING and sequence.request.priority <= priority)
        )

    def submit(self, now_ms: float, request: EngineRequest) -> Admission:
        """Queue a request, or reject it where the queue is full or it exceeds the memory."""
        tokens = sum(part.tokens for part in request.parts) + request.output_tokens
        if self.memory.blocks_for(tokens) > self.memory.total_blocks:
            return Admission.FULL
        if len(self._sequences) >= self.settings.slots + self.settings.queue:
            return Admission.FULL
        sequence = Sequence(
            request, self._submitted, now_ms + self.settings.first_ms * self.settings.slowness
        )
        self._submitted += 1
        self._sequences[request.key] = sequence
        self._waiting.append(sequence)
        if not self._in_step:
            self._begin_step(now_ms)
        return Admission.ACCEPTED

    def cancel(self, key: str) -> None:
        """Drop a request whose caller disconnected."""
        sequence = self._sequences.pop(key, None)
        if sequence is None:
            return
        if sequence.state is SequenceState.WAITING:
            self._waiting.remove(sequence)
        else:
            self._release(sequence)
        self._chunks = [chunk for chunk in self._chunks if chunk[0] is not sequence]

    def advance(self, now_ms: float) -> list[EngineEvent]:
        """Run all steps due by `now_ms` and return their events."""
        events: list[EngineEvent] = []
        while self.next_ms <= now_ms:
            at_ms = self.next_ms
            if self._in_step:
                events.extend(self._end_step(at_ms))
            self._begin_step(at_ms)
        return events

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
        budget = self.settings.chunk_tokens
        chunks = []
        for sequence in self._running:
            if sequence.state is SequenceState.PREFILL and budget > 0:
                tokens = min(budget, sequence.tokens_to_prefill)
                chunks.append((sequence, tokens))
                budget -= tokens
        return chunks

    def _step_ms(self) -> float:
        settings = self.settings
        context_tokens = sum(sequence.context_tokens for sequence in self._running)
        duration_ms = settings.step_ms + settings.step_ms_per_sequence * len(self._running)
        duration_ms += settings.context_ms_per_k * context_tokens / THOUSAND
        for sequence, tokens in self._chunks:
            pairs = tokens * (sequence.context_tokens + tokens / 2)
            duration_ms += tokens / settings.prefill_tokens_per_ms
            duration_ms += settings.pairs_ms_per_million * pairs / MILLION
        return duration_ms * settings.slowness

    def _end_step(self, at_ms: float) -> list[EngineEvent]:
        decoding = [sequence for sequence in self._running if sequence.state is SequenceState.DECODE]
        for sequence, tokens in self._chunks:
            sequence.prefilled += tokens
            self._cache_completed_parts(at_ms, sequence)
            if sequence.tokens_to_prefill <= 0:
                sequence.state = SequenceState.DECODE
                sequence.prefilled = 0
                decoding.append(sequence)
        self._chunks = []
        events = []
        for sequence in sorted(decoding, key=lambda sequence: sequence.scheduling_key):
            if sequence.state is SequenceState.DECODE and self._allocate_next_token(sequence):
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

    def _admit(self, at_ms: float) -> None:
        budget = self.settings.chunk_tokens - sum(tokens for _, tokens in self._chunks)
        ready = [sequence for sequence in self._waiting if sequence.ready_ms <= at_ms]
        for sequence in sorted(ready, key=lambda sequence: sequence.scheduling_key):
            if budget <= 0 or not self._admit_with_preemption(sequence):
                return
            self._waiting.remove(sequence)
            self._running.append(sequence)
            tokens = min(budget, sequence.tokens_to_prefill)
            self._chunks.append((sequence, tokens))
            budget -= tokens

    def _admit_with_preemption(self, sequence: Sequence) -> bool:
        """Add a sequence to the batch, preempting less urgent ones for its slot and memory if needed."""
        while not self._try_admit(sequence):
            victim = self._preemption_victim()
            if victim is None or victim.request.priority <= sequence.request.priority:
                return False
            self._preempt(victim)
        return True

    def _try_admit(self, sequence: Sequence) -> bool:
        if len(self._running) >= self.settings.slots:
            return False
        parts = sequence.request.parts
        cached = self.memory.cached_prefix_length(parts)
        self.memory.pin(parts[:cached])
        tokens = sum(part.tokens for part in parts[cached:]) + sequence.generated + 1
        blocks = self.memory.blocks_for(tokens)
        if not self.memory.allocate(blocks):
            self.memory.unpin(parts[:cached])
            return False
        sequence.held_parts, sequence.blocks, sequence.prefilled = cached, blocks, 0
        sequence.held_tokens = sum(part.tokens for part in parts[:cached])
        sequence.state = SequenceState.PREFILL
        return True

    def _allocate_next_token(self, sequence: Sequence) -> bool:
        """Allocate memory for one more token; False if none is left or the sequence itself was preempted."""
        own_tokens = sequence.generated + 1
        while self.memory.blocks_for(own_tokens) > sequence.blocks:
            if self.memory.allocate(1):
                sequence.blocks += 1
                continue
            victim = self._preemption_victim()
            if victim is None:
                return False
            self._preempt(victim)
            if victim is sequence:
                return False
        return True

    def _preemption_victim(self) -> Sequence | None:
        return max(self._running, key=lambda sequence: sequence.scheduling_key, default=None)

    def _preempt(self, sequence: Sequence) -> None:
        self.preemptions += 1
        self._release(sequence)
        sequence.state = SequenceState.WAITING
        self._chunks = [chunk for chunk in self._chunks if chunk[0] is not sequence]
        self._waiting.append(sequence)

    def _release(self, sequence: Sequence) -> None:
        self._running.remove(sequence)
        self.memory.unpin(sequence.request.parts[: sequence.held_parts])
        self.memory.free(sequence.blocks)
        sequence.held_parts = sequence.held_tokens = sequence.blocks = sequence.prefilled = 0

    def _cache_completed_parts(self, at_ms: float, sequence: Sequence) -> None:
        """Move completely prefilled parts to the prefix cache, where other sequences can use them."""
        parts = sequence.request.parts
        while sequence.held_parts < len(parts):
            part = parts[sequence.held_parts]
            if sequence.prefilled < part.tokens:
                return
            blocks = min(self.memory.blocks_for(part.tokens), sequence.blocks)
            self.memory.add_to_cache(part, blocks)
            sequence.blocks -= blocks
            sequence.prefilled -= part.tokens
            sequence.held_tokens += part.tokens
            sequence.held_parts += 1
            shared = sequence.held_parts < len(parts)
            self.prefilled_parts.append(PartPrefilled(at_ms, sequence.request.key, part, shared))
