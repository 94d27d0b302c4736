"""What is known of a generation before it runs: the parts of its prompt, its size, its objective."""

from __future__ import annotations

import msgspec

from madderwind.errors import MessageError

MAX_PREFIX_BYTES = 8192
MAX_PARTS = 64
MAX_PART_ID_LENGTH = 128
MAX_TOKENS = 1 << 40


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt: equal ids are equal text. `tokens` is its length."""

    id: str
    tokens: int


class Generation(msgspec.Struct, frozen=True):
    """One request to a model server.

    `prompt_tokens` counts the whole prompt, `output_tokens` the most that is generated. `priority` 0 is
    foremost. `aim_ms` is the objective to the first event, `deadline_ms` the end of the client's time on the
    clock of `now_ms`.
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
        """The parts that other requests may have too: all but the last."""
        return self.parts[:-1]


def parse_prefix(text: str) -> tuple[PromptPart, ...]:
    """The parts of an `X-Prompt-Prefix` header (`ID:TOKENS,ID:TOKENS`); MessageError where it is none."""
    if not text:
        return ()
    if len(text) > MAX_PREFIX_BYTES:
        raise MessageError(f"{len(text)} bytes are more than a list of prompt parts may hold")
    items = text.split(",")
    if len(items) > MAX_PARTS:
        raise MessageError(f"{len(items)} prompt parts are more than a request may have")
    return tuple(_parse_part(item) for item in items)


def _parse_part(item: str) -> PromptPart:
    part_id, separator, count = item.strip().partition(":")
    if not separator or not part_id or len(part_id) > MAX_PART_ID_LENGTH:
        raise MessageError("a prompt part is not ID:TOKENS")
    if not (count.isascii() and count.isdigit()) or len(count) > len(str(MAX_TOKENS)):
        raise MessageError("a prompt part's length is not a number")
    return PromptPart(part_id, int(count))
