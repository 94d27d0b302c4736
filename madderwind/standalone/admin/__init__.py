"""The second address: commands and figures. Off unless the configuration names an address for it."""
