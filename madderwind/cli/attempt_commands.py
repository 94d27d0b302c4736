"""`madderwind attempts`: what data planes' logs say of their choices."""

from __future__ import annotations

from pathlib import Path

from madderwind.cli.attempt_report import attempt_table, read_attempts
from madderwind.errors import MadderwindError


class AttemptLogError(MadderwindError):
    """A log that can't be read, or that holds no attempt."""


def attempts(log: str) -> None:
    """Print the table of the attempts in a log.

    Raises:
        AttemptLogError: It can't be read, or holds no attempt.
    """
    try:
        with Path(log).open(encoding="utf-8", errors="replace") as lines:
            found = read_attempts(lines)
    except OSError as error:
        raise AttemptLogError(f"{log}: {error.strerror}") from None
    if not found:
        raise AttemptLogError(f"{log}: no attempt in it; data planes write them with serve --log-level=debug")
    print(attempt_table(found))
