"""A caller's request: the fields that the decisions need are taken out, the rest goes on as it came."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.standalone.policy.api import Effect
from madderwind.standalone.settings import HostSettings

TRACE_ID, TENANT, EXPIRES = "X-Trace-Id", "X-Customer", "X-Expires-In-Ms"
KEY, REPEAT, PROPS = "Idempotency-Key", "X-Second-Try", "X-Props"
# The work that a client announces, in whole microseconds, where it can tell. Seen on requests of deployments
# with hints; the protocol's page speaks of the figure, not of the header.
HINT = "X-Size-Hint"
# Ids stand in several lines of the log: guards against lines as long as a caller likes.
LONGEST_ID = 200
# Longer waits than a day are no wait that a client means.
LONGEST_WAIT_MS = 86_400_000
# Headers that speak of one connection and not of the request; the client writes its own.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
        "host",
    )
)
METHODS = {Effect.SAFE: "GET", Effect.KEYED: "POST", Effect.UNSAFE: "POST"}
NOTHING: Mapping[str, float] = {}


class BadRequest(ValueError):
    """A request that this protocol does not allow; the text is for the client and the log."""


class Asked(msgspec.Struct, frozen=True):
    """What the decisions need to know of a request."""

    trace_id: str
    class_index: int
    tenant_index: int
    wait_ms: float
    is_repeat: bool
    work_hint_ms: float | None
    key: int
    is_write: bool
    odd_props: str | None


class RequestReader:
    """Reads requests by the names in the settings.

    `served_until_ms`: until when a class that vanished is still served, by name, and `tenants_until_ms` a
    tenant. Tiers hear of new settings at different moments, and a request that was taken before may still ask
    further in.
    """

    def __init__(
        self,
        host: HostSettings,
        served_until_ms: Mapping[str, float] = NOTHING,
        tenants_until_ms: Mapping[str, float] = NOTHING,
    ) -> None:
        self._classes = {name: number for number, name in enumerate(host.class_names)}
        self._effects = [c.effect for c in host.settings.classes]
        self._tenants = {name: number for number, name in enumerate(host.tenant_names)}
        self._has_tenants = len(host.retired_tenants) < len(self._tenants)
        self._served_until_ms, self._tenants_until_ms = served_until_ms, tenants_until_ms

    def read(self, method: str, target: str, headers: CIMultiDictProxy[str], now_ms: float = 0.0) -> Asked:
        """The request's fields; BadRequest where this protocol does not allow it."""
        _must_be_text(target, headers)
        trace_id = headers.get(TRACE_ID, "")
        if not trace_id:
            raise BadRequest(f"no {TRACE_ID}")
        if len(trace_id) > LONGEST_ID:
            raise BadRequest(f"{TRACE_ID} of {len(trace_id)} characters")
        name = target.partition("?")[0].removeprefix("/").partition("/")[0]
        class_index = self._classes.get(name)
        if class_index is None or now_ms > self._served_until_ms.get(name, now_ms):
            raise BadRequest(f"unknown class {name[:60]!r}")
        effect = self._effects[class_index]
        if method != METHODS[effect]:
            raise BadRequest(f"method {method[:20]!r} for a class that takes {METHODS[effect]}")
        if (effect is Effect.KEYED) != bool(headers.get(KEY)):
            raise BadRequest(f"{KEY} goes with keyed classes, and only with those")
        # Guards against a request of nobody's that uses up what a tenant had who has vanished.
        tenant_index = len(self._tenants)
        if self._has_tenants:
            tenant = headers.get(TENANT, "")
            if tenant not in self._tenants or now_ms > self._tenants_until_ms.get(tenant, now_ms):
                raise BadRequest(f"unknown tenant {tenant[:60]!r}")
            tenant_index = self._tenants[tenant]
        hint_ms, key, is_write, odd = read_props(headers.get(PROPS, ""))
        if (hint := headers.get(HINT)) is not None:
            if hint.isascii() and hint.isdigit() and len(hint) < 16:
                hint_ms = int(hint) / 1000
            else:
                odd = odd or f"{HINT}: {hint[:40]}"
        return Asked(
            trace_id,
            class_index,
            tenant_index,
            _wait_ms(headers.get(EXPIRES, "")),
            headers.get(REPEAT) == "1",
            hint_ms,
            key,
            is_write,
            odd,
        )


def origin_form(target: str) -> str:
    """A target as upstreams expect it: an absolute one without its scheme and host, others to the letter."""
    if target[:7].lower() != "http://":
        return target
    rest = target[7:]
    ends = [at for at in (rest.find("/"), rest.find("?")) if at >= 0]
    path = rest[min(ends) :] if ends else ""
    return path if path.startswith("/") else f"/{path}"


def _must_be_text(target: str, headers: CIMultiDictProxy[str]) -> None:
    """Guards against bytes that are no UTF-8: the client leaves them out, and an id would go on changed."""
    for text in (target, *headers.values()):
        if not text.isascii():
            try:
                text.encode()
            except UnicodeEncodeError:
                raise BadRequest("its target or a header is no UTF-8 text") from None


def _wait_ms(text: str) -> float:
    """A client's whole milliseconds."""
    if not (text.isascii() and text.isdigit()) or len(text) > 12 or int(text) > LONGEST_WAIT_MS:
        raise BadRequest(f"unreadable {EXPIRES} {text[:20]!r}")
    return float(text)


def read_props(text: str) -> tuple[float | None, int, bool, str | None]:
    """Work hint, key and whether it writes, of `name=value,name=value`; and the first odd part, if any.

    Unknown names are left alone: the settings' pages say that more may come.
    """
    hint_ms: float | None = None
    key, is_write, odd = 0, False, None
    for part in text.split(",") if text else ():
        name, equals, value = part.strip().partition("=")
        try:
            if not equals:
                raise ValueError
            if name == "WorkHintMs":
                hint = float(value)
                if not 0 <= hint < float("inf"):
                    raise ValueError
                hint_ms = hint
            elif name == "PartitionKey":
                key = int(value)
            elif name == "Opts":
                is_write = bool(int(value) & 4)
        except ValueError:
            odd = odd or part[:60]
    return hint_ms, key, is_write, odd


def headers_onward(
    headers: CIMultiDictProxy[str], left_ms: float, length: int | None = None
) -> CIMultiDict[str]:
    """The request's headers for an upstream: without those of one connection, with the time that is left.

    `length`: of a body that passes on in pieces, where it is told.
    """
    onward: CIMultiDict[str] = CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP
    )
    onward[EXPIRES] = str(max(0, int(left_ms)))
    if length is not None:
        onward["Content-Length"] = str(length)
    return onward
