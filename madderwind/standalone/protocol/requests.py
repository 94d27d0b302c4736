"""Extracts the fields of a caller's request that the decisions need; the rest is forwarded unchanged."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.standalone.policy.api import Effect
from madderwind.standalone.settings import HostSettings

TRACE_ID, TENANT, EXPIRES = "X-Trace-Id", "X-Customer", "X-Expires-In-Ms"
KEY, REPEAT, PROPS = "Idempotency-Key", "X-Second-Try", "X-Props"
# The expected work in whole microseconds, from clients that know it. Observed on requests of deployments with
# hints; the protocol's page describes the value, but not this header.
SIZE_HINT = "X-Size-Hint"
# Several log lines contain the id, so a caller must not make them arbitrarily long.
MAX_ID_LENGTH = 200
# One day; a client doesn't mean to wait longer.
MAX_WAIT_MS = 86_400_000
# Headers that concern one connection and not the request; the HTTP client writes its own.
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
NO_EXPIRATIONS: Mapping[str, float] = {}


class BadRequest(ValueError):
    """A request that this protocol doesn't allow; the text goes to the client and the log."""


class Asked(msgspec.Struct, frozen=True):
    """The fields of a request that the decisions need.

    `odd_props` is the first part of the properties that can't be parsed, if any.
    """

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
    """Parses requests by the names in the settings.

    `served_until_ms` and `tenants_until_ms`: until when a removed class or tenant is still served, by name.
    Tiers receive new settings at different times, and a request that an outer tier admitted before the change
    may reach an inner tier after it.
    """

    def __init__(
        self,
        host: HostSettings,
        served_until_ms: Mapping[str, float] = NO_EXPIRATIONS,
        tenants_until_ms: Mapping[str, float] = NO_EXPIRATIONS,
    ) -> None:
        self._classes = {name: number for number, name in enumerate(host.class_names)}
        self._effects = [c.effect for c in host.settings.classes]
        self._tenants = {name: number for number, name in enumerate(host.tenant_names)}
        self._has_tenants = len(host.retired_tenants) < len(self._tenants)
        self._served_until_ms, self._tenants_until_ms = served_until_ms, tenants_until_ms

    def read(self, method: str, target: str, headers: CIMultiDictProxy[str], now_ms: float = 0.0) -> Asked:
        """Parse a request; raises BadRequest if this protocol doesn't allow it."""
        _check_utf8(target, headers)
        trace_id = headers.get(TRACE_ID, "")
        if not trace_id:
            raise BadRequest(f"no {TRACE_ID}")
        if len(trace_id) > MAX_ID_LENGTH:
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
        # Without tenants in force, the index is past the last one, so that a request doesn't use the quota of
        # a removed tenant.
        tenant_index = len(self._tenants)
        if self._has_tenants:
            tenant = headers.get(TENANT, "")
            if tenant not in self._tenants or now_ms > self._tenants_until_ms.get(tenant, now_ms):
                raise BadRequest(f"unknown tenant {tenant[:60]!r}")
            tenant_index = self._tenants[tenant]
        hint_ms, key, is_write, invalid = read_props(headers.get(PROPS, ""))
        if (hint := headers.get(SIZE_HINT)) is not None:
            if hint.isascii() and hint.isdigit() and len(hint) < 16:
                hint_ms = int(hint) / 1000
            else:
                invalid = invalid or f"{SIZE_HINT}: {hint[:40]}"
        return Asked(
            trace_id,
            class_index,
            tenant_index,
            _parse_wait_ms(headers.get(EXPIRES, "")),
            headers.get(REPEAT) == "1",
            hint_ms,
            key,
            is_write,
            invalid,
        )


def origin_form(target: str) -> str:
    """The request target in origin form: an absolute one without scheme and host, others unchanged."""
    if target[:7].lower() != "http://":
        return target
    rest = target[7:]
    ends = [at for at in (rest.find("/"), rest.find("?")) if at >= 0]
    path = rest[min(ends) :] if ends else ""
    return path if path.startswith("/") else f"/{path}"


def _check_utf8(target: str, headers: CIMultiDictProxy[str]) -> None:
    """Reject bytes that aren't UTF-8: the HTTP client would drop them and so forward a changed id."""
    for text in (target, *headers.values()):
        if not text.isascii():
            try:
                text.encode()
            except UnicodeEncodeError:
                raise BadRequest("its target or a header is no UTF-8 text") from None


def _parse_wait_ms(text: str) -> float:
    """Parse how long the client waits, in whole milliseconds."""
    if not (text.isascii() and text.isdigit()) or len(text) > 12 or int(text) > MAX_WAIT_MS:
        raise BadRequest(f"unreadable {EXPIRES} {text[:20]!r}")
    return float(text)


def read_props(text: str) -> tuple[float | None, int, bool, str | None]:
    """Parse `name=value,name=value`: work hint, key, whether the request writes, and the first invalid part.

    Unknown names are ignored: the settings' documentation says that more may be added.
    """
    hint_ms: float | None = None
    key, is_write, invalid = 0, False, None
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
            invalid = invalid or part[:60]
    return hint_ms, key, is_write, invalid


def headers_onward(
    headers: CIMultiDictProxy[str], left_ms: float, length: int | None = None
) -> CIMultiDict[str]:
    """The request's headers for an upstream: without hop-by-hop headers, with the remaining time.

    `length` is the length of a streamed body, if the client declared one.
    """
    forwarded: CIMultiDict[str] = CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in HOP_BY_HOP
    )
    forwarded[EXPIRES] = str(max(0, int(left_ms)))
    if length is not None:
        forwarded["Content-Length"] = str(length)
    return forwarded
