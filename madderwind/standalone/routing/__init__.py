"""One request's life, timers, and following discovery: events to the module, and its actions carried out."""
