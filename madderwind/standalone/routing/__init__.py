"""Request processing, timers and the discovery watch: events to the policy module, actions carried out."""
