"""A model of the machine of a worker pool, in simulated time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from math import inf

from nickelslip.emulator.shared_processor import SharedProcessor, warm_up_fraction
from nickelslip.emulator.time_weighted_mean import TimeWeightedMean, excess


@dataclass(frozen=True)
class MachineProfile:
    """The cores of a worker pool.

    Attributes:
        cores: Number of cores.
        speed: Milliseconds of work that a core does per millisecond.
        contention_threshold_per_core: With more runs per core than this, the total throughput decreases.
        contention_loss: The decrease for each additional run per core.
        initial_speed_fraction: The fraction of the full speed at the start.
        warm_up_ms: Time until full speed.
        cold_calls_factor: Calls per run at speed 0, as a multiple of those at full speed.
        overload_per_core: The machine fails if the mean number of runs per core exceeds this; during warm-up it fails
            at a lower mean.
        overload_window_ms: The time span of that mean.
    """

    cores: int = 2
    speed: float = 1.0
    contention_threshold_per_core: float = 3.0
    contention_loss: float = 0.15
    initial_speed_fraction: float = 1.0
    warm_up_ms: float = 0.0
    cold_calls_factor: float = 1.0
    overload_per_core: float = 8.0
    overload_window_ms: float = 1500.0


class Machine:
    """The cores of a worker pool, in one incarnation.

    Args:
        profile: The parameters of the machine.
        now_ms: The time of the start.

    Attributes:
        has_failed: Whether the machine failed from overload.
        worst_excess: Largest excess of the mean concurrency over the survivable one during warm-up.
    """

    def __init__(self, profile: MachineProfile, now_ms: float) -> None:
        self.has_failed = False
        self.worst_excess = -inf
        self._profile = profile
        self._started_at_ms = now_ms
        self._processor = SharedProcessor(now_ms, self._speed)
        self._concurrency = TimeWeightedMean(profile.overload_window_ms, now_ms)

    def warm_up_fraction(self, now_ms: float) -> float:
        """Return the current speed as a fraction of the full speed."""
        age_ms = now_ms - self._started_at_ms
        return warm_up_fraction(age_ms, self._profile.initial_speed_fraction, self._profile.warm_up_ms)

    def calls_factor(self, now_ms: float) -> float:
        """Return the number of calls per run, as a multiple of the number at full speed."""
        return 1 + (self._profile.cold_calls_factor - 1) * (1 - self.warm_up_fraction(now_ms))

    def _speed(self, now_ms: float, run_count: int) -> float:
        profile = self._profile
        contention = max(0.0, run_count / profile.cores - profile.contention_threshold_per_core)
        speed = profile.speed * self.warm_up_fraction(now_ms) * min(1.0, profile.cores / run_count)
        return speed / (1 + profile.contention_loss * contention)

    def start(self, now_ms: float, key: Hashable, work_ms: float) -> None:
        """Start a run on the cores."""
        self._processor.add(now_ms, key, work_ms)
        self._update_concurrency(now_ms)

    def stop(self, now_ms: float, key: Hashable) -> bool:
        """Stop a run; return whether it was on the cores."""
        was_running = self._processor.remove(now_ms, key)
        self._update_concurrency(now_ms)
        return was_running

    def take_finished(self, now_ms: float) -> list[Hashable]:
        """Remove the runs that are finished by now and return them; updates `has_failed` and `worst_excess`."""
        finished = self._processor.take_finished(now_ms)
        self._update_concurrency(now_ms)
        fraction = self.warm_up_fraction(now_ms)
        concurrency = self._concurrency.mean(now_ms)
        survivable = self._profile.cores * (1 + (self._profile.overload_per_core - 1) * fraction)
        self.has_failed = self.has_failed or concurrency > survivable
        if fraction < 1:
            self.worst_excess = max(self.worst_excess, excess(concurrency, survivable))
        return finished

    def next_change_at_ms(self) -> float:
        """Return the time at which `take_finished` must be called next."""
        return self._processor.next_change_at_ms()

    @property
    def cpu_utilization(self) -> float:
        """The fraction of the cores that are busy."""
        return min(1.0, len(self._processor) / self._profile.cores)

    @property
    def run_count(self) -> int:
        """The number of runs on the cores."""
        return len(self._processor)

    def _update_concurrency(self, now_ms: float) -> None:
        self._concurrency.set(now_ms, len(self._processor))
