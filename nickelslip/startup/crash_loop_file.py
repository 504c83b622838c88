"""The file in which a server's starts are remembered, where a folder survives it.

Owns one small file, replaced whole. It must never keep a server from coming up: a folder that cannot be written, or a
file that cannot be understood, counts as nothing known, and says so in the log.
"""

from __future__ import annotations

import json
import math
import os
from pathlib import Path
from typing import Any

from nickelslip.startup.crash_loop import Starts

NAME, BYTES_MOST, VERSION = "starts.json", 1024, 1


class CrashFile:
    """The file of one server in this folder."""

    def __init__(self, folder: str, log: Any) -> None:
        self._path, self._log = Path(folder) / NAME, log

    def read(self) -> Starts:
        """What is known; nothing, where the file is missing, faulty or of another version."""
        try:
            with self._path.open("rb") as file:
                told = json.loads(file.read(BYTES_MOST))
            row, begun, lasted = told["row"], told["begun"], told["lasted"]
            if (
                told["version"] == VERSION
                and type(row) is int
                and row >= 0
                and type(lasted) is bool
                and isinstance(begun, int | float)
                and math.isfinite(begun)
                and begun >= 0
            ):
                return Starts(row, float(begun), lasted)
            raise ValueError("not of this version")
        except FileNotFoundError:
            return Starts()
        except (OSError, ValueError, KeyError, TypeError, RecursionError) as error:
            self._log.warning("crash_loop_state_unreadable", file=str(self._path), error=repr(error)[:200])
            return Starts()

    def write(self, starts: Starts) -> None:
        """Replace the file whole: a crash while it is written leaves the one before."""
        text = json.dumps({"version": VERSION, "row": starts.row, "begun": starts.begun, "lasted": starts.lasted})
        fresh = self._path.with_suffix(".new")
        try:
            with fresh.open("w") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            fresh.rename(self._path)
        except OSError as error:
            self._log.warning("crash_loop_state_write_failed", file=str(self._path), error=error.strerror)
