"""What the parties round a server are like: machines, a shared service, the directory's list.

Owns the models, in simulated time: each is told what happens with the time in milliseconds, and says what comes of it
and when to look again. It must never do I/O, read a clock or draw from chance that it was not given.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from math import inf, sqrt

CHANCE = 2.0, 2.0  # over a budget of N so many times its root, and so much more, is put down to chance
LOOK_MS = 50.0  # speeds that change with time are looked at anew at least so often


def excess(figure: float, budget: float) -> float:
    """By how much a figure is over its budget, in units of what is put down to chance: over 1 it is none."""
    return (figure - budget) / (CHANCE[0] * sqrt(budget) + CHANCE[1])


class Level:
    """A level over time, and its mean over the latest span."""

    def __init__(self, span_ms: float, now: float) -> None:
        self._span, self._began = span_ms, now
        self._steps: deque[tuple[float, float]] = deque([(now, 0.0)])  # from when, how much
        self._area = 0.0  # of all steps that are over

    def set(self, now: float, level: float) -> None:
        """From now on it is this."""
        at, old = self._steps[-1]
        if old == level:
            return
        self._area += old * (now - at)
        self._steps.append((now, level))

    def mean(self, now: float) -> float:
        """Over the latest span, what lay before the beginning counted as nothing."""
        begin = now - self._span
        while len(self._steps) > 1 and self._steps[1][0] <= begin:
            (at, old), (then, _) = self._steps[0], self._steps[1]
            self._area -= old * (then - at)
            self._steps.popleft()
        at, level = self._steps[0]
        before = level * max(0.0, begin - at)
        last_at, last = self._steps[-1]
        return (self._area + last * (now - last_at) - before) / self._span


class Jobs:
    """Work that shares one speed: each job gets on by `speed(now, number)` a millisecond, all of them alike."""

    def __init__(self, now: float, speed: Callable[[float, int], float]) -> None:
        self._at, self._done, self._speed = now, 0.0, speed
        self._ends: list[tuple[float, int, Hashable]] = []
        self._left: dict[Hashable, tuple[float, int]] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._left

    def _advance(self, now: float) -> None:
        if self._left:
            self._done += (now - self._at) * self._speed(self._at, len(self._left))
        self._at = now

    def add(self, now: float, key: Hashable, work_ms: float) -> None:
        """A job with so much work, in milliseconds at a speed of 1."""
        self._advance(now)
        self._number += 1
        self._left[key] = self._done + work_ms, self._number
        heapq.heappush(self._ends, (*self._left[key], key))

    def drop(self, now: float, key: Hashable) -> bool:
        """Take it off; whether it was there."""
        self._advance(now)
        return self._left.pop(key, None) is not None

    def clear(self, now: float) -> None:
        """Take all off."""
        self._advance(now)
        self._left.clear()
        self._ends.clear()

    def next_at(self) -> float:
        """When to look again: at the first end, or sooner, since the speed may change meanwhile."""
        self._prune()
        if not self._ends:
            return inf
        speed = self._speed(self._at, len(self._left))
        return self._at + min(LOOK_MS, max(0.0, (self._ends[0][0] - self._done) / max(speed, 1e-9)))

    def finished(self, now: float) -> list[Hashable]:
        """Those that are done by now, in their order."""
        self._advance(now)
        out = []
        while self._prune() and self._ends[0][0] <= self._done + 1e-6:
            out.append(heapq.heappop(self._ends)[2])
            del self._left[out[-1]]
        return out

    def _prune(self) -> bool:
        while self._ends and self._left.get(self._ends[0][2], (0.0, 0))[1] != self._ends[0][1]:
            heapq.heappop(self._ends)
        return bool(self._ends)


def warmth(age_ms: float, cold_from: float, cold_ms: float) -> float:
    """The share of its speed that something has which started cold so long ago: it rises evenly."""
    return min(1.0, cold_from + (1 - cold_from) * max(0.0, age_ms) / cold_ms) if cold_ms > 0 else 1.0


@dataclass(frozen=True)
class MachineKind:
    """The cores of a worker pool. Past `crowd_at` runs a core it gets less done in all; it falls over when over
    `fall_multiple` runs a core are on it in the mean over `fall_ms`, sooner while it is cold."""

    cores: int = 2
    speed: float = 1.0
    crowd_at: float = 3.0
    crowd_loss: float = 0.15
    cold_from: float = 1.0
    cold_ms: float = 0.0
    cold_calls: float = 1.0  # calls of a wholly cold one, as a multiple of a warm one's
    fall_multiple: float = 8.0
    fall_ms: float = 1500.0


class Machine:
    """One worker pool's cores, in one life."""

    def __init__(self, kind: MachineKind, now: float) -> None:
        self.kind, self._began, self.fell, self.worst = kind, now, False, -inf  # the last: worst excess while cold
        self._jobs = Jobs(now, self._speed)
        self._crowd = Level(kind.fall_ms, now)

    def warmth(self, now: float) -> float:
        return warmth(now - self._began, self.kind.cold_from, self.kind.cold_ms)

    def calls_factor(self, now: float) -> float:
        """By how much more is called than on a warm one."""
        return 1 + (self.kind.cold_calls - 1) * (1 - self.warmth(now))

    def _speed(self, now: float, number: int) -> float:
        kind = self.kind
        over = max(0.0, number / kind.cores - kind.crowd_at)
        return kind.speed * self.warmth(now) * min(1.0, kind.cores / number) / (1 + kind.crowd_loss * over)

    def start(self, now: float, key: Hashable, work_ms: float) -> None:
        self._jobs.add(now, key, work_ms)
        self._count(now)

    def stop(self, now: float, key: Hashable) -> bool:
        """Take it off the cores; whether it was on them."""
        was = self._jobs.drop(now, key)
        self._count(now)
        return was

    def finished(self, now: float) -> list[Hashable]:
        """Those that are done by now; whether it fell over is told by `fell`."""
        done = self._jobs.finished(now)
        self._count(now)
        warm, crowd = self.warmth(now), self._crowd.mean(now)
        survives = self.kind.cores * (1 + (self.kind.fall_multiple - 1) * warm)
        self.fell = self.fell or crowd > survives
        if warm < 1:
            self.worst = max(self.worst, excess(crowd, survives))
        return done

    def next_at(self) -> float:
        return self._jobs.next_at()

    @property
    def busy(self) -> float:
        """The share of the cores that is busy."""
        return min(1.0, len(self._jobs) / self.kind.cores)

    @property
    def running(self) -> int:
        return len(self._jobs)

    def _count(self, now: float) -> None:
        self._crowd.set(now, len(self._jobs))


