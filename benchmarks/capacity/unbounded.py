"""Runs the server with raised limits on document size and on names, for sizes that it would otherwise reject.

`python -m benchmarks.capacity.unbounded serve`. All else is as operators run it.
"""

from __future__ import annotations

from benchmarks.capacity.documents import raised_limits
from nickelslip.server.__main__ import run

if __name__ == "__main__":
    with raised_limits():
        run()
