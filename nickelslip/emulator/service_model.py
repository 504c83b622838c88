"""A model of a service that all servers share, in simulated time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from math import inf

from nickelslip.emulator.shared_processor import SharedProcessor, warm_up_fraction
from nickelslip.emulator.time_weighted_mean import TimeWeightedMean, excess


@dataclass(frozen=True)
class ServiceProfile:
    """The parameters of a service that all servers share.

    Attributes:
        slots: Number of calls that it can process at full speed at the same time.
        call_ms: The work of a call.
        contention_loss: Loss of total throughput for each multiple of `slots` in flight beyond the first.
        survivable_in_flight: The service goes down if the mean number of calls in flight exceeds this.
        window_ms: The time span of that mean.
        abandoned_call_linger_ms: How long a cancelled call stays in flight.
        down_ms: How long the service stays down.
        initial_speed_fraction: The fraction of the full speed when it comes up.
        warm_up_ms: Time until full speed.
    """

    slots: int = 16
    call_ms: float = 5.0
    contention_loss: float = 0.3
    survivable_in_flight: float = 64.0
    window_ms: float = 2000.0
    abandoned_call_linger_ms: float = 100.0
    down_ms: float = 3000.0
    initial_speed_fraction: float = 1.0
    warm_up_ms: float = 0.0


class Service:
    """The shared service, across all its incarnations.

    Args:
        profile: The parameters of the service.
        now_ms: The time of the start.

    Attributes:
        slowdown: The factor by which it is slower than usual.
        down_until_ms: The service is down until this time.
        overload_failure_count: Number of failures from overload.
        overload_ms: Total time in which the mean number of calls in flight exceeded the survivable one.
        max_in_flight: Maximum number of calls in flight at once.
        call_count: Number of calls started.
        worst_excess: Largest excess of the mean number of calls in flight over the survivable one.
    """

    def __init__(self, profile: ServiceProfile, now_ms: float) -> None:
        self.profile = profile
        self.slowdown = 1.0
        self.down_until_ms = -inf
        self.overload_failure_count = 0
        self.overload_ms = 0.0
        self.max_in_flight = 0
        self.call_count = 0
        self.worst_excess = -inf
        self._up_at_ms = now_ms
        self._processor = SharedProcessor(now_ms, self._speed)
        self._lingering_until_ms: list[float] = []
        self._mean_in_flight = TimeWeightedMean(profile.window_ms, now_ms)
        self._updated_at_ms = now_ms

    def _speed(self, now_ms: float, call_count: int) -> float:
        profile = self.profile
        contention = max(0.0, call_count / profile.slots - 1)
        age_ms = now_ms - self._up_at_ms
        fraction = warm_up_fraction(age_ms, profile.initial_speed_fraction, profile.warm_up_ms)
        speed = fraction * min(1.0, profile.slots / call_count)
        return speed / (1 + profile.contention_loss * contention) / self.slowdown

    def is_down(self, now_ms: float) -> bool:
        """Return whether the service is down."""
        return now_ms < self.down_until_ms

    def in_flight(self, now_ms: float) -> int:
        """Return the number of calls in flight, including cancelled calls that linger."""
        self._lingering_until_ms = [until_ms for until_ms in self._lingering_until_ms if until_ms > now_ms]
        return len(self._processor) + len(self._lingering_until_ms)

    def begin_call(self, now_ms: float, key: Hashable, work_ms: float) -> None:
        """Begin a call with this amount of work."""
        self.call_count += 1
        self._processor.add(now_ms, key, work_ms)
        self._update_in_flight(now_ms)

    def cancel_call(self, now_ms: float, key: Hashable) -> None:
        """Cancel a call that its caller abandoned."""
        if self._processor.remove(now_ms, key):
            self._lingering_until_ms.append(now_ms + self.profile.abandoned_call_linger_ms)
        self._update_in_flight(now_ms)

    def take_finished(self, now_ms: float) -> list[Hashable]:
        """Return the calls that are finished by now; if overloaded, the service goes down and drops all other calls."""
        finished = self._processor.take_finished(now_ms)
        self._update_in_flight(now_ms)
        if not self.is_down(now_ms) and self._mean_in_flight.mean(now_ms) > self.profile.survivable_in_flight:
            self.overload_failure_count += 1
            self.fail(now_ms, self.profile.down_ms)
        return finished

    def fail(self, now_ms: float, for_ms: float) -> None:
        """Go down for `for_ms`; afterwards the service warms up again."""
        self._processor.clear(now_ms)
        self._lingering_until_ms.clear()
        self._update_in_flight(now_ms)
        self.down_until_ms = now_ms + for_ms
        self._up_at_ms = self.down_until_ms

    def next_change_at_ms(self) -> float:
        """Return the time at which `take_finished` must be called next."""
        return self._processor.next_change_at_ms()

    def _update_in_flight(self, now_ms: float) -> None:
        mean = self._mean_in_flight.mean(now_ms)
        self.worst_excess = max(self.worst_excess, excess(mean, self.profile.survivable_in_flight))
        if mean > self.profile.survivable_in_flight:
            self.overload_ms += now_ms - self._updated_at_ms
        self._updated_at_ms = now_ms
        in_flight = self.in_flight(now_ms)
        self.max_in_flight = max(self.max_in_flight, in_flight)
        self._mean_in_flight.set(now_ms, in_flight)
