"""Headers on their way: what is passed on to an upstream and back to a client, and what is set here."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec
from multidict import CIMultiDict, CIMultiDictProxy

KEY = "X-Key"
TENANT = "X-Tenant-Id"
DEADLINE = "X-Deadline-Ms"
EXPECT_INSTANCE = "X-Expect-Instance"
PRIORITY = "Priority"
EXPECT_VERSION = "Expect-Version"
LAST_EVENT_ID = "Last-Event-Id"
TOKEN_USAGE = "X-Token-Usage"
PROMPT_PREFIX = "X-Prompt-Prefix"

# They concern one connection only.
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
# They are meant for the upstream or the client, whatever a `Connection` header names.
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
# A client does not set them for an upstream; the length is told anew, and who asks to go on is told here.
_SET_HERE = frozenset(
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
_NOT_ONWARD = HOP_BY_HOP | _SET_HERE
_NOT_BACK = HOP_BY_HOP | {"content-length"}
MOST_PRIORITY = 9


class Onward(msgspec.Struct, frozen=True):
    """What the system tells an upstream about a request, but for its deadline."""

    instance: str
    tenant: str | None
    priority: int
    last_event_id: str | None = None  # in place of the client's own


def headers_onward(headers: CIMultiDictProxy[str], onward: Onward) -> CIMultiDict[str]:
    """A client's headers as the upstream gets them; `deadline_header` comes as the request is written."""
    dropped = _NOT_ONWARD | _named_by_connection(headers)
    passed = CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)
    passed[EXPECT_INSTANCE] = onward.instance
    passed[PRIORITY] = str(min(max(onward.priority, 0), MOST_PRIORITY))
    if onward.tenant is not None:
        passed[TENANT] = onward.tenant
    if onward.last_event_id is not None:
        passed[LAST_EVENT_ID] = onward.last_event_id
    return passed


def deadline_header(left_ms: float) -> dict[str, str]:
    """The header that tells an upstream how much time is left, in whole ms, 1 at least."""
    return {DEADLINE: str(max(1, int(left_ms)))}


def headers_back(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """An upstream's headers as the client gets them."""
    dropped = _NOT_BACK | _named_by_connection(headers)
    return CIMultiDict((name, value) for name, value in headers.items() if name.lower() not in dropped)


def milliseconds(headers: Mapping[str, str], name: str) -> float | None:
    """A header's number of milliseconds above 0; None where there is none."""
    try:
        value = float(headers.get(name, ""))
    except ValueError:
        return None
    return value if 0 < value < float("inf") else None


def token_usage(headers: Mapping[str, str]) -> tuple[int, int] | None:
    """Prompt tokens and the most tokens generated, as the client tells them."""
    prompt, comma, output = headers.get(TOKEN_USAGE, "").partition(",")
    prompt, output = prompt.strip(), output.strip()
    if not comma or not _is_count(prompt) or not _is_count(output):
        return None
    return int(prompt), int(output)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 12


def _named_by_connection(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    if "Connection" not in headers:
        return frozenset()
    named = ",".join(headers.getall("Connection")).lower()
    if named in ("close", "keep-alive"):
        return frozenset()
    return frozenset(name.strip() for name in named.split(",")) - _END_TO_END
