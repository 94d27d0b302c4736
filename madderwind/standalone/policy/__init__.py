"""The decisions and their interface; no input or output happens here."""
