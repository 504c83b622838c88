"""The server's own program with the bounds on texts and names lifted: only for sizes that it refuses today.

`python -m benchmarks.capacity.unbounded serve`. Everything else is the program as operators run it.
"""

from __future__ import annotations

from benchmarks.capacity.documents import lifted_bounds
from nickelslip.server.__main__ import run

if __name__ == "__main__":
    with lifted_bounds():
        run()
