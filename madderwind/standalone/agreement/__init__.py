"""Settings with versions: what contradicts, what two versions both allow, and which file may follow which."""
