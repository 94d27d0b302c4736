"""Primary-backup replication of the configuration, with witnesses that store only epochs. Free of I/O."""
