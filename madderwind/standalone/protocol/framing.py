"""Splits discovery's stream into lists, whatever their formatting and however the bytes are chunked."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Literal

from madderwind.standalone.protocol.listing import Listing, ListingError, read_listing

# A list of thousands of upstreams is one value; this bounds the memory that a broken agent can use up.
MAX_VALUE_BYTES = 8 * 1024 * 1024
# A string that is longer without an end is invalid; so is a value that nests deeper, as no list does, or that
# contains more starts of values without an end. Each of these would be scanned again with every chunk.
MAX_STRING_BYTES, MAX_DEPTH, MAX_OPEN_VALUES = 64 * 1024, 16, 8

WHITESPACE = b" \t\r\n"
# A string or a bracket; a single quotation mark is a string that has not ended.
_json_token = re.compile(rb'"(?:[^"\\\r\n]|\\[^\r\n])*"|[{}\[\]"]')
QUOTE, OPENING_BRACKETS = ord('"'), b"{["

Alive = Literal["alive"]
ALIVE: Alive = "alive"  # an empty line between lists: discovery is alive and has no changes


class _Scan:
    """How far the value that begins at `begin` has been scanned."""

    __slots__ = ("at", "begin", "depth")

    def __init__(self, begin: int) -> None:
        self.begin = self.at = begin
        self.depth = 0

    def end(self, buffer: bytes) -> int | None:
        """The offset of its end; None: not yet received; -1: the value is invalid."""
        for token in _json_token.finditer(buffer, self.at):
            at, first_byte = token.start(), buffer[token.start()]
            if first_byte == QUOTE:
                if token.end() - at == 1:  # incomplete: it may still end within its line
                    is_invalid = buffer.find(b"\n", at) >= 0 or len(buffer) - at > MAX_STRING_BYTES
                    self.at = at
                    return -1 if is_invalid else None
            elif first_byte in OPENING_BRACKETS:
                self.depth += 1
                if self.depth > MAX_DEPTH:
                    return -1
            else:
                self.depth -= 1
                if not self.depth:
                    return token.end()
            self.at = token.end()
        self.at = len(buffer)
        return None


class ListFraming:
    """Receives the bytes of a subscription and returns the complete lists.

    An indented list is one list, not many invalid lines. A truncated or corrupted list doesn't swallow the
    next one: each list begins a line, so a complete list that begins a line within an incomplete value shows
    that this value will never be complete.
    """

    def __init__(self) -> None:
        self._reset(b"")
        self._skipping_line = False  # the rest of the line belongs to an invalid value or to the last list
        self._reported_error = False

    def _reset(self, buffer: bytes) -> None:
        self._buffer, self._first_scan = buffer, _Scan(0)
        self._later_scans: list[_Scan] = []  # incomplete values that begin a line within the first
        self._searched_to = 1  # the end of the search for such lines
        self._tried_first_line = False

    def feed(self, chunk: bytes) -> Iterator[Listing | ListingError | Alive]:
        """Yield the complete lists in order, and ALIVE for empty lines between them.

        One ListingError is yielded for each run of skipped bytes.
        """
        self._buffer += chunk
        while True:
            if self._skipping_line and not self._skip_line():
                return
            rest = self._buffer.lstrip(WHITESPACE)
            if b"\n" in self._buffer[: len(self._buffer) - len(rest)]:
                yield ALIVE
            self._drop_whitespace(rest)
            if not rest:
                return
            if not rest.startswith(b"{"):
                self._skipping_line = True
                yield from self._report_error(rest, "not a JSON object")
                continue
            outcome = self._parse_next()
            if outcome is None:
                if len(self._buffer) > MAX_VALUE_BYTES:
                    self._skipping_line = True
                    yield from self._report_error(self._buffer, "longer than a list may be")
                    continue
                return
            yield from outcome

    def _drop_whitespace(self, rest: bytes) -> None:
        if len(rest) < len(self._buffer):
            self._reset(rest)

    def _skip_line(self) -> bool:
        """Skip the rest of the line; whether its end has been received."""
        end = self._buffer.find(b"\n")
        self._reset(self._buffer[end + 1 :] if end >= 0 else b"")
        self._skipping_line = end < 0
        return end >= 0

    def _parse_next(self) -> Iterator[Listing | ListingError | Alive] | None:
        """The lists or errors of the current value; None if it is incomplete."""
        line_end = -1 if self._tried_first_line else self._buffer.find(b"\n")
        if line_end >= 0:  # a list is usually one line, so no scan is needed
            self._tried_first_line = True
            if isinstance(listing := _parse(self._buffer[:line_end]), Listing):
                return self._emit(listing, 0, line_end)
        end = self._first_scan.end(self._buffer)
        if end is not None and end >= 0:
            listing = _parse(self._buffer[:end])
            if isinstance(listing, Listing):
                return self._emit(listing, 0, end)
            return self._skip_invalid(str(listing))
        if end is not None:
            return self._skip_invalid("incomplete")
        return self._find_later_list()

    def _find_later_list(self) -> Iterator[Listing | ListingError | Alive] | None:
        """A complete list that begins a line within the current value."""
        scans, self._later_scans = self._later_scans, []
        while True:
            for scan in scans:
                end = scan.end(self._buffer)
                if end is None:
                    self._later_scans.append(scan)
                elif end >= 0 and isinstance(listing := _parse(self._buffer[scan.begin : end]), Listing):
                    return self._emit(listing, scan.begin, end)
            if len(self._later_scans) > MAX_OPEN_VALUES:
                return self._skip_invalid("incomplete")
            at = self._buffer.find(b"\n{", self._searched_to - 1)
            if at < 0:
                self._searched_to = max(self._searched_to, len(self._buffer))
                return None
            scans, self._searched_to = [_Scan(at + 1)], at + 2

    def _emit(self, listing: Listing, begin: int, end: int) -> Iterator[Listing | ListingError | Alive]:
        before, rest = self._buffer[:begin], self._buffer[end:]
        self._reset(rest)
        # The end of the list's own line is not an empty line.
        self._skipping_line = rest[: len(rest) - len(rest.lstrip(WHITESPACE))].find(b"\n") >= 0
        if before:
            yield from self._report_error(before, "incomplete")
        self._reported_error = False
        yield listing

    def _skip_invalid(self, reason: str) -> Iterator[Listing | ListingError | Alive]:
        """Skip the first line of the current value; the line after it may begin another value."""
        self._skipping_line = True
        yield from self._report_error(self._buffer, reason)

    def _report_error(self, raw: bytes, reason: str) -> Iterator[ListingError]:
        if not self._reported_error:  # once, so that one invalid value doesn't fill the log
            self._reported_error = True
            yield ListingError(f"{reason}: {raw[:120]!r}")


def _parse(raw: bytes) -> Listing | ListingError:
    try:
        return read_listing(raw)
    except ListingError as error:
        return error
