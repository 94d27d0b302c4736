"""Events that a control plane logs."""

from __future__ import annotations

from madderwind.log_events.event import Level, LogEvent
from madderwind.log_events.shared import SETTINGS_RELOADED as SETTINGS_RELOADED
from madderwind.log_events.shared import SETTINGS_UNUSABLE as SETTINGS_UNUSABLE

# Process lifecycle.
CONTROL_PLANE_STARTED = LogEvent("control_plane_started", ("address",))
SHUTDOWN_REQUESTED = LogEvent("shutdown_requested")
CONTROL_PLANE_STOPPED = LogEvent("control_plane_stopped")

# Replication.
VIEW_CHANGED = LogEvent("view_changed", ("epoch", "primary", "in_sync"))
ROLE_CHANGED = LogEvent("role_changed", ("role", "epoch"))
PRIMARY_CHANGED = LogEvent("primary_changed", ("is_primary", "primary", "epoch"))
LEADERSHIP_TRANSFERRED = LogEvent("leadership_transferred", ("to",))
QUORUM_LOST = LogEvent("quorum_lost", ("epoch",))
WRITE_FAILED = LogEvent("write_failed", ("token",))
EVENT_LOOP_STALLED = LogEvent("event_loop_stalled", ("ms",))
EFFECT_DROPPED = LogEvent("effect_dropped", ("effect", "reason", "dropped"), Level.WARNING)
SNAPSHOT_SENT = LogEvent("snapshot_sent", ("to", "index"))
SNAPSHOT_INSTALLED = LogEvent("snapshot_installed", ("index",))

# Configuration changes.
COMMAND_COMPLETED = LogEvent(
    "command_completed", ("kind", "base_version", "outcome", "version", "field", "reason")
)
CONFIGURATION_COMMITTED = LogEvent("configuration_committed", ("version",))
DATA_PLANES_LAGGING = LogEvent("data_planes_lagging", ("version", "count"))

# Upstreams and data planes.
UPSTREAM_CHANGED = LogEvent("upstream_changed", ("instance", "service", "state"))
INVALID_HEARTBEAT = LogEvent("invalid_heartbeat", ("instance", "reason"), Level.WARNING)
DATA_PLANE_SUBSCRIBED = LogEvent("data_plane_subscribed", ("data_plane", "version"))
DATA_PLANE_UNSUBSCRIBED = LogEvent("data_plane_unsubscribed", ("data_plane",))
INVALID_DATA_PLANE_MESSAGE = LogEvent("invalid_data_plane_message", ("peer", "reason"), Level.WARNING)
INVALID_CONTROL_PLANE_MESSAGE = LogEvent("invalid_control_plane_message", ("peer", "reason"), Level.WARNING)
