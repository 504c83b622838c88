"""The start of one server, from the first line of its process until it is warm.

Owns one state machine and what follows from its state: how soon a report is due, how many calls may be out to what lies
below and how long to wait before the next. It sees only what reaches this server. It must never do I/O, read a clock
or decide about a transaction: bounds are told to the module, which keeps deciding.

Hundreds of servers that run this at the same time share nothing but the services below. Each asks for little first and
for more only as answers earn it, so that together they rise no faster than what is below answers.
"""

from __future__ import annotations

import random
from enum import Enum
from math import inf

from nickelslip.startup.backoff import Backoff
from nickelslip.startup.phase_jitter import next_in_phase, phase_of

LAPSE_MS = 3000.0  # after its last report a server is taken off the list, by the directory's page
REPORTS = 6  # to that time
OVER_MS = 1.0  # further apart: with five in a row lost the sixth comes so much after the lapse
TOLD_AGAIN_MS = (60.0, 180.0)  # after a change of health it is told again, in case a report was lost
FIRST_CALLS = 1.0  # that may be out at once in the beginning
STEP = 1.5  # by which that grows when a round of them was answered in time
SLOW = 2.0  # a round whose mean is so many times the usual one shows that what lies below is crowded
ROUND_LEAST = 4  # answers at least to a round
LEARNS = 0.3  # of a quick round's mean goes into the usual one
FORGETS = 1.05  # by which that grows with a round at most: a crowd that comes slowly must not become usual at once, yet
# what is below may have become slower for good
REST_LEAST_MS, REST_MOST_MS = 20.0, 1000.0  # between attempts at records that refuse or fail
REST_BUDGET, REST_SPAN_MS = 12, 5000.0  # and no more attempts than that in such a time
FAILS = 3  # calls in a row that brought no answer, after which what is below counts as failing
SHORT_MS = 1000.0  # after a failure that was over sooner a start goes on where it was: nobody below has to warm again


class SlowStartPhase(Enum):
    """Where a start stands."""

    PROCESS_STARTED = "the process is up; its worker pool is not reached yet"
    WORKER_POOL_CONNECTED = "the worker pool is there"
    LISTED = "the directory has been told"
    FIRST_CALLS = "the first calls are out, as few as can be"
    RAMPING_UP = "answers come in time, and more calls may be out by steps"
    WARM = "as many calls may be out as this server's part is; the module alone bounds them"
    BACKING_OFF = "what lies below refuses or fails: one attempt at a time, with backoff"


