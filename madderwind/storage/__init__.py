"""Durable state of a replica: an append-only file of checksummed records."""
