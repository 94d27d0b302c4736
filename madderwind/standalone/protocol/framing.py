"""Discovery's stream cut into lists, however they are laid out over lines and pieces."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Literal

from madderwind.standalone.protocol.listing import Listing, ListingError, read_listing

# A list of thousands of upstreams is one value; this bounds what a broken agent can make the program hold.
LONGEST_VALUE = 8 * 1024 * 1024
# A text without an end up to here is spoilt; so is what nests deeper than any list, and what holds more
# beginnings of values that never end. Each would be looked through again with every piece that comes.
LONGEST_TEXT, DEEPEST, MOST_BEGUN = 64 * 1024, 16, 8

BLANKS = b" \t\r\n"
# A text, or what opens and closes; a lone quote is a text that has not ended.
_token = re.compile(rb'"(?:[^"\\\r\n]|\\[^\r\n])*"|[{}\[\]"]')
QUOTE, OPENING = ord('"'), b"{["

Alive = Literal["alive"]
ALIVE: Alive = "alive"  # an empty line with nothing under way: discovery lives, and has nothing to tell


class _Scan:
    """How far the value that begins at `begin` has been looked through."""

    __slots__ = ("at", "begin", "depth")

    def __init__(self, begin: int) -> None:
        self.begin = self.at = begin
        self.depth = 0

    def end(self, held: bytes) -> int | None:
        """Where it ends; None: not yet; -1: it can't any more."""
        for found in _token.finditer(held, self.at):
            at, first = found.start(), held[found.start()]
            if first == QUOTE:
                if found.end() - at == 1:  # not ended: within its line it may be
                    broken = held.find(b"\n", at) >= 0 or len(held) - at > LONGEST_TEXT
                    self.at = at
                    return -1 if broken else None
            elif first in OPENING:
                self.depth += 1
                if self.depth > DEEPEST:
                    return -1
            else:
                self.depth -= 1
                if not self.depth:
                    return found.end()
            self.at = found.end()
        self.at = len(held)
        return None


class ListFraming:
    """Takes in the bytes of a watch as they come, and gives out what is whole.

    Guards against taking a list that comes indented for many odd lines, and against one that is cut short or
    spoilt taking the next along: each list begins a line, so a whole one that begins a line within a value
    that has not ended shows that this one never will.
    """

    def __init__(self) -> None:
        self._restart(b"")
        self._skips = False  # the rest of the present line belongs to what was spoilt, or has just ended
        self._said_odd = False

    def _restart(self, held: bytes) -> None:
        self._held, self._first = held, _Scan(0)
        self._later: list[_Scan] = []  # values that begin a line within the first, and have not ended
        self._looked = 1  # up to where such lines were looked for
        self._line_tried = False

    def feed(self, part: bytes) -> Iterator[Listing | ListingError | Alive]:
        """What is whole by now, in its order. ListingError: something was passed over, said once."""
        self._held += part
        while True:
            if self._skips and not self._skip_line():
                return
            rest = self._held.lstrip(BLANKS)
            if b"\n" in self._held[: len(self._held) - len(rest)]:
                yield ALIVE
            self._restart_after_blanks(rest)
            if not rest:
                return
            if not rest.startswith(b"{"):
                self._skips = True
                yield from self._odd(rest, "no object")
                continue
            outcome = self._next()
            if outcome is None:
                if len(self._held) > LONGEST_VALUE:
                    self._skips = True
                    yield from self._odd(self._held, "longer than any list")
                    continue
                return
            yield from outcome

    def _restart_after_blanks(self, rest: bytes) -> None:
        if len(rest) < len(self._held):
            self._restart(rest)

    def _skip_line(self) -> bool:
        """Whether the line's end has come."""
        end = self._held.find(b"\n")
        self._restart(self._held[end + 1 :] if end >= 0 else b"")
        self._skips = end < 0
        return end >= 0

    def _next(self) -> Iterator[Listing | ListingError | Alive] | None:
        """What the value under way has come to; None: it has not ended."""
        line_end = -1 if self._line_tried else self._held.find(b"\n")
        if line_end >= 0:  # the usual one is a line: nothing more need be looked through
            self._line_tried = True
            if isinstance(listing := _read(self._held[:line_end]), Listing):
                return self._taken(listing, 0, line_end)
        end = self._first.end(self._held)
        if end is not None and end >= 0:
            listing = _read(self._held[:end])
            if isinstance(listing, Listing):
                return self._taken(listing, 0, end)
            return self._spoilt(str(listing))
        if end is not None:
            return self._spoilt("not ended")
        return self._begun_later()

    def _begun_later(self) -> Iterator[Listing | ListingError | Alive] | None:
        """A whole list that begins a line within the value under way."""
        begun, self._later = self._later, []
        while True:
            for scan in begun:
                end = scan.end(self._held)
                if end is None:
                    self._later.append(scan)
                elif end >= 0 and isinstance(listing := _read(self._held[scan.begin : end]), Listing):
                    return self._taken(listing, scan.begin, end)
            if len(self._later) > MOST_BEGUN:
                return self._spoilt("not ended")
            at = self._held.find(b"\n{", self._looked - 1)
            if at < 0:
                self._looked = max(self._looked, len(self._held))
                return None
            begun, self._looked = [_Scan(at + 1)], at + 2

    def _taken(self, listing: Listing, begin: int, end: int) -> Iterator[Listing | ListingError | Alive]:
        before, rest = self._held[:begin], self._held[end:]
        self._restart(rest)
        self._skips = rest[: len(rest) - len(rest.lstrip(BLANKS))].find(b"\n") >= 0  # its own line's end
        if before:
            yield from self._odd(before, "not ended")
        self._said_odd = False
        yield listing

    def _spoilt(self, why: str) -> Iterator[Listing | ListingError | Alive]:
        """The value's first line is passed over; what follows it may begin another."""
        self._skips = True
        yield from self._odd(self._held, why)

    def _odd(self, raw: bytes, why: str) -> Iterator[ListingError]:
        if not self._said_odd:  # guards against a log full of the lines of one
            self._said_odd = True
            yield ListingError(f"{why}: {raw[:120]!r}")


def _read(raw: bytes) -> Listing | ListingError:
    try:
        return read_listing(raw)
    except ListingError as error:
        return error
