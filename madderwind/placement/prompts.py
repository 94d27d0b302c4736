"""Properties of a generation that are known before it runs: prompt parts, size and objective."""

from __future__ import annotations

import msgspec

from madderwind.errors import MessageError

MAX_PREFIX_BYTES = 8192
MAX_PARTS = 64
MAX_PART_ID_LENGTH = 128
MAX_TOKENS = 1 << 40


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt. Parts with equal ids have equal text; `tokens` is the length."""

    id: str
    tokens: int


class Generation(msgspec.Struct, frozen=True):
    """One request to a model server.

    `prompt_tokens` is the length of the whole prompt, `output_tokens` the maximum number of generated tokens.
    `priority` 0 is the highest. `aim_ms` is the objective for the time to the first event, `deadline_ms` the
    client's deadline on the clock of `now_ms`.
    """

    service: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int
    aim_ms: float
    deadline_ms: float

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.parts[:-1]


def parse_prefix(text: str) -> tuple[PromptPart, ...]:
    """Parse an `X-Prompt-Prefix` header (`ID:TOKENS,ID:TOKENS`); MessageError if it is malformed."""
    if not text:
        return ()
    if len(text) > MAX_PREFIX_BYTES:
        raise MessageError(f"prompt prefix has {len(text)} bytes, more than {MAX_PREFIX_BYTES}")
    items = text.split(",")
    if len(items) > MAX_PARTS:
        raise MessageError(f"prompt prefix has {len(items)} parts, more than {MAX_PARTS}")
    return tuple(_parse_part(item) for item in items)


def _parse_part(item: str) -> PromptPart:
    part_id, separator, count = item.strip().partition(":")
    if not separator or not part_id or len(part_id) > MAX_PART_ID_LENGTH:
        raise MessageError("a prompt part is not ID:TOKENS")
    if not (count.isascii() and count.isdigit()) or len(count) > len(str(MAX_TOKENS)):
        raise MessageError("a prompt part's length is not a number")
    return PromptPart(part_id, int(count))
