"""Prepares long commands on a separate thread, so that they do not block the event loop."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from madderwind.replication.actions import Prepare
from madderwind.replication.events import PreparationCompleted


class PreparationThread:
    """Runs preparations in order. `report` is called on the thread with each completed preparation."""

    def __init__(self, report: Callable[[PreparationCompleted], None]) -> None:
        self._report = report
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="preparation")

    def submit(self, action: Prepare) -> None:
        """Queue the preparation of a command after all that were submitted before."""
        future = self._executor.submit(action.preparation)
        future.add_done_callback(lambda future: self._report_completion(action.token, future))

    def stop(self) -> None:
        """Cancel the preparations that have not begun."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _report_completion(self, token: int, future: Future[None]) -> None:
        """Report the completion, also after a failure: it recurs where the command is handled."""
        if not future.cancelled():
            self._report(PreparationCompleted(token))
