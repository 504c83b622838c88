"""The wait of a server that keeps exiting early, and the mark that a start has lasted.

The wait comes before anything is bound or reported: nobody lists a server that waits, and it asks for nothing. Once a
server serves it does not wait any more.
"""

from __future__ import annotations

import random
import signal
import time
from typing import Any

import anyio

from nickelslip.startup.crash_loop import EARLY_EXIT_MS, StartRecord
from nickelslip.startup.crash_loop_file import CrashLoopFile


class CrashLoopGuard:
    """The record of one server's starts.

    Args:
        directory: Where the record outlives the server.
        seed: Of the jitter of the wait.
        log: Where a wait, and faults of the directory, go.
    """

    def __init__(self, directory: str, seed: int, log: Any) -> None:
        self._file = CrashLoopFile(directory, log)
        self._seed = seed
        self._log = log

    def wait(self) -> bool:
        """Record that a start begins, and wait if the ones before it exited early.

        SIGTERM has to be blocked: it is taken here if it comes during the wait.

        Returns:
            Whether the server is to start; not where SIGTERM came meanwhile.
        """
        record = self._file.read().with_new_start(time.time() * 1000)
        self._file.write(record)
        delay_ms = self._delay_ms(record)
        if delay_ms <= 0:
            return True
        self._log.warning(
            "crash_loop_delay",
            consecutive_early_exits=record.consecutive_early_exits,
            delay_ms=round(delay_ms),
        )
        if signal.sigtimedwait({signal.SIGTERM}, delay_ms / 1000) is None:
            return True
        self.mark_stable()
        return False

    def _delay_ms(self, record: StartRecord) -> float:
        return record.delay_ms(random.Random(f"{self._seed} {record.started_at_ms}"))

    def mark_stable(self) -> None:
        """Record that the start has lasted, or was told to stop."""
        self._file.write(self._file.read().marked_stable())

    async def run(self) -> None:
        """Mark the start as stable once it has lasted; the disk is waited for in a thread."""
        await anyio.sleep(EARLY_EXIT_MS / 1000)
        await anyio.to_thread.run_sync(self.mark_stable)
