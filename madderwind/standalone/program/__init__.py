"""Command line, configuration, logging, signals and wiring."""
