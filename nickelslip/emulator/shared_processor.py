"""A processor whose speed is shared equally by its jobs, in simulated time."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable
from math import inf
from typing import NamedTuple

MAX_STEP_MS = 50.0  # the speed changes with time and is re-evaluated at least this often
MIN_SPEED = 1e-9
ROUNDING_TOLERANCE_MS = 1e-6


def warm_up_fraction(age_ms: float, initial_fraction: float, warm_up_ms: float) -> float:
    """Return the speed at this age as a fraction of the full speed; it rises linearly to 1."""
    if warm_up_ms <= 0:
        return 1.0
    return min(1.0, initial_fraction + (1 - initial_fraction) * max(0.0, age_ms) / warm_up_ms)


class Job(NamedTuple):
    """A job; it is finished when the work done per job reaches `finish_work_ms`."""

    finish_work_ms: float
    number: int
    key: Hashable


class SharedProcessor:
    """Jobs that all progress at the same speed.

    Args:
        now_ms: The start time.
        speed: Returns the work per millisecond done on each job, given the time and the number of jobs.
    """

    def __init__(self, now_ms: float, speed: Callable[[float, int], float]) -> None:
        self._now_ms = now_ms
        self._speed = speed
        self._work_done_ms = 0.0
        self._heap: list[Job] = []  # may contain jobs that were removed since
        self._jobs: dict[Hashable, Job] = {}
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._jobs)

    def _advance(self, now_ms: float) -> None:
        if self._jobs:
            self._work_done_ms += (now_ms - self._now_ms) * self._speed(self._now_ms, len(self._jobs))
        self._now_ms = now_ms

    def add(self, now_ms: float, key: Hashable, work_ms: float) -> None:
        """Add a job that takes `work_ms` at a speed of 1."""
        self._advance(now_ms)
        self._last_number += 1
        job = Job(self._work_done_ms + work_ms, self._last_number, key)
        self._jobs[key] = job
        heapq.heappush(self._heap, job)

    def remove(self, now_ms: float, key: Hashable) -> bool:
        """Remove a job; return whether it existed."""
        self._advance(now_ms)
        return self._jobs.pop(key, None) is not None

    def clear(self, now_ms: float) -> None:
        """Remove all jobs."""
        self._advance(now_ms)
        self._jobs.clear()
        self._heap.clear()

    def next_change_at_ms(self) -> float:
        """Return the time of the next update: when the first job ends, or earlier because the speed may change.

        Without jobs it is infinity.
        """
        job = self._next_job()
        if job is None:
            return inf
        speed = max(self._speed(self._now_ms, len(self._jobs)), MIN_SPEED)
        return self._now_ms + min(MAX_STEP_MS, max(0.0, (job.finish_work_ms - self._work_done_ms) / speed))

    def take_finished(self, now_ms: float) -> list[Hashable]:
        """Remove the jobs that are finished by now and return their keys, in the order of their ends."""
        self._advance(now_ms)
        finished = []
        while (job := self._next_job()) is not None:
            if job.finish_work_ms > self._work_done_ms + ROUNDING_TOLERANCE_MS:
                break
            heapq.heappop(self._heap)
            del self._jobs[job.key]
            finished.append(job.key)
        return finished

    def _next_job(self) -> Job | None:
        while self._heap and self._jobs.get(self._heap[0].key) is not self._heap[0]:
            heapq.heappop(self._heap)
        return self._heap[0] if self._heap else None
