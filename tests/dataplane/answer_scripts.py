"""Random scripts of client requests and upstream replies: the input of the response fuzzer."""

from __future__ import annotations

from enum import Enum

import attrs
from hypothesis import strategies as st

EVENT_COUNT = 4
LONG_BODY_BYTES = 200_000
# The parts of a truncated reply that are sent: a tenth of a stream ends within its first event.
SENT_FRACTIONS = (0.0, 0.1, 0.3, 0.5, 0.9, 0.999)


class Owner(Enum):
    """Whose request ID a reply echoes."""

    OWN = "own"
    EARLIER = "earlier"  # of an earlier request at any upstream
    OTHER = "other"  # an ID that no request has
    NONE = "none"


class Framing(Enum):
    """How the end of a reply's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    TRAILERS = "chunked, with trailers"
    CLOSE = "close"


class Ending(Enum):
    """What an upstream does with the connection after a turn."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    SILENCE = "silence"


class Disconnect(Enum):
    """When a client disconnects."""

    NEVER = "never"
    IN_BODY = "in its body"
    AFTER_WRITING = "after writing"
    IN_ANSWER = "in the answer"


@attrs.frozen
class Reply:
    """One reply; `size` is the length of its body, unless that is a stream of events."""

    status: int = 200
    owner: Owner = Owner.OWN
    is_signed: bool = True
    is_refusal: bool = False
    framing: Framing = Framing.LENGTH
    size: int = 40
    is_encoded: bool = False
    closes: bool = False

    @property
    def states_not_executed(self) -> bool:
        """Whether the reply says that its request was not executed; a correct upstream then never runs it."""
        return self.owner in (Owner.OWN, Owner.NONE) and (self.is_refusal or self.status == 421)


@attrs.frozen
class Turn:
    """What an upstream does with one request.

    `before` is sent ahead of the reply; `trailing` follows it, with a delay if `is_late`. `sent_fraction`:
    the part of the reply that is sent. `write_size`: the bytes in each write.
    """

    reads_body_first: bool = True
    interim_count: int = 0
    before: Reply | bytes | None = None
    reply: Reply | None = Reply()
    sent_fraction: float = 1.0
    trailing: Reply | bytes | None = None
    is_late: bool = False
    write_size: int = 1 << 16
    ending: Ending = Ending.KEEP

    @property
    def runs(self) -> bool:
        """Whether the upstream runs the request."""
        return self.reply is None or not self.reply.states_not_executed

    @property
    def allows_trailing(self) -> bool:
        """Whether trailing bytes are distinguishable from the reply.

        They are not within the reply, nor where the connection's end delimits it.
        """
        if self.reply is None:
            return True
        return self.reply.framing is not Framing.CLOSE and self.sent_fraction == 1.0

    @property
    def must_succeed(self) -> bool:
        """Whether the client must get this turn's reply."""
        return self == Turn(
            reads_body_first=self.reads_body_first,
            interim_count=self.interim_count,
            reply=self.reply,
            write_size=self.write_size,
        ) and self.reply in (Reply(), Reply(framing=Framing.CHUNKED), Reply(closes=True))


class Route(Enum):
    """The routes of the fleet's configuration."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_stream(self) -> bool:
        """Whether responses are streams of events."""
        return self in (Route.STREAM, Route.RESUMABLE)

    @property
    def is_idempotent(self) -> bool:
        """Whether requests may run more than once."""
        return self in (Route.SAFE, Route.RESUMABLE)


@attrs.frozen
class RequestSpec:
    """One request of a client."""

    route: Route = Route.UNSAFE
    size: int = 10
    is_chunked: bool = False
    has_id: bool = True


@attrs.frozen
class ClientConnection:
    """One client connection; if `is_pipelined`, all requests are written before any response is read."""

    specs: tuple[RequestSpec, ...]
    is_pipelined: bool = False
    disconnect: Disconnect = Disconnect.NEVER
    write_size: int = 1 << 16


@attrs.frozen
class Script:
    """A whole run.

    Upstreams take the turns in the order in which requests arrive, and reply normally after the last one.
    """

    connections: tuple[ClientConnection, ...]
    turns: tuple[Turn, ...]


def _usually(value: object, *others: object) -> st.SearchStrategy[object]:
    return st.sampled_from([value, value, value, *others])


_own_replies = st.builds(
    Reply,
    status=_usually(200, 201, 404, 500),
    owner=_usually(Owner.OWN, Owner.EARLIER, Owner.OTHER, Owner.NONE),
    is_signed=_usually(True, False),
    framing=st.sampled_from(Framing),
    size=st.sampled_from([0, 40, 70_000]),
    is_encoded=_usually(False, False, True),
    closes=_usually(False, True),
)
_refusals = st.builds(
    Reply,
    status=st.sampled_from([503, 429, 421, 408]),
    owner=st.sampled_from([Owner.OWN, Owner.NONE]),
    is_signed=st.just(False),
    is_refusal=_usually(True, False),
    size=st.sampled_from([0, 40]),
)
_refusals_to_others = st.builds(
    Reply,
    status=st.sampled_from([503, 421]),
    owner=st.sampled_from([Owner.EARLIER, Owner.OTHER]),
    is_refusal=st.just(True),
)
_replies_to_others = st.builds(
    Reply,
    status=_usually(200, 500),
    owner=st.sampled_from([Owner.EARLIER, Owner.OTHER]),
    framing=st.sampled_from([Framing.LENGTH, Framing.CHUNKED]),
)
_garbage = st.sampled_from(
    [
        b"\r\n",
        b"0\r\n\r\n",
        b"nonsense",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n",
    ]
)
_any_turns = st.builds(
    Turn,
    reads_body_first=_usually(True, False),
    interim_count=_usually(0, 1, 2),
    before=st.none() | st.none() | _replies_to_others | _refusals_to_others | _garbage,
    reply=_own_replies | _own_replies | _refusals | st.none(),
    sent_fraction=_usually(1.0, *SENT_FRACTIONS),
    trailing=st.none() | _replies_to_others | _refusals_to_others | _garbage | st.just(Reply()),
    is_late=st.booleans(),
    write_size=st.sampled_from([1 << 16, 7, 50]),
    ending=st.sampled_from(Ending),
)
# Signed replies that are truncated.
_truncated_turns = st.builds(
    Turn,
    reply=st.builds(Reply, framing=st.sampled_from(Framing), size=st.sampled_from([40, 70_000])),
    sent_fraction=st.sampled_from(SENT_FRACTIONS),
    ending=st.sampled_from([Ending.CLOSE, Ending.RESET]),
)
_turns = _any_turns | _any_turns | _truncated_turns
_specs = st.builds(
    RequestSpec,
    route=st.sampled_from(Route),
    size=_usually(10, 0, LONG_BODY_BYTES),
    is_chunked=st.booleans(),
    has_id=_usually(True, True, False),
)
_connections = st.builds(
    ClientConnection,
    specs=st.lists(_specs, min_size=1, max_size=3).map(tuple),
    is_pipelined=st.booleans(),
    disconnect=_usually(Disconnect.NEVER, *Disconnect),
    write_size=st.sampled_from([1 << 16, 40, 1000]),
)

scripts = st.builds(
    Script,
    connections=st.lists(_connections, min_size=1, max_size=3).map(tuple),
    turns=st.lists(_turns, max_size=6).map(tuple),
)
