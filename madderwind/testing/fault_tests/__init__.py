"""Fault tests (drills): the program's processes under load, with relays between them that inject faults."""
