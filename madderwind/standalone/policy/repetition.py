"""Whether a request may be resent, or its client told to retry, without the risk of a second effect."""

from madderwind.standalone.policy import api
from madderwind.standalone.policy.api import Effect, Group
from madderwind.standalone.policy.records import Request


def may_be_resent(request: Request, entry: api.UpstreamEntry, now: float, settings: api.Settings) -> bool:
    """Whether an attempt at this upstream can't cause a second effect. No other code decides this."""
    too_many = len(request.attempts) >= min(settings.max_attempts, request.settings.max_attempts)
    may_overlap = settings.second_copies and request.settings.second_copies
    if request.not_resendable or too_many or (request.open_attempts() and not may_overlap):
        return False
    ran, request_class = [a for a in request.attempts if a.may_have_run()], request.request_class
    if not ran or request_class.effect is Effect.SAFE:
        return True
    if request_class.effect is Effect.UNSAFE or now >= ran[0].sent_ms + request_class.window_ms:
        return False
    if request_class.group is Group.ZONE:
        return all(a.upstream.zone == entry.zone for a in ran)
    return request_class.group is Group.ALL or all(a.upstream.cell == entry.cell for a in ran)


def may_be_refused(request: Request) -> bool:
    """Whether the client may be told that a retry is harmless. No other code decides this."""
    request_class, never_ran = request.request_class, not any(a.may_have_run() for a in request.attempts)
    deduplicated = request_class.effect is Effect.KEYED and request_class.group is Group.ALL
    return not request.answer_started and (never_ran or deduplicated or request_class.effect is Effect.SAFE)
