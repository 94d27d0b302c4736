"""A laboratory: many copies of the module on one clock, at sizes that sockets do not reach."""
