"""The table of remembered transactions.

Owns the keys, the transactions remembered by them and the results kept for repeats. It must never decide what is
remembered, or for how long: that is the module's. Results are bounded by this process's memory.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from nickelslip.admission.interface import Outcome, Repeat
from nickelslip.server.transactions import Finished, Transaction


class Entry:
    """A remembered transaction."""

    __slots__ = ("holder", "until", "result", "over")

    def __init__(self, holder: Transaction, until: float) -> None:
        self.holder, self.until = holder, until
        self.result: bytes | None = None
        self.over = False


class Table:
    """Keys and the transactions remembered by them, as the module says; results are bounded by this process's
    memory, and a repeat whose result was let go is answered with a failure, never run."""

    def __init__(self, clock: Callable[[], float], result_bytes: float) -> None:
        self._clock = clock
        self._entries: dict[tuple[str, str], Entry] = {}
        self._kept: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._bytes, self._bytes_most = 0, result_bytes

    def _key(self, one: Transaction) -> tuple[str, str] | None:
        return None if one.asked.key is None else (one.asked.grade, one.asked.key)

    def _replayable(self, one: Transaction) -> bool:
        return one.generation.repeats[one.asked.grade] is Repeat.REPLAYABLE

    def forerunner(self, one: Transaction) -> Transaction | None:
        """The remembered transaction of which this is a repeat, or a like read whose answer still serves."""
        key = self._key(one)
        entry = self._entries.get(key) if key else None
        if entry is None or key is None:
            return None
        if entry.until <= self._clock():
            self._drop(key)
            return None
        return entry.holder

    def clashes(self, one: Transaction) -> bool:
        """Whether its idempotency key stands for another transaction: a repeat has its first try's body and customer.
        Joined, whoever has seen a key would be answered with what was never made for it."""
        earlier = self.forerunner(one)
        return (earlier is not None and one.generation.repeats[one.asked.grade] is Repeat.REFERENCED
                and (earlier.asked.body, earlier.asked.customer) != (one.asked.body, one.asked.customer))

    def forget(self, one: Transaction) -> None:
        """It is proven never to have run: who comes under its key is the first."""
        key = self._key(one)
        if key is not None and key in self._entries and self._entries[key].holder is one:
            self._drop(key)

    def remember(self, one: Transaction, span_ms: float) -> None:
        key = self._key(one)
        if key is None:
            return
        if span_ms > 0:
            referenced = one.generation.repeats[one.asked.grade] is Repeat.REFERENCED
            if referenced or one.generation.settings.fresh_ms > 0:
                old = self._entries.get(key)
                if old is not None and old.holder is not one:
                    self._drop(key)
                entry = self._entries.setdefault(key, Entry(one, 0.0))
                entry.until = self._clock() + span_ms
        else:
            self.forget(one)

    def join(self, one: Transaction) -> None:
        """Let a repeat have its forerunner's result, now or when it is there."""
        key = self._key(one)
        entry = self._entries.get(key) if key else None
        if entry is not None and not entry.over:
            entry.holder.joiners.append(one)
        elif entry is not None and entry.result is not None:
            one.post(Finished(Outcome.OK, 0.0, entry.result))
        else:
            one.post(Finished(Outcome.ERROR, 0.0))

    def settle(self, one: Transaction, outcome: Outcome, body: bytes = b"") -> None:
        """A transaction is over: what joined it learns how, and a good result is kept for those still to come."""
        now = self._clock()
        joiners, one.joiners = one.joiners, []
        for each in joiners:
            each.post(Finished(Outcome.OK if outcome is Outcome.OK else Outcome.ERROR, now - each.joined_since, body))
        key = self._key(one)
        entry = self._entries.get(key) if key else None
        if entry is None or key is None or entry.holder is not one or entry.over:
            return
        entry.over = True
        if outcome is Outcome.OK:
            entry.result = body
            self._kept[key] = len(body)
            self._bytes += len(body)
            if self._replayable(one):
                entry.until = min(entry.until, now + one.generation.settings.fresh_ms)
            while self._bytes > self._bytes_most:
                old, size = self._kept.popitem(last=False)
                self._bytes -= size
                if self._replayable(self._entries[old].holder):
                    del self._entries[old]  # the next read of it simply runs
                else:
                    self._entries[old].result = None
        elif self._replayable(one):
            self._drop(key)

    def _drop(self, key: tuple[str, str]) -> None:
        del self._entries[key]
        self._bytes -= self._kept.pop(key, 0)

    def purge(self) -> None:
        now = self._clock()
        for key in [key for key, entry in self._entries.items() if entry.until <= now]:
            self._drop(key)
