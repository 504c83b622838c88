"""The table of remembered transactions.

Owns the keys, the transactions remembered by them and the results kept for repeats. It must never decide what is
remembered, or for how long: that is the module's. Results are bounded by this process's memory.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from nickelslip.admission.interface import Outcome, RetrySafety
from nickelslip.server.request_events import RunFinished
from nickelslip.server.requests import Request

SLACK_MS = 50.0  # by which, by the protocol, every limit is longer on sockets: that on repeats, too

PURGE_MS = 1000.0


def _repeat(one: Request) -> RetrySafety:
    return one.generation.retry_safety_by_class[one.received.traffic_class]


def _fingerprint(one: Request) -> int:
    """By which a true repeat is known from another transaction under its key. The process draws at its start what this
    is reckoned with, so that nobody can have another body pass."""
    return hash((one.received.body, one.received.tenant))


class IdempotencyRecord:
    """A remembered transaction: itself while it is not over, and then what is left of it."""

    __slots__ = ("number", "fingerprint", "referenced", "holder", "until", "unread_ms", "result")

    def __init__(self, holder: Request) -> None:
        self.number, self.fingerprint = holder.number, _fingerprint(holder)
        self.referenced = _repeat(holder) is RetrySafety.IDEMPOTENCY_KEY
        self.holder: Request | None = holder
        self.until = 0.0
        self.unread_ms = holder.generation.longest_timeout_ms  # a repeat that came in time may lie unread for so long
        self.result: bytes | None = None

    def serves(self, one: Request, now: float) -> bool:
        """Whether this one comes within its time. A referenced one is a repeat by when it came, and not by when it is
        read; and as long as the first try's run is out, or in doubt."""
        if not self.referenced:
            return now < self.until
        return self.holder is not None or min(one.received.received_at_ms, now) <= self.until + SLACK_MS

    def lapsed(self, now: float) -> bool:
        """Whether nothing that may still be read can be served by it."""
        if not self.referenced:
            return self.until <= now
        return self.holder is None and self.until + SLACK_MS + self.unread_ms < now


class IdempotencyTable:
    """Keys and the transactions remembered by them, as the module says; results are bounded by this process's
    memory, and a repeat whose result was let go is answered with a failure, never run."""

    def __init__(self, clock: Callable[[], float], result_bytes: float) -> None:
        self._clock = clock
        self._entries: dict[tuple[str, str], IdempotencyRecord] = {}
        self._kept: OrderedDict[tuple[str, str], int] = OrderedDict()
        self._bytes, self._bytes_most = 0, result_bytes
        self._purge_at = 0.0

    def _key(self, one: Request) -> tuple[str, str] | None:
        return None if one.received.key is None else (one.received.traffic_class, one.received.key)

    def _entry(self, one: Request) -> IdempotencyRecord | None:
        key = self._key(one)
        return self._entries.get(key) if key else None

    def original_of(self, one: Request) -> IdempotencyRecord | None:
        """The remembered transaction of which this is a repeat, or a like read whose answer still serves."""
        entry = self._entry(one)
        return entry if entry is not None and entry.serves(one, self._clock()) else None

    def has_key_conflict(self, one: Request) -> bool:
        """Whether its idempotency key stands for another transaction: a repeat has its first try's body and customer.
        Joined, whoever has seen a key would be answered with what was never made for it."""
        entry = self.original_of(one)
        return entry is not None and entry.referenced and entry.fingerprint != _fingerprint(one)

    def remember(self, one: Request, span_ms: float) -> None:
        key = self._key(one)
        if key is None:
            return
        if span_ms <= 0:
            self.forget(one)
        elif _repeat(one) is RetrySafety.IDEMPOTENCY_KEY or one.generation.settings.response_cache_ms > 0:
            entry = self._entries.get(key)
            if entry is None or entry.number != one.number:
                self._drop(key)
                entry = self._entries[key] = IdempotencyRecord(one)
            entry.until = self._clock() + span_ms

    def forget(self, one: Request) -> None:
        """It never ran, or is not to serve others: who comes under its key is the first."""
        entry, key = self._entry(one), self._key(one)
        if entry is not None and key is not None and entry.number == one.number:
            self._drop(key)

    def coalesce(self, one: Request) -> None:
        """Let a repeat have its forerunner's result, now or when it is there."""
        entry = self._entry(one)
        if entry is not None and entry.holder is not None:
            entry.holder.coalesced_requests.append(one)
        elif entry is not None and entry.result is not None:
            one.deliver(RunFinished(Outcome.OK, 0.0, entry.result))
        else:
            one.deliver(RunFinished(Outcome.ERROR, 0.0))

    def finish(self, one: Request, outcome: Outcome, body: bytes = b"") -> None:
        """A transaction is over: what joined it learns how, and a good result is kept for those still to come."""
        now = self._clock()
        joiners, one.coalesced_requests = one.coalesced_requests, []
        for each in joiners:
            each.deliver(
                RunFinished(Outcome.OK if outcome is Outcome.OK else Outcome.ERROR, now - each.coalesced_at_ms, body)
            )
        entry, key = self._entry(one), self._key(one)
        if entry is None or key is None or entry.holder is not one:
            return
        entry.holder = None
        if outcome is Outcome.OK:
            entry.result = body
            self._kept[key] = len(body)
            self._bytes += len(body)
            if not entry.referenced:
                entry.until = min(entry.until, now + one.generation.settings.response_cache_ms)
            self._let_go()
        elif not entry.referenced:
            self._drop(key)

    def _let_go(self) -> None:
        """Results over what this process's memory has room for, the oldest first."""
        while self._bytes > self._bytes_most:
            old = next(iter(self._kept))
            if self._entries[old].referenced:
                self._bytes -= self._kept.pop(old)
                self._entries[old].result = None
            else:
                self._drop(old)  # the next read of it simply runs

    def _drop(self, key: tuple[str, str]) -> None:
        self._entries.pop(key, None)
        self._bytes -= self._kept.pop(key, 0)

    def purge_expired(self) -> None:
        """Drop what can serve nobody any more; a look through all of it at most once in a while."""
        now = self._clock()
        if now < self._purge_at:
            return
        self._purge_at = now + PURGE_MS
        for key in [key for key, entry in self._entries.items() if entry.lapsed(now)]:
            self._drop(key)