class SlowStart:
    """One start. Times are milliseconds on a clock that only goes forward; `part_calls` is this server's part of what
    the records survive, as a mean number of calls that are out, or 0 where it makes none. A machine that is not cold
    starts with all of it."""

    def __init__(self, name: str, seed: int, now: float, part_calls: float, cold: bool, cold_ms: float = 0.0) -> None:
        self._phase, self._random = phase_of(name, seed), random.Random(f"start {name} {seed}")
        self._backoff = Backoff(self._random, REST_LEAST_MS, REST_MOST_MS, REST_BUDGET, REST_SPAN_MS)
        self.phase, self.phase_since_ms, self._cold, self._cold_ms = (
            SlowStartPhase.PROCESS_STARTED,
            now,
            cold and part_calls > 0,
            cold_ms,
        )
        self._part = max(FIRST_CALLS, part_calls)
        self._calls, self._rest_until = (FIRST_CALLS if self._cold else self._part), now
        self._pressed = now  # when what is below was last seen slow or failing
        self._usual = inf  # a round's mean, as it is usually
        self._mean, self._answers, self._lost = 0.0, 0, 0  # of the round: its answers' mean, all, those without a time
        self._fails = 0  # calls in a row that brought no answer
        self._failed_from = SlowStartPhase.PROCESS_STARTED, FIRST_CALLS, now  # where falling back began
        self._again: list[float] = []  # when a change is told again
        self._due = inf
        self.phases: list[tuple[float, SlowStartPhase]] = [
            (now, SlowStartPhase.PROCESS_STARTED)
        ]  # for the log and for tests; as long as a start

    def _enter(self, now: float, step: SlowStartPhase) -> None:
        """The one place where the start changes its step."""
        if step is not self.phase:
            self.phase, self.phase_since_ms = step, now
            self.phases = [*self.phases[-63:], (now, step)]

    # What happens

    def worker_pool_connected(self, now: float, ago_ms: float) -> None:
        """The worker pool is reached; it came up so long ago, and the server was listed then."""
        if self.phase is not SlowStartPhase.PROCESS_STARTED:
            return
        self._enter(now, SlowStartPhase.WORKER_POOL_CONNECTED)
        self._due = next_in_phase(now, self.report_period_ms, self._phase)
        if self._due - now + ago_ms > LAPSE_MS - self.report_period_ms:
            self._due = now  # its entry would lapse before one more report that may be lost

    def report_sent(self, now: float) -> None:
        """A report has gone out."""
        self._again = [at for at in self._again if at > now]
        if now >= self._due:
            self._due = next_in_phase(now, self.report_period_ms, self._phase)
        if self.phase is SlowStartPhase.WORKER_POOL_CONNECTED:
            self._enter(now, SlowStartPhase.LISTED if self._cold else SlowStartPhase.WARM)

    def health_changed(self, now: float) -> None:
        """A change of health is to be told: at once, and again a little later."""
        self._again = [now, *(now + span for span in TOLD_AGAIN_MS)]

    def call_started(self, now: float) -> None:
        """A call goes out to the records."""
        if self.phase in (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartPhase.LISTED):
            self._enter(now, SlowStartPhase.FIRST_CALLS if self._cold else SlowStartPhase.WARM)

    def time_passed(self, now: float) -> None:
        """Time has passed. One that has little to call for learns nothing from answers: once a cold machine would be
        warm, and nothing below was seen slow or failing for as long, it is taken for warm."""
        if (
            self.phase in (SlowStartPhase.LISTED, SlowStartPhase.FIRST_CALLS, SlowStartPhase.RAMPING_UP)
            and now - self._pressed >= self._cold_ms
        ):
            self._enter(now, SlowStartPhase.WARM)

    def change_dependency_share(self, part_calls: float) -> None:
        """This server's part of the calls has been changed."""
        self._part = max(FIRST_CALLS, part_calls)
        self._calls = min(self._calls, self._part)

    def call_answered(self, now: float, took_ms: float) -> None:
        """A call was answered, after so long; inf for one that was turned away or given up: slow in any case."""
        self._backoff.after_success()
        self._fails = 0
        if self.phase is SlowStartPhase.BACKING_OFF:
            step, calls, since = self._failed_from
            short = now - since < SHORT_MS and step is not SlowStartPhase.WORKER_POOL_CONNECTED
            self._calls, self._rest_until = calls if short else FIRST_CALLS, now
            self._enter(now, step if short else SlowStartPhase.FIRST_CALLS)
            self._answers = self._lost = 0
        if self.phase in (SlowStartPhase.FIRST_CALLS, SlowStartPhase.RAMPING_UP):
            self._count(now, took_ms)

    def call_failed(self, now: float) -> None:
        """A call brought no answer: it never got there, or it was lost on its way."""
        if self.phase is SlowStartPhase.PROCESS_STARTED:
            return
        self._pressed = now
        self._fails += 1
        if self._fails < FAILS:
            return
        if self.phase is not SlowStartPhase.BACKING_OFF:
            self._failed_from = self.phase, self._calls, now
        self._calls, self._answers, self._lost = FIRST_CALLS, 0, 0
        self._rest_until = max(self._rest_until, now + self._backoff.after_failure(now))
        self._enter(now, SlowStartPhase.BACKING_OFF)

    def _count(self, now: float, took_ms: float) -> None:
        """Judge a round by its mean, once as many were answered as may be out: while that is usual, more may be. Single
        answers differ by chance far more than a crowd makes them differ."""
        self._answers += 1
        if took_ms == inf:
            self._lost += 1
        else:
            self._mean += (took_ms - self._mean) / (self._answers - self._lost)
        if self._answers < max(ROUND_LEAST, self._calls):
            return
        if 2 * self._lost > self._answers or self._mean > SLOW * self._usual:
            self._calls = max(FIRST_CALLS, self._calls / STEP)
            self._usual, self._pressed = self._usual * FORGETS, now
        else:
            first = self._usual == inf
            self._usual = (
                self._mean if first else min(self._usual * FORGETS, self._usual + LEARNS * (self._mean - self._usual))
            )
            self._calls = min(self._part, self._calls * STEP)
        self._answers, self._lost, self._mean = 0, 0, 0.0
        self._enter(now, SlowStartPhase.WARM if self._calls >= self._part else SlowStartPhase.RAMPING_UP)

    # What follows

    @property
    def report_period_ms(self) -> float:
        """Between reports: as seldom as the list allows with some of them lost."""
        return LAPSE_MS / REPORTS + OVER_MS

    @property
    def next_report_at_ms(self) -> float:
        """When the next report is due; never while there is no worker pool, since the list would name a server that
        can do nothing."""
        return min([self._due, *self._again]) if self.phase is not SlowStartPhase.PROCESS_STARTED else inf

    @property
    def max_concurrent_calls(self) -> float:
        """How many calls may be out at once; inf where only the module bounds them."""
        return inf if self.phase is SlowStartPhase.WARM else self._calls

    def call_pause_ms(self, now: float) -> float:
        """How long no call is to go out."""
        return max(0.0, self._rest_until - now)
