"""The operator's configuration: its documents, their checks, the history of orders, and look-ups in it."""
