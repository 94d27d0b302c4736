"""Events that both the control plane and the data plane log."""

from __future__ import annotations

from madderwind.log_events.event import Level, LogEvent

SETTINGS_RELOADED = LogEvent("settings_reloaded", ("seeds",))
SETTINGS_UNUSABLE = LogEvent("settings_unusable", ("error",), Level.WARNING)
LOG_LINES_DROPPED = LogEvent("log_lines_dropped", ("count",))
