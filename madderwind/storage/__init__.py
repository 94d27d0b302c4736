"""The append-only file of checksummed records that holds a replica's durable state."""
