"""Golden files that an earlier version wrote, and tests that this version still reads and writes them."""
