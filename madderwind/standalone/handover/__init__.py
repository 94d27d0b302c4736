"""A new version under load: the listening socket and what is known pass from one process to the next."""
