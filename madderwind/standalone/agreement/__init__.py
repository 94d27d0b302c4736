"""Versioned settings: contradictions, what two versions both allow, and which version may follow which."""
