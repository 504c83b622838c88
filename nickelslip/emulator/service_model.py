"""What a service that all servers share is like, in simulated time."""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from math import inf

from nickelslip.emulator.shared_processor import SharedProcessor, warm_up_fraction
from nickelslip.emulator.time_weighted_mean import TimeWeightedMean, excess


@dataclass(frozen=True)
class ServiceProfile:
    """A service that all servers share.

    Attributes:
        slots: How many calls it works on at full speed.
        call_ms: The work of a call.
        crowding_loss: By how much less is done in all, for each multiple of the slots that is in flight beyond them.
        survivable_in_flight: It goes down with more calls in flight than this in the mean.
        window_ms: The span of that mean.
        abandoned_call_linger_ms: How long a cancelled call stays in flight.
        down_ms: How long it stays down.
        initial_speed_fraction: The speed when it comes up.
        warm_up_ms: How long it takes to full speed.
    """

    slots: int = 16
    call_ms: float = 5.0
    crowding_loss: float = 0.3
    survivable_in_flight: float = 64.0
    window_ms: float = 2000.0
    abandoned_call_linger_ms: float = 100.0
    down_ms: float = 3000.0
    initial_speed_fraction: float = 1.0
    warm_up_ms: float = 0.0


class Service:
    """The shared service, in all its incarnations.

    Args:
        profile: What it is like.
        now_ms: The moment of the start.

    Attributes:
        slowdown: The factor by which it is slower than usual.
        down_until_ms: It is down before this moment.
        overload_failure_count: How often it went down by overload.
        overload_ms: How long the mean in flight was over what it survives.
        max_in_flight: Most calls in flight at once.
        call_count: How many calls began.
        worst_excess: Of the mean in flight over what it survives.
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
        crowding = max(0.0, call_count / profile.slots - 1)
        age_ms = now_ms - self._up_at_ms
        fraction = warm_up_fraction(age_ms, profile.initial_speed_fraction, profile.warm_up_ms)
        speed = fraction * min(1.0, profile.slots / call_count)
        return speed / (1 + profile.crowding_loss * crowding) / self.slowdown

    def is_down(self, now_ms: float) -> bool:
        """Return whether it is down."""
        return now_ms < self.down_until_ms

    def in_flight(self, now_ms: float) -> int:
        """Return how many calls are in flight, with those cancelled that linger."""
        self._lingering_until_ms = [until_ms for until_ms in self._lingering_until_ms if until_ms > now_ms]
        return len(self._processor) + len(self._lingering_until_ms)

    def begin_call(self, now_ms: float, key: Hashable, work_ms: float) -> None:
        """Begin a call of so much work."""
        self.call_count += 1
        self._processor.add(now_ms, key, work_ms)
        self._update_in_flight(now_ms)

    def cancel_call(self, now_ms: float, key: Hashable) -> None:
        """Cancel a call that nobody waits for any more."""
        if self._processor.remove(now_ms, key):
            self._lingering_until_ms.append(now_ms + self.profile.abandoned_call_linger_ms)
        self._update_in_flight(now_ms)

    def take_finished(self, now_ms: float) -> list[Hashable]:
        """Return the calls that are finished by now; by overload it may go down, and then has no calls any more."""
        finished = self._processor.take_finished(now_ms)
        self._update_in_flight(now_ms)
        if not self.is_down(now_ms) and self._mean_in_flight.mean(now_ms) > self.profile.survivable_in_flight:
            self.overload_failure_count += 1
            self.fail(now_ms, self.profile.down_ms)
        return finished

    def fail(self, now_ms: float, for_ms: float) -> None:
        """Go down, and come up again with a new warm-up after `for_ms`."""
        self._processor.clear(now_ms)
        self._lingering_until_ms.clear()
        self._update_in_flight(now_ms)
        self.down_until_ms = now_ms + for_ms
        self._up_at_ms = self.down_until_ms

    def next_change_at_ms(self) -> float:
        """Return when to look for finished calls again."""
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
