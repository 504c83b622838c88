"""The true processes of a fleet, known by their ids.

Owns each server's process: its start, signals to it, and word of its end. None outlives the rig: each asks the kernel
to be killed with its parent, before it becomes the program. It must never find a process by its name.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)


def with_its_parent(parent: int) -> Callable[[], None]:
    """In the child, before it becomes the program: it ends when this process does, however that ends."""

    def ask() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:  # it has ended already
            os._exit(1)

    return ask


ENTRY = Path(__file__).parent.parent.parent / "deploy" / "serve.py"  # as the deploy file has it


def program(*arguments: str) -> list[str]:
    """The command line of the program, by this interpreter."""
    return [sys.executable, "-B", str(ENTRY), *arguments]


class Process:
    """One process, from its start to its end."""

    def __init__(
        self,
        argv: Sequence[str],
        log: Path,
        on_end: Callable[[int], None],
        cwd: Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        with log.open("ab") as out:
            self._popen = subprocess.Popen(
                list(argv),
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                cwd=cwd,
                env=environment,
                preexec_fn=with_its_parent(os.getpid()),
            )
        self._on_end, self._over = on_end, asyncio.Event()
        self._fd = os.pidfd_open(self.pid)
        asyncio.get_running_loop().add_reader(self._fd, self._ended)

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def code(self) -> int | None:
        """How it ended, or None while it runs."""
        return self._popen.returncode

    def _ended(self) -> None:
        if self._fd >= 0:
            asyncio.get_running_loop().remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1
            self._popen.wait()
            self._over.set()
            self._on_end(self._popen.returncode)

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal; one that has ended gets none."""
        if self.code is None:
            with suppress(ProcessLookupError):
                self._popen.send_signal(number)

    async def ended(self, wait_s: float) -> bool:
        """Whether it ends within this time."""
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._over.wait()
        return self._over.is_set()

    async def kill(self) -> None:
        """Kill it, and see it gone."""
        self.signal(signal.SIGKILL)
        await self.ended(10.0)

    def cpu_ms(self) -> float:
        """What it has had of a core so far; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[0]) / 1e6


def alive(pids: Sequence[int]) -> list[int]:
    """Which of these processes, by their ids, still run."""
    out = []
    for pid in pids:
        with suppress(OSError):
            if Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z":
                out.append(pid)
    return out
