"""Drills: processes of the program under load, with relays between them that lose, cut and slow."""
