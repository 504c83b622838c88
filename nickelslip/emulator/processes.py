"""Server processes.

No process outlives its parent: before it executes the program, it asks the kernel to be killed when the parent dies.
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

ENTRY_POINT = Path(__file__).parent.parent.parent / "deploy" / "serve.py"  # the same as in the deployment
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None, use_errno=True)
KILL_TIMEOUT_S = 10.0
CLOSED_FD = -1
NS_PER_MS = 1e6
ZOMBIE_STATE = "Z"


def die_with_parent(parent_pid: int) -> Callable[[], None]:
    """Return a function for a child process to call before exec; it has the child killed when its parent ends."""

    def prepare() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent_pid:  # the parent has ended already
            os._exit(1)

    return prepare


def program_command_line(*arguments: str) -> list[str]:
    """Return a command line that runs the server's program with this interpreter."""
    return [sys.executable, "-B", str(ENTRY_POINT), *arguments]


class Process:
    """One process, from its start to its end.

    Args:
        argv: The command line.
        log: The file to which standard output and error are appended.
        on_end: Called with the exit code when the process has ended.
        cwd: The working directory.
        environment: The environment; None for the environment of this process.
    """

    def __init__(
        self,
        argv: Sequence[str],
        log: Path,
        on_end: Callable[[int], None],
        cwd: Path | None = None,
        environment: dict[str, str] | None = None,
    ) -> None:
        with log.open("ab") as log_file:
            self._popen = subprocess.Popen(
                list(argv),
                stdin=subprocess.DEVNULL,
                stdout=log_file,
                stderr=log_file,
                cwd=cwd,
                env=environment,
                preexec_fn=die_with_parent(os.getpid()),
            )
        self._on_end = on_end
        self._end_event = asyncio.Event()
        self._pidfd = os.pidfd_open(self.pid)
        asyncio.get_running_loop().add_reader(self._pidfd, self._handle_end)

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._popen.returncode

    def _handle_end(self) -> None:
        if self._pidfd == CLOSED_FD:
            return
        asyncio.get_running_loop().remove_reader(self._pidfd)
        os.close(self._pidfd)
        self._pidfd = CLOSED_FD
        self._popen.wait()
        self._end_event.set()
        self._on_end(self._popen.returncode)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, unless it has ended."""
        if self.exit_code is None:
            with suppress(ProcessLookupError):
                self._popen.send_signal(number)

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it ended within the timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._end_event.wait()
        return self._end_event.is_set()

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.wait_until_ended(KILL_TIMEOUT_S)

    def cpu_ms(self) -> float:
        """Return the CPU time used so far; 0 after the process has ended."""
        try:
            fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
        except OSError:
            return 0.0
        return int(fields[0]) / NS_PER_MS


def running_pids(pids: Sequence[int]) -> list[int]:
    """Return the ids of those processes that are still running."""
    return [pid for pid in pids if _is_alive(pid)]


def _is_alive(pid: int) -> bool:
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return False
    return stat.rpartition(")")[2].split()[0] != ZOMBIE_STATE
