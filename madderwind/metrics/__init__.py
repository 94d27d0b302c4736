"""Prometheus metrics of a process, served at a separate address if the settings name one."""
