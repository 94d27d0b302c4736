"""The operator's configuration: document parsing, validation, command history and request look-ups."""
