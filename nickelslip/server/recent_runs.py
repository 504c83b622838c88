"""The ids of requests that may have run and must not run twice, kept for a while after their end."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

MAX_RECENT_RUNS = 65_536  # above this number, the oldest is dropped


class _RecentRun(NamedTuple):
    """A request that may have run, and when its id may be used again."""

    number: int
    expires_at_ms: float


class RecentRuns:
    """Detects a request whose id was used before by one that may have run.

    A client whose connection ended may send a request again under the same id, while or after it was run.

    Args:
        clock: Returns the Unix time in milliseconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._runs: deque[_RecentRun] = deque()
        self._numbers: set[int] = set()

    def record(self, number: int, retention_ms: float) -> None:
        """Keep the id of a request that has ended for `retention_ms`."""
        if number in self._numbers:
            return
        self._numbers.add(number)
        self._runs.append(_RecentRun(number, self._clock() + retention_ms))
        self._drop_expired()

    def __contains__(self, number: object) -> bool:
        self._drop_expired()
        return number in self._numbers

    def _drop_expired(self) -> None:
        now_ms = self._clock()
        while self._runs and (self._runs[0].expires_at_ms <= now_ms or len(self._runs) > MAX_RECENT_RUNS):
            self._numbers.discard(self._runs.popleft().number)
