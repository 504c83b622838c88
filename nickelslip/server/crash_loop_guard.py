"""Delays the start of a server that keeps exiting early, and records whether a start has lasted long enough.

The delay comes before the server binds its address or reports to the directory. While it waits, the directory does not
list it and it makes no dependency calls. Once it serves there are no more delays.
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
    """Keeps the record of one server's starts, and delays a start if the earlier ones exited early.

    Args:
        directory: Directory of the file that keeps the record across restarts.
        seed: Seed of the jitter of the delay.
        log: Log for delays and for errors of the directory.
    """

    def __init__(self, directory: str, seed: int, log: Any) -> None:
        self._file = CrashLoopFile(directory, log)
        self._seed = seed
        self._log = log

    def wait(self) -> bool:
        """Record a new start, and wait if the previous ones exited early.

        The caller must block SIGTERM. If SIGTERM arrives during the wait, this method consumes it.

        Returns:
            Whether the server is to start; False if SIGTERM arrived during the wait.
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
        """Record that the start has lasted long enough or was stopped on request."""
        self._file.write(self._file.read().marked_stable())

    async def run(self) -> None:
        """Mark the start as stable once it has lasted long enough; the file is written in a thread."""
        await anyio.sleep(EARLY_EXIT_MS / 1000)
        await anyio.to_thread.run_sync(self.mark_stable)
