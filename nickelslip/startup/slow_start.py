"""The slow start of one server, from the start of its process until it is warm.

A state machine tracks the phase of the start. The phase determines when the next report to the directory is due, how
many calls to the dependency may be in flight, and how long to wait before the next call. Hundreds of servers may start
at the same time without communicating, so the state machine uses only what this server observes. Each server begins
with few calls and raises its limit as calls are answered in time. Together they raise the load no faster than the
dependency answers.

This module is deterministic: callers pass in the time and the random seed. It does no I/O and makes no decisions about
requests.
"""

from __future__ import annotations

import random
from enum import Enum
from math import inf
from typing import NamedTuple

from nickelslip.startup.backoff import Backoff
from nickelslip.startup.phase_jitter import next_in_phase, phase_of
from nickelslip.startup.round_statistics import RoundStatistics

DIRECTORY_ENTRY_LIFETIME_MS = 3000.0  # the directory removes a server this long after its last report
REPORTS_PER_LIFETIME = 6
# Makes the period slightly longer than a sixth of the lifetime. The entry outlives four lost reports in a row; after
# five, the sixth is sent just after it has expired.
REPORT_PERIOD_SLACK_MS = 1.0
HEALTH_REPORT_REPEATS_MS = (60.0, 180.0)  # after a change of health, in case a report is lost

INITIAL_CONCURRENT_CALLS = 1.0
# A round is a sequence of calls, about as many as may be in flight at once; see `RoundStatistics.is_complete`. The call
# limit is multiplied by this after a fast round, and divided by it after a slow one.
RAMP_FACTOR = 1.5

MIN_BACKOFF_DELAY_MS = 20.0
MAX_BACKOFF_DELAY_MS = 1000.0
MAX_ATTEMPTS_PER_BACKOFF_WINDOW = 12
BACKOFF_WINDOW_MS = 5000.0
FAILURES_UNTIL_BACKOFF = 3  # consecutive failed calls
MAX_SHORT_OUTAGE_MS = 1000.0  # a shorter outage requires no new warm-up; the start resumes where it was interrupted

MAX_KEPT_PHASES = 64


class SlowStartPhase(Enum):
    """The phases of a start."""

    PROCESS_STARTED = "the process has started; the worker pool is not connected yet"
    WORKER_POOL_CONNECTED = "the worker pool is connected"
    LISTED = "a report was sent to the directory"
    FIRST_CALLS = "the first calls are in flight, one at a time"
    RAMPING_UP = "calls are answered in time, and the limit on calls in flight rises step by step"
    WARM = "this server's full share of calls may be in flight; only admission control limits them"
    BACKING_OFF = "the dependency rejects or fails calls; they are attempted one at a time, with backoff"


class SlowStartEvent(Enum):
    """The events that may change the phase of a start."""

    WORKER_POOL_CONNECTED = "the worker pool was connected"
    COLD_REPORT_SENT = "a report was sent while the machine is cold"
    WARM_REPORT_SENT = "a report was sent while the machine is not cold"
    COLD_CALL_STARTED = "a call was started while the machine is cold"
    WARM_CALL_STARTED = "a call was started while the machine is not cold"
    WARM_UP_TIME_PASSED = "the warm-up time has passed without an overload or a failure"
    ROUND_JUDGED = "a round of calls was answered; the call limit is below this server's share"
    SHARE_REACHED = "a round of calls was answered; the call limit is this server's share"
    DEPENDENCY_FAILED = "several consecutive calls received no answer"
    SHORT_OUTAGE_ENDED = "a call was answered soon after the dependency failed"
    LONG_OUTAGE_ENDED = "a call was answered long after the dependency failed"


INTERRUPTED_PHASE = None  # return to the phase that was active when the dependency failed

# An event that is not listed for a phase leaves the phase unchanged.
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
    """The state of a start when the dependency failed."""

    phase: SlowStartPhase
    call_limit: float
    began_at_ms: float


