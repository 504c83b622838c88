"""The slow start of one server, from the first line of its process until it is warm.

A state machine, and what follows from its phase: when a report to the directory is due, how many calls may be in
flight to the dependency and how long to wait before the next. It sees only what reaches this server: hundreds of
servers that start at the same time have no word between them. Each begins with few calls and raises the bound as
calls are answered in time, so that together they rise no faster than the dependency answers.

Arithmetic and seeded chance only: nothing here reads a clock, does I/O or decides about a request.
"""

from __future__ import annotations

import random
from enum import Enum
from math import inf
from typing import NamedTuple

from nickelslip.startup.backoff import Backoff
from nickelslip.startup.phase_jitter import next_in_phase, phase_of
from nickelslip.startup.round_statistics import RoundStatistics

DIRECTORY_ENTRY_LIFETIME_MS = 3000.0  # after its last report the directory takes a server off the list
REPORTS_PER_LIFETIME = 6
REPORT_PERIOD_SLACK_MS = 1.0  # with five reports in a row lost, the sixth comes so much after the lapse
HEALTH_REPORT_REPEATS_MS = (60.0, 180.0)  # after a change of health, in case a report was lost

INITIAL_CONCURRENT_CALLS = 1.0
RAMP_FACTOR = 1.5  # by which the bound rises after a quick round, and falls after a slow one

MIN_BACKOFF_DELAY_MS = 20.0
MAX_BACKOFF_DELAY_MS = 1000.0
BACKOFF_BUDGET = 12  # attempts within each span
BACKOFF_SPAN_MS = 5000.0
FAILURES_UNTIL_BACKOFF = 3  # calls in a row without an answer
MAX_SHORT_OUTAGE_MS = 1000.0  # after one over sooner, nothing has to warm up again, and the start goes on where it was

MAX_KEPT_PHASES = 64


class SlowStartPhase(Enum):
    """Where a start stands."""

    PROCESS_STARTED = "the process is up; its worker pool is not reached yet"
    WORKER_POOL_CONNECTED = "the worker pool is connected"
    LISTED = "a report has gone out to the directory"
    FIRST_CALLS = "the first calls are in flight, one at a time"
    RAMPING_UP = "answers come in time, and the limit on calls in flight rises by steps"
    WARM = "as many calls may be in flight as this server's share; admission control alone limits them"
    BACKING_OFF = "the dependency refuses or fails: one attempt at a time, with backoff"


class SlowStartEvent(Enum):
    """What changes the phase of a start."""

    WORKER_POOL_CONNECTED = "the worker pool was reached"
    COLD_REPORT_SENT = "a report went out, and the machine is cold"
    WARM_REPORT_SENT = "a report went out, and the machine is not cold"
    COLD_CALL_STARTED = "a call goes out, and the machine is cold"
    WARM_CALL_STARTED = "a call goes out, and the machine is not cold"
    WARM_UP_TIME_PASSED = "the time in which a machine warms up has passed without an overload or a failure"
    ROUND_JUDGED = "a round of calls was answered; the bound is below this server's share"
    SHARE_REACHED = "a round of calls was answered; the bound is this server's share"
    DEPENDENCY_FAILED = "several calls in a row brought no answer"
    SHORT_OUTAGE_ENDED = "a call was answered soon after the dependency failed"
    LONG_OUTAGE_ENDED = "a call was answered long after the dependency failed"


INTERRUPTED_PHASE = None  # the phase in which the dependency failed

