"""Whether this start lasts, remembered where a folder survives it; and the wait of one that keeps dying early.

Owns that wait, before anything is bound or reported, and the mark that a start has lasted. A server in a crash loop
costs the others nothing while it waits: nobody lists it, and it asks for nothing. It must never wait once it serves.
"""

from __future__ import annotations

import random
import signal
import time
from typing import Any

import anyio

from nickelslip.startup.crash_loop import EARLY_MS
from nickelslip.startup.crash_loop_file import CrashFile


class CrashLoopGuard:
    """The memory of starts in one folder."""

    def __init__(self, folder: str, seed: int, log: Any) -> None:
        self._file, self._seed, self._log = CrashFile(folder, log), seed, log

    def wait(self) -> bool:
        """Remember that a start begins, and wait if those before died early; False where a notice to leave came
        meanwhile, which is blocked until the server hears notices, and so waits to be taken here."""
        starts = self._file.read().again(time.time() * 1000)
        self._file.write(starts)
        pause_ms = starts.pause_ms(random.Random(f"{self._seed} {starts.begun}"))
        if pause_ms > 0:
            self._log.warning("crash_loop_delay", consecutive_early_exits=starts.row, delay_ms=round(pause_ms))
            if signal.sigtimedwait({signal.SIGTERM}, pause_ms / 1000) is not None:
                self.well()
                return False
        return True

    def well(self) -> None:
        """It has lasted, or was told to leave."""
        self._file.write(self._file.read().well())

    async def run(self) -> None:
        """Mark the start once it has lasted; the disk is waited for in a thread."""
        await anyio.sleep(EARLY_MS / 1000)
        await anyio.to_thread.run_sync(self.well)
