"""The `madderwind attempts` command: summarizes the upstream attempts in data planes' logs."""

from __future__ import annotations

from pathlib import Path

from madderwind.cli.attempt_report import attempt_table, read_attempts
from madderwind.errors import MadderwindError


class AttemptLogError(MadderwindError):
    """A log cannot be read or contains no attempts."""


def attempts(log: str) -> None:
    """Print a summary table of the attempts in a log.

    Raises:
        AttemptLogError: The log cannot be read or contains no attempts.
    """
    try:
        with Path(log).open(encoding="utf-8", errors="replace") as lines:
            found_attempts = read_attempts(lines)
    except OSError as error:
        raise AttemptLogError(f"{log}: {error.strerror}") from None
    if not found_attempts:
        raise AttemptLogError(
            f"{log}: no attempts found; data planes log them only with serve --log-level=debug"
        )
    print(attempt_table(found_attempts))
