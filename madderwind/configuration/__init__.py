"""The operator's configuration: its documents, their checks, the history of commands, and look-ups in it."""
