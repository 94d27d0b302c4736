"""Events about a data plane's connections to control planes."""

from __future__ import annotations

from madderwind.log_events.event import LogEvent

CONTROL_PLANE_CONNECTED = LogEvent("control_plane_connected", ("address",))
CONTROL_PLANE_LOST = LogEvent("control_plane_lost", ("address",))
CONTROL_PLANE_TIMED_OUT = LogEvent("control_plane_timed_out", ("address",))
CONFIGURATION_UNUSABLE = LogEvent("configuration_unusable", ("address", "error"))