# An event that is not listed for a phase does not change it.
SLOW_START_TRANSITIONS: dict[tuple[SlowStartPhase, SlowStartEvent], SlowStartPhase | None] = {
    (SlowStartPhase.PROCESS_STARTED, SlowStartEvent.WORKER_POOL_CONNECTED): SlowStartPhase.WORKER_POOL_CONNECTED,
    (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartEvent.COLD_REPORT_SENT): SlowStartPhase.LISTED,
    (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartEvent.WARM_REPORT_SENT): SlowStartPhase.WARM,
    (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartEvent.COLD_CALL_STARTED): SlowStartPhase.FIRST_CALLS,
    (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartEvent.WARM_CALL_STARTED): SlowStartPhase.WARM,
    (SlowStartPhase.LISTED, SlowStartEvent.COLD_CALL_STARTED): SlowStartPhase.FIRST_CALLS,
    (SlowStartPhase.LISTED, SlowStartEvent.WARM_CALL_STARTED): SlowStartPhase.WARM,
    (SlowStartPhase.LISTED, SlowStartEvent.WARM_UP_TIME_PASSED): SlowStartPhase.WARM,
    (SlowStartPhase.FIRST_CALLS, SlowStartEvent.WARM_UP_TIME_PASSED): SlowStartPhase.WARM,
    (SlowStartPhase.RAMPING_UP, SlowStartEvent.WARM_UP_TIME_PASSED): SlowStartPhase.WARM,
    (SlowStartPhase.FIRST_CALLS, SlowStartEvent.ROUND_JUDGED): SlowStartPhase.RAMPING_UP,
    (SlowStartPhase.RAMPING_UP, SlowStartEvent.ROUND_JUDGED): SlowStartPhase.RAMPING_UP,
    (SlowStartPhase.FIRST_CALLS, SlowStartEvent.SHARE_REACHED): SlowStartPhase.WARM,
    (SlowStartPhase.RAMPING_UP, SlowStartEvent.SHARE_REACHED): SlowStartPhase.WARM,
    (SlowStartPhase.WORKER_POOL_CONNECTED, SlowStartEvent.DEPENDENCY_FAILED): SlowStartPhase.BACKING_OFF,
    (SlowStartPhase.LISTED, SlowStartEvent.DEPENDENCY_FAILED): SlowStartPhase.BACKING_OFF,
    (SlowStartPhase.FIRST_CALLS, SlowStartEvent.DEPENDENCY_FAILED): SlowStartPhase.BACKING_OFF,
    (SlowStartPhase.RAMPING_UP, SlowStartEvent.DEPENDENCY_FAILED): SlowStartPhase.BACKING_OFF,
    (SlowStartPhase.WARM, SlowStartEvent.DEPENDENCY_FAILED): SlowStartPhase.BACKING_OFF,
    (SlowStartPhase.BACKING_OFF, SlowStartEvent.SHORT_OUTAGE_ENDED): INTERRUPTED_PHASE,
    (SlowStartPhase.BACKING_OFF, SlowStartEvent.LONG_OUTAGE_ENDED): SlowStartPhase.FIRST_CALLS,
}


class Interruption(NamedTuple):
    """Where a start stood when the dependency failed."""

    phase: SlowStartPhase
    call_limit: float
    began_at_ms: float


