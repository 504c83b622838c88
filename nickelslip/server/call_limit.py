"""The limit of concurrent dependency calls during the slow start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from nickelslip.admission.controller import AdmissionController
from nickelslip.server.log_sampling import is_power_of_two
from nickelslip.startup.slow_start import SlowStartPhase

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.admission.interface import Settings
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.startup.slow_start import SlowStart

MIN_DEPENDENCY_SHARE = 1.0  # an unconfigured share is 0, which the slow start would take for a server without calls


def dependency_share_of(settings: Settings) -> float:
    """Return this server's share of the dependency's concurrency, as a mean number of calls in flight.

    The share is 0 if no traffic class makes calls.
    """
    if not any(traffic_class.makes_calls for traffic_class in settings.traffic_classes):
        return 0.0
    return max(settings.dependency_concurrency_share, MIN_DEPENDENCY_SHARE)


class CallLimit:
    """Sets the controller's limit of concurrent calls during the slow start, and logs the slow start's phases.

    Args:
        log: Log of the server.
        clock: Returns the current time in milliseconds.
        slow_start: The slow start.
        executor: Calls the controller.
    """

    def __init__(self, log: Any, clock: Callable[[], float], slow_start: SlowStart, executor: DecisionExecutor) -> None:
        self._log = log
        self._clock = clock
        self._slow_start = slow_start
        self._executor = executor
        self._max_concurrent_calls = inf  # last value set in the controller
        self._phase = SlowStartPhase.PROCESS_STARTED
        self._phase_counts = Counter[SlowStartPhase]()

    def update(self) -> None:
        """Update the controller if the limit has changed or if calls are to be paused."""
        now_ms = self._clock()
        self._slow_start.check_warm_up_time(now_ms)
        self._log_phase()
        max_concurrent_calls = self._slow_start.max_concurrent_calls
        pause_ms = self._slow_start.call_pause_ms(now_ms)
        if max_concurrent_calls == self._max_concurrent_calls and pause_ms <= 0:
            return
        if not self._executor.is_ready:
            return
        self._max_concurrent_calls = max_concurrent_calls
        self._executor.decide(AdmissionController.limit_calls, max_concurrent_calls, pause_ms)

    def _log_phase(self) -> None:
        """Log a change of phase; of each phase only the 1st, 2nd, 4th, 8th ... is logged."""
        phase = self._slow_start.phase
        if phase is self._phase:
            return
        self._phase = phase
        self._phase_counts[phase] += 1
        count = self._phase_counts[phase]
        if is_power_of_two(count):
            self._log.info("slow_start_phase", phase=phase.name, meaning=phase.value, count=count)