class SlowStart:
    """The slow start of one server process. All times are Unix milliseconds of a clock that never goes backwards.

    Args:
        server_name: Determines, with the seed, the point in each report period at which this server sends its report.
        seed: Seed of all random draws.
        now_ms: When the process was started.
        dependency_share: This server's share of the concurrent calls that the dependency survives, as a mean number of
            calls in flight; 0 if it makes no calls.
        is_cold: Whether the machine has to warm up. A warm one starts with its full share.
        warm_up_ms: How long the machine takes to warm up.

    Attributes:
        phase: The current phase.
        phases: The most recent phases, each with the time at which it was entered.
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
        self._phase_in_report_period = phase_of(server_name, seed)
        self._backoff = Backoff(
            random.Random(f"start {server_name} {seed}"),
            MIN_BACKOFF_DELAY_MS,
            MAX_BACKOFF_DELAY_MS,
            MAX_ATTEMPTS_PER_BACKOFF_WINDOW,
            BACKOFF_WINDOW_MS,
        )
        self.phase = SlowStartPhase.PROCESS_STARTED
        self.phases: list[tuple[float, SlowStartPhase]] = [(now_ms, SlowStartPhase.PROCESS_STARTED)]
        self._is_cold = is_cold and dependency_share > 0
        self._warm_up_ms = warm_up_ms
        self._dependency_share = max(INITIAL_CONCURRENT_CALLS, dependency_share)
        self._call_limit = INITIAL_CONCURRENT_CALLS if self._is_cold else self._dependency_share
        self._calls_resume_at_ms = now_ms
        self._round = RoundStatistics()
        self._last_overload_at_ms = now_ms  # when the dependency was last observed to be slow or failing
        self._consecutive_failures = 0
        self._interruption = Interruption(SlowStartPhase.PROCESS_STARTED, INITIAL_CONCURRENT_CALLS, now_ms)
        self._periodic_report_at_ms = inf
        self._health_reports_at_ms: list[float] = []

    def _handle_event(self, event: SlowStartEvent, now_ms: float) -> None:
        """Enter the next phase if the event causes a transition."""
        if (self.phase, event) not in SLOW_START_TRANSITIONS:
            return
        phase = SLOW_START_TRANSITIONS[self.phase, event] or self._interruption.phase
        if phase is self.phase:
            return
        self.phase = phase
        self.phases = [*self.phases[1 - MAX_KEPT_PHASES :], (now_ms, phase)]

    def worker_pool_connected(self, now_ms: float, worker_pool_age_ms: float) -> None:
        """Handle the connection of the worker pool.

        The worker pool came up `worker_pool_age_ms` ago, and the directory listed the server at that time. The first
        report is sent at its regular point in the period, unless the directory entry could expire if that report were
        lost. In that case it is due at once.
        """
        if self.phase is not SlowStartPhase.PROCESS_STARTED:
            return
        self._handle_event(SlowStartEvent.WORKER_POOL_CONNECTED, now_ms)
        in_phase_at_ms = next_in_phase(now_ms, self.report_period_ms, self._phase_in_report_period)
        may_expire = in_phase_at_ms - now_ms + worker_pool_age_ms > DIRECTORY_ENTRY_LIFETIME_MS - self.report_period_ms
        self._periodic_report_at_ms = now_ms if may_expire else in_phase_at_ms

    def report_sent(self, now_ms: float) -> None:
        """Handle a report that was sent to the directory."""
        self._health_reports_at_ms = [at_ms for at_ms in self._health_reports_at_ms if at_ms > now_ms]
        if now_ms >= self._periodic_report_at_ms:
            self._periodic_report_at_ms = next_in_phase(now_ms, self.report_period_ms, self._phase_in_report_period)
        self._handle_event(
            SlowStartEvent.COLD_REPORT_SENT if self._is_cold else SlowStartEvent.WARM_REPORT_SENT,
            now_ms,
        )

    def health_changed(self, now_ms: float) -> None:
        """Schedule reports of a change of health: one at once, and repeats a little later."""
        self._health_reports_at_ms = [now_ms, *(now_ms + delay_ms for delay_ms in HEALTH_REPORT_REPEATS_MS)]

    def call_started(self, now_ms: float) -> None:
        """Handle the start of a call to the dependency."""
        self._handle_event(
            SlowStartEvent.COLD_CALL_STARTED if self._is_cold else SlowStartEvent.WARM_CALL_STARTED,
            now_ms,
        )

    def check_warm_up_time(self, now_ms: float) -> None:
        """Consider the machine warm once its warm-up time has passed.

        A server that makes few calls cannot tell from their answers that it is warm. The warm-up time starts again at
        each observed overload or failure.
        """
        if now_ms - self._last_overload_at_ms >= self._warm_up_ms:
            self._handle_event(SlowStartEvent.WARM_UP_TIME_PASSED, now_ms)

    def change_dependency_share(self, dependency_share: float) -> None:
        """Change this server's share of the calls; the call limit does not exceed it."""
        self._dependency_share = max(INITIAL_CONCURRENT_CALLS, dependency_share)
        self._call_limit = min(self._call_limit, self._dependency_share)

    def call_answered(self, now_ms: float, took_ms: float) -> None:
        """Handle a call that was answered or timed out.

        `took_ms` is inf for a rejected or timed-out call, which always counts as slow.
        """
        self._backoff.after_success()
        self._consecutive_failures = 0
        if self.phase is SlowStartPhase.BACKING_OFF:
            self._end_backing_off(now_ms)
        if self.phase in (SlowStartPhase.FIRST_CALLS, SlowStartPhase.RAMPING_UP):
            self._count_answer(now_ms, took_ms)

    def call_failed(self, now_ms: float) -> None:
        """Handle a failed call: it did not reach the dependency, was lost in transit, or was answered with an error."""
        if self.phase is SlowStartPhase.PROCESS_STARTED:
            return
        self._last_overload_at_ms = now_ms
        self._consecutive_failures += 1
        if self._consecutive_failures < FAILURES_UNTIL_BACKOFF:
            return
        if self.phase is not SlowStartPhase.BACKING_OFF:
            self._interruption = Interruption(self.phase, self._call_limit, now_ms)
        self._call_limit = INITIAL_CONCURRENT_CALLS
        self._round.discard_round()
        resume_at_ms = now_ms + self._backoff.after_failure(now_ms)
        self._calls_resume_at_ms = max(self._calls_resume_at_ms, resume_at_ms)
        self._handle_event(SlowStartEvent.DEPENDENCY_FAILED, now_ms)

    def _end_backing_off(self, now_ms: float) -> None:
        interruption = self._interruption
        was_short = now_ms - interruption.began_at_ms < MAX_SHORT_OUTAGE_MS
        is_resumed = was_short and interruption.phase is not SlowStartPhase.WORKER_POOL_CONNECTED
        self._call_limit = interruption.call_limit if is_resumed else INITIAL_CONCURRENT_CALLS
        self._calls_resume_at_ms = now_ms
        self._handle_event(
            SlowStartEvent.SHORT_OUTAGE_ENDED if is_resumed else SlowStartEvent.LONG_OUTAGE_ENDED,
            now_ms,
        )
        self._round.discard_round()

    def _count_answer(self, now_ms: float, took_ms: float) -> None:
        """Add an answer to the round; raise the call limit after a fast round, and lower it after a slow one."""
        self._round.add_answer(took_ms)
        if not self._round.is_complete(self._call_limit):
            return
        if self._round.evaluate_round():  # the round was slow
            self._call_limit = max(INITIAL_CONCURRENT_CALLS, self._call_limit / RAMP_FACTOR)
            self._last_overload_at_ms = now_ms
        else:
            self._call_limit = min(self._dependency_share, self._call_limit * RAMP_FACTOR)
        self._handle_event(
            SlowStartEvent.SHARE_REACHED if self._call_limit >= self._dependency_share else SlowStartEvent.ROUND_JUDGED,
            now_ms,
        )

    @property
    def report_period_ms(self) -> float:
        """The time between reports. The directory entry outlives up to four lost reports in a row."""
        return DIRECTORY_ENTRY_LIFETIME_MS / REPORTS_PER_LIFETIME + REPORT_PERIOD_SLACK_MS

    @property
    def next_report_at_ms(self) -> float:
        """When the next report is due.

        It is inf until the worker pool is connected, since the directory would list a server that cannot do any work.
        """
        if self.phase is SlowStartPhase.PROCESS_STARTED:
            return inf
        return min([self._periodic_report_at_ms, *self._health_reports_at_ms])

    @property
    def max_concurrent_calls(self) -> float:
        """How many calls may be in flight at once; inf if only admission control limits them."""
        return inf if self.phase is SlowStartPhase.WARM else self._call_limit

    def call_pause_ms(self, now_ms: float) -> float:
        """Return how long to wait before the next call."""
        return max(0.0, self._calls_resume_at_ms - now_ms)
