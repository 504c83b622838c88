"""The limit of dependency calls during the slow start, as the admission controller is told it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from nickelslip.admission.controller import AdmissionController
from nickelslip.server.log_sampling import is_power_of_two
from nickelslip.startup.slow_start import SlowStartPhase

if TYPE_CHECKING:  # types only; importing them would lengthen the start
    from nickelslip.admission.interface import Settings
    from nickelslip.server.decision_executor import DecisionExecutor
    from nickelslip.startup.slow_start import SlowStart

MIN_DEPENDENCY_SHARE = 1.0  # a share that is not configured must not forbid all calls


def dependency_share_of(settings: Settings) -> float:
    """Return the mean number of concurrent calls that is this server's share; 0 if no class makes calls."""
    if not any(traffic_class.makes_calls for traffic_class in settings.traffic_classes):
        return 0.0
    return max(settings.dependency_concurrency_share, MIN_DEPENDENCY_SHARE)


class CallLimit:
    """Tells the controller how many calls the slow start allows, and logs the phases of the slow start.

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
        self._max_concurrent_calls = inf  # as the controller was told last
        self._phase = SlowStartPhase.PROCESS_STARTED
        self._phase_counts = Counter[SlowStartPhase]()

    def update(self) -> None:
        """Tell the controller the limit if it has changed, or if no call may be made for some time."""
        now_ms = self._clock()
        self._slow_start.time_passed(now_ms)
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
        """Log a change of phase, of each phase the 1st, 2nd, 4th and so on."""
        phase = self._slow_start.phase
        if phase is self._phase:
            return
        self._phase = phase
        self._phase_counts[phase] += 1
        count = self._phase_counts[phase]
        if is_power_of_two(count):
            self._log.info("slow_start_phase", phase=phase.name, meaning=phase.value, count=count)
