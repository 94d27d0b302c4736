"""Headers of forwarded requests and relayed responses: which are kept and which the data plane sets."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

from madderwind.messages.header_text import without_control_characters

KEY = "X-Key"
TENANT = "X-Tenant-Id"
DEADLINE = "X-Deadline-Ms"
EXPECT_INSTANCE = "X-Expect-Instance"
PRIORITY = "Priority"
EXPECT_VERSION = "Expect-Version"
LAST_EVENT_ID = "Last-Event-Id"
TOKEN_USAGE = "X-Token-Usage"
PROMPT_PREFIX = "X-Prompt-Prefix"

# Headers that apply to a single connection.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# End-to-end headers, forwarded even if a `Connection` header names them.
_END_TO_END = frozenset(
    (
        "content-type",
        "host",
        "last-event-id",
        "x-model",
        "x-prompt-prefix",
        "x-request-id",
        "x-token-usage",
        "x-upstream-signature",
    )
)
# Headers that the data plane sets instead of the client; `Content-Length` is computed anew, and
# `Expect: 100-continue` is answered by the data plane.
_SET_BY_DATA_PLANE = frozenset(
    name.lower()
    for name in (
        KEY,
        TENANT,
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        "Expect",
        "Content-Length",
    )
)
_NOT_FORWARDED = HOP_BY_HOP | _SET_BY_DATA_PLANE
_NOT_RETURNED = HOP_BY_HOP | {"content-length"}
MAX_PRIORITY = 9


class UpstreamContext(msgspec.Struct, frozen=True):
    """What the data plane tells an upstream about a request, except for its deadline."""

    instance: str
    tenant: str | None
    priority: int
    last_event_id: str | None = None  # replaces the client's own


def upstream_request_headers(headers: CIMultiDictProxy[str], context: UpstreamContext) -> CIMultiDict[str]:
    """The client's headers as sent to the upstream; `deadline_header` is added as the request is written."""
    dropped = _NOT_FORWARDED | _connection_options(headers)
    forwarded = CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)
    forwarded[EXPECT_INSTANCE] = context.instance
    forwarded[PRIORITY] = str(min(max(context.priority, 0), MAX_PRIORITY))
    if context.tenant is not None:
        forwarded[TENANT] = context.tenant
    if context.last_event_id is not None:
        forwarded[LAST_EVENT_ID] = context.last_event_id
    return forwarded


def deadline_header(remaining_ms: float) -> dict[str, str]:
    """The header with the remaining time for the upstream, in whole milliseconds, at least 1."""
    return {DEADLINE: str(max(1, int(remaining_ms)))}


def client_response_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """An upstream's headers as sent to the client."""
    dropped = _NOT_RETURNED | _connection_options(headers)
    return CIMultiDict(
        (name, without_control_characters(value))
        for name, value in headers.items()
        if name.lower() not in dropped
    )


def milliseconds(headers: Mapping[str, str], name: str) -> float | None:
    """A header's value as a finite number of milliseconds above 0; None if it has none."""
    try:
        value = float(headers.get(name, ""))
    except ValueError:
        return None
    return value if 0 < value < float("inf") else None


def token_usage(headers: Mapping[str, str]) -> tuple[int, int] | None:
    """The prompt tokens and the maximum of generated tokens, as given by the client."""
    prompt, comma, output = headers.get(TOKEN_USAGE, "").partition(",")
    prompt, output = prompt.strip(), output.strip()
    if not comma or not _is_count(prompt) or not _is_count(output):
        return None
    return int(prompt), int(output)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 12


def _connection_options(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    if "Connection" not in headers:
        return frozenset()
    named = ",".join(headers.getall("Connection")).lower()
    if named in ("close", "keep-alive"):
        return frozenset()
    return frozenset(name.strip() for name in named.split(",")) - _END_TO_END
