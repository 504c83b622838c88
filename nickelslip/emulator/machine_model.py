"""What the machine of a worker pool is like, in simulated time."""

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
        cores: How many there are.
        speed: Work done in a millisecond by a core.
        crowded_above_per_core: With more runs on a core less is done in all.
        crowding_loss: By how much less, for each run more on a core.
        initial_speed_fraction: The speed at the start.
        warm_up_ms: How long it takes to full speed.
        cold_calls_factor: Calls at no speed at all, as a multiple of those at full speed.
        overload_per_core: It falls over with more runs on a core than this in the mean, sooner while it warms up.
        overload_window_ms: The span of that mean.
    """

    cores: int = 2
    speed: float = 1.0
    crowded_above_per_core: float = 3.0
    crowding_loss: float = 0.15
    initial_speed_fraction: float = 1.0
    warm_up_ms: float = 0.0
    cold_calls_factor: float = 1.0
    overload_per_core: float = 8.0
    overload_window_ms: float = 1500.0


class Machine:
    """One worker pool's cores, in one incarnation.

    Args:
        profile: What they are like.
        now_ms: The moment of the start.

    Attributes:
        has_fallen: Whether it fell over.
        worst_excess: Of concurrency over what it survives, the worst while it warmed up.
    """

    def __init__(self, profile: MachineProfile, now_ms: float) -> None:
        self.has_fallen = False
        self.worst_excess = -inf
        self._profile = profile
        self._started_at_ms = now_ms
        self._processor = SharedProcessor(now_ms, self._speed)
        self._concurrency = TimeWeightedMean(profile.overload_window_ms, now_ms)

    def warm_up_fraction(self, now_ms: float) -> float:
        """Return which fraction of its full speed it has."""
        age_ms = now_ms - self._started_at_ms
        return warm_up_fraction(age_ms, self._profile.initial_speed_fraction, self._profile.warm_up_ms)

    def calls_factor(self, now_ms: float) -> float:
        """Return how many calls runs make, as a multiple of those at full speed."""
        return 1 + (self._profile.cold_calls_factor - 1) * (1 - self.warm_up_fraction(now_ms))

    def _speed(self, now_ms: float, run_count: int) -> float:
        profile = self._profile
        crowding = max(0.0, run_count / profile.cores - profile.crowded_above_per_core)
        speed = profile.speed * self.warm_up_fraction(now_ms) * min(1.0, profile.cores / run_count)
        return speed / (1 + profile.crowding_loss * crowding)

    def start(self, now_ms: float, key: Hashable, work_ms: float) -> None:
        """Put a run on the cores."""
        self._processor.add(now_ms, key, work_ms)
        self._update_concurrency(now_ms)

    def stop(self, now_ms: float, key: Hashable) -> bool:
        """Take a run off the cores; return whether it was on them."""
        was_running = self._processor.remove(now_ms, key)
        self._update_concurrency(now_ms)
        return was_running

    def take_finished(self, now_ms: float) -> list[Hashable]:
        """Take off the runs that are finished by now and return them; `has_fallen` says whether it fell over."""
        finished = self._processor.take_finished(now_ms)
        self._update_concurrency(now_ms)
        fraction = self.warm_up_fraction(now_ms)
        concurrency = self._concurrency.mean(now_ms)
        survivable = self._profile.cores * (1 + (self._profile.overload_per_core - 1) * fraction)
        self.has_fallen = self.has_fallen or concurrency > survivable
        if fraction < 1:
            self.worst_excess = max(self.worst_excess, excess(concurrency, survivable))
        return finished

    def next_change_at_ms(self) -> float:
        """Return when to look for finished runs again."""
        return self._processor.next_change_at_ms()

    @property
    def cpu_utilization(self) -> float:
        """The fraction of the cores that is busy."""
        return min(1.0, len(self._processor) / self._profile.cores)

    @property
    def run_count(self) -> int:
        """How many runs are on the cores."""
        return len(self._processor)

    def _update_concurrency(self, now_ms: float) -> None:
        self._concurrency.set(now_ms, len(self._processor))
