"""The thread that prepares long commands, beside the event loop."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from madderwind.replication.actions import Prepare
from madderwind.replication.events import PreparationCompleted


class PreparationThread:
    """Runs preparations in order. `report` is called on the thread with each that ended."""

    def __init__(self, report: Callable[[PreparationCompleted], None]) -> None:
        self._report = report
        self._executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="preparation")

    def submit(self, action: Prepare) -> None:
        """Have a command prepared after all that were submitted before."""
        running = self._executor.submit(action.preparation)
        running.add_done_callback(lambda ended: self._ended(action.token, ended))

    def stop(self) -> None:
        """Begin no further preparation."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _ended(self, token: int, ended: Future[None]) -> None:
        """Also after a failure: whoever takes the command meets it again, where it is handled."""
        if not ended.cancelled():
            self._report(PreparationCompleted(token))
