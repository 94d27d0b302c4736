"""Handling of signals that may arrive before a process has installed its handlers."""

from __future__ import annotations

import signal


def ignore_hangup() -> None:
    """Ignore SIGHUP until a handler is installed; call this before any slow import.

    The platform may announce a changed settings file at any moment, and the signal's default action would end
    the process. No change is lost: `SettingsWatch` reads the file once more when it starts.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