class SlowStart:
    """One start. Moments are milliseconds on a clock that only goes forward.

    Attributes:
        phase: Where the start stands.
        phases: The latest phases, each with the moment at which it was entered.

    Args:
        server_name: Decides, with the seed, at which phase of their period this server's reports go out.
        seed: Of everything that is drawn.
        now_ms: When the process was started.
        dependency_share: Mean number of calls in flight that are this server's share of what the dependency survives;
            0 where it makes no calls.
        is_cold: Whether the machine has to warm up; one that has not begins with all of its share.
        warm_up_ms: How long that takes.
    """

    def __init__(
        self,
        server_name: str,
        seed: int,
        now_ms: float,
        dependency_share: float,
        is_cold: bool,
        warm_up_ms: float = 0.0,
    ) -> None:
        self._report_phase = phase_of(server_name, seed)
        self._backoff = Backoff(
            random.Random(f"start {server_name} {seed}"),
            MIN_BACKOFF_DELAY_MS,
            MAX_BACKOFF_DELAY_MS,
            BACKOFF_BUDGET,
            BACKOFF_SPAN_MS,
        )
        self.phase = SlowStartPhase.PROCESS_STARTED
        self.phases: list[tuple[float, SlowStartPhase]] = [(now_ms, SlowStartPhase.PROCESS_STARTED)]
        self._is_cold = is_cold and dependency_share > 0
        self._warm_up_ms = warm_up_ms
        self._dependency_share = max(INITIAL_CONCURRENT_CALLS, dependency_share)
        self._call_limit = INITIAL_CONCURRENT_CALLS if self._is_cold else self._dependency_share
        self._calls_resume_at_ms = now_ms
        self._round = RoundStatistics()
        self._last_pressure_at_ms = now_ms  # when the dependency was last seen slow or failing
        self._consecutive_failures = 0
        self._interruption = Interruption(SlowStartPhase.PROCESS_STARTED, INITIAL_CONCURRENT_CALLS, now_ms)
        self._periodic_report_at_ms = inf
        self._health_reports_at_ms: list[float] = []

    def _enter_on(self, event: SlowStartEvent, now_ms: float) -> None:
        """Enter the phase that follows from an event, where one does."""
        if (self.phase, event) not in SLOW_START_TRANSITIONS:
            return
        phase = SLOW_START_TRANSITIONS[self.phase, event] or self._interruption.phase
        if phase is self.phase:
            return
        self.phase = phase
        self.phases = [*self.phases[1 - MAX_KEPT_PHASES :], (now_ms, phase)]

    # What happens to the server

    def worker_pool_connected(self, now_ms: float, ago_ms: float) -> None:
        """Take note that the worker pool is reached; it came up `ago_ms` ago, and the server was listed then.

        The first report keeps to its phase, unless the server's entry would lapse before one more report, which may be
        lost.
        """
        if self.phase is not SlowStartPhase.PROCESS_STARTED:
            return
        self._enter_on(SlowStartEvent.WORKER_POOL_CONNECTED, now_ms)
        in_phase_at_ms = next_in_phase(now_ms, self.report_period_ms, self._report_phase)
        lapses = in_phase_at_ms - now_ms + ago_ms > DIRECTORY_ENTRY_LIFETIME_MS - self.report_period_ms
        self._periodic_report_at_ms = now_ms if lapses else in_phase_at_ms

    def report_sent(self, now_ms: float) -> None:
        """Take note that a report went out to the directory."""
        self._health_reports_at_ms = [at_ms for at_ms in self._health_reports_at_ms if at_ms > now_ms]
        if now_ms >= self._periodic_report_at_ms:
            self._periodic_report_at_ms = next_in_phase(now_ms, self.report_period_ms, self._report_phase)
        self._enter_on(
            SlowStartEvent.COLD_REPORT_SENT if self._is_cold else SlowStartEvent.WARM_REPORT_SENT,
            now_ms,
        )

    def health_changed(self, now_ms: float) -> None:
        """Report a change of health at once, and again a little later."""
        self._health_reports_at_ms = [now_ms, *(now_ms + delay_ms for delay_ms in HEALTH_REPORT_REPEATS_MS)]

    def call_started(self, now_ms: float) -> None:
        """Take note that a call goes out to the dependency."""
        self._enter_on(
            SlowStartEvent.COLD_CALL_STARTED if self._is_cold else SlowStartEvent.WARM_CALL_STARTED,
            now_ms,
        )

    def time_passed(self, now_ms: float) -> None:
        """Take a machine for warm once its warm-up time has passed.

        A server that makes few calls learns nothing from answers. The time counts from the last overload or failure
        that was seen.
        """
        if now_ms - self._last_pressure_at_ms >= self._warm_up_ms:
            self._enter_on(SlowStartEvent.WARM_UP_TIME_PASSED, now_ms)

    def change_dependency_share(self, dependency_share: float) -> None:
        """Take up another share of the calls."""
        self._dependency_share = max(INITIAL_CONCURRENT_CALLS, dependency_share)
        self._call_limit = min(self._call_limit, self._dependency_share)

    def call_answered(self, now_ms: float, took_ms: float) -> None:
        """Take note of an answered call; inf for one that was rejected or given up, which is slow in any case."""
        self._backoff.after_success()
        self._consecutive_failures = 0
        if self.phase is SlowStartPhase.BACKING_OFF:
            self._end_backing_off(now_ms)
        if self.phase in (SlowStartPhase.FIRST_CALLS, SlowStartPhase.RAMPING_UP):
            self._count_answer(now_ms, took_ms)

    def call_failed(self, now_ms: float) -> None:
        """Take note of a call without an answer: it never got there, or was lost on its way."""
        if self.phase is SlowStartPhase.PROCESS_STARTED:
            return
        self._last_pressure_at_ms = now_ms
        self._consecutive_failures += 1
        if self._consecutive_failures < FAILURES_UNTIL_BACKOFF:
            return
        if self.phase is not SlowStartPhase.BACKING_OFF:
            self._interruption = Interruption(self.phase, self._call_limit, now_ms)
        self._call_limit = INITIAL_CONCURRENT_CALLS
        self._round.discard_round()
        resume_at_ms = now_ms + self._backoff.after_failure(now_ms)
        self._calls_resume_at_ms = max(self._calls_resume_at_ms, resume_at_ms)
        self._enter_on(SlowStartEvent.DEPENDENCY_FAILED, now_ms)

    def _end_backing_off(self, now_ms: float) -> None:
        interruption = self._interruption
        was_short = now_ms - interruption.began_at_ms < MAX_SHORT_OUTAGE_MS
        goes_on = was_short and interruption.phase is not SlowStartPhase.WORKER_POOL_CONNECTED
        self._call_limit = interruption.call_limit if goes_on else INITIAL_CONCURRENT_CALLS
        self._calls_resume_at_ms = now_ms
        self._enter_on(
            SlowStartEvent.SHORT_OUTAGE_ENDED if goes_on else SlowStartEvent.LONG_OUTAGE_ENDED,
            now_ms,
        )
        self._round.discard_round()

    def _count_answer(self, now_ms: float, took_ms: float) -> None:
        """Raise the limit on calls after a quick round, and lower it after a slow one."""
        self._round.add_answer(took_ms)
        if not self._round.is_complete(self._call_limit):
            return
        if self._round.evaluate_round():
            self._call_limit = max(INITIAL_CONCURRENT_CALLS, self._call_limit / RAMP_FACTOR)
            self._last_pressure_at_ms = now_ms
        else:
            self._call_limit = min(self._dependency_share, self._call_limit * RAMP_FACTOR)
        self._enter_on(
            SlowStartEvent.SHARE_REACHED if self._call_limit >= self._dependency_share else SlowStartEvent.ROUND_JUDGED,
            now_ms,
        )

    # What follows

    @property
    def report_period_ms(self) -> float:
        """The time between reports: as long as the list allows with some of them lost."""
        return DIRECTORY_ENTRY_LIFETIME_MS / REPORTS_PER_LIFETIME + REPORT_PERIOD_SLACK_MS

    @property
    def next_report_at_ms(self) -> float:
        """When the next report is due.

        Never, which is inf, while there is no worker pool: the list would name a server that can do nothing.
        """
        if self.phase is SlowStartPhase.PROCESS_STARTED:
            return inf
        return min([self._periodic_report_at_ms, *self._health_reports_at_ms])

    @property
    def max_concurrent_calls(self) -> float:
        """How many calls may be in flight at once; inf where admission control alone bounds them."""
        return inf if self.phase is SlowStartPhase.WARM else self._call_limit

    def call_pause_ms(self, now_ms: float) -> float:
        """Return how long no call is to go out."""
        return max(0.0, self._calls_resume_at_ms - now_ms)
