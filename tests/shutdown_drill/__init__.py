"""A drill on real processes: a data plane gets SIGTERM at a drawn moment, while requests wait."""