@dataclass(frozen=True)
class ServiceKind:
    """A service that all servers share. It has so many slots, gets slower when more calls are in its hands, and
    goes down when over `survives` of them are, in the mean over `span_ms`; it comes back cold."""

    slots: int = 16
    call_ms: float = 5.0
    crowd_loss: float = 0.3
    survives: float = 64.0
    span_ms: float = 2000.0
    linger_ms: float = 100.0  # a call given up stays in its hands so long
    down_ms: float = 3000.0
    cold_from: float = 1.0
    cold_ms: float = 0.0


class Service:
    """The shared service; all its lives."""

    def __init__(self, kind: ServiceKind, now: float) -> None:
        self.kind, self._began = kind, now
        self.slowness = 1.0  # by which it is slower than usual
        self.down_until = -inf
        self.falls, self.over_ms, self.most, self.calls = 0, 0.0, 0, 0
        self.worst = -inf  # excess of what is in hand over what it survives
        self._jobs = Jobs(now, self._speed)
        self._lingering: list[float] = []
        self._level, self._looked = Level(kind.span_ms, now), now

    def _speed(self, now: float, number: int) -> float:
        crowd = max(0.0, number / self.kind.slots - 1)
        warm = warmth(now - self._began, self.kind.cold_from, self.kind.cold_ms)
        return warm * min(1.0, self.kind.slots / number) / (1 + self.kind.crowd_loss * crowd) / self.slowness

    def down(self, now: float) -> bool:
        return now < self.down_until

    def in_hand(self, now: float) -> int:
        """Calls that it has, those given up and not yet gone included."""
        self._lingering = [until for until in self._lingering if until > now]
        return len(self._jobs) + len(self._lingering)

    def begin(self, now: float, key: Hashable, work_ms: float) -> None:
        """A call, of so much work."""
        self.calls += 1
        self._jobs.add(now, key, work_ms)
        self._count(now)

    def give_up(self, now: float, key: Hashable) -> None:
        """Nobody waits for this call any more."""
        if self._jobs.drop(now, key):
            self._lingering.append(now + self.kind.linger_ms)
        self._count(now)

    def finished(self, now: float) -> list[Hashable]:
        """Calls that are answered by now. It may go down instead: then it has no calls any more."""
        done = self._jobs.finished(now)
        self._count(now)
        if not self.down(now) and self._level.mean(now) > self.kind.survives:
            self.falls += 1
            self.fall(now, self.kind.down_ms)
        return done

    def fall(self, now: float, for_ms: float) -> None:
        """It goes down, and comes back cold after a while."""
        self._jobs.clear(now)
        self._lingering.clear()
        self._count(now)
        self.down_until = self._began = now + for_ms

    def next_at(self) -> float:
        return self._jobs.next_at()

    def _count(self, now: float) -> None:
        mean = self._level.mean(now)
        self.worst = max(self.worst, excess(mean, self.kind.survives))
        if mean > self.kind.survives:
            self.over_ms += now - self._looked
        self._looked = now
        self.most = max(self.most, self.in_hand(now))
        self._level.set(now, self.in_hand(now))


class Listing:
    """The directory's list: who came up or reported lately. While it is down it hears nothing and no entry lapses."""

    def __init__(self, lapse_ms: float = 3000.0) -> None:
        self._lapse, self._last = lapse_ms, dict[str, float]()
        self.is_down = False

    def report(self, now: float, name: str) -> bool:
        """A report, or the start of a worker pool; whether it was heard."""
        if not self.is_down:
            self._last[name] = now
        return not self.is_down

    def down(self, now: float) -> None:
        """Down, with its entries as they are now."""
        self._drop(now)
        self.is_down = True

    def up(self, now: float, empty: bool = False) -> None:
        """Up again: with the entries that it had, each good for another while, or with none."""
        self.is_down = False
        self._last = {} if empty else dict.fromkeys(self._last, now)

    def listed(self, now: float) -> list[str]:
        if not self.is_down:
            self._drop(now)
        return list(self._last)

    def _drop(self, now: float) -> None:
        self._last = {name: at for name, at in self._last.items() if now - at <= self._lapse}
