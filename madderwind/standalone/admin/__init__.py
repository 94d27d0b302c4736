"""The admin address: commands and metrics. Off unless the configuration gives an address for it."""
