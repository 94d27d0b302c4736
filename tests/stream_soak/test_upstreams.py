"""The breaks of the soak's upstreams."""

from __future__ import annotations

from madderwind.testing.fault_tests.wire import chunk
from tests.stream_soak.runs import Run, stream_frames
from tests.stream_soak.upstreams import LAST_CHUNK, _ended_in_order


def test_a_stream_that_ends_in_order_ends_within_an_event() -> None:
    # Guards against an early end between two events, which nothing on the wire tells from a whole stream.
    run = Run(1, "r-1", "i-1", 0, 3, tokens=1)
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    [frame, _] = stream_frames(run, events_per_chunk=3)
    for before in (b"", head):
        for size in range(len(before) + len(frame)):
            ended = _ended_in_order(before + frame, size)
            parts = [part for n in range(1, len(run.body())) if (part := run.body()[:n])[-2:] != b"\n\n"]
            assert ended in {before + chunk(part) + LAST_CHUNK for part in parts}
