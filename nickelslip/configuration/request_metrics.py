"""What becomes of transactions, counted by service grade and customer in fixed buckets of time.

Owns the buckets, which are used again in a ring, and nothing of what the counts mean: judge.py compares them. It has
no clock and does no I/O; an event costs one look-up and an addition, whatever is kept. Memory is bounded by the ring
and by the number of pairs that are told apart.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from nickelslip.admission.interface import RequestState

BUCKET_MS = 250.0
PAIRS_MOST = 256  # of grade and customer; what comes beyond counts under its grade alone
Pair = tuple[str, str]


class Counts:
    """Of one pair in one bucket. `reads` are first tries only: a dismissal brings its further tries along, and they
    would pass for a rise of the load."""

    __slots__ = ("reads", "in_time", "late", "dismissed", "forfeited", "abandoned", "work_ms")

    def __init__(self) -> None:
        self.reads = self.in_time = self.late = self.dismissed = self.forfeited = self.abandoned = 0
        self.work_ms = 0.0  # of those in time

    def add(self, other: Counts) -> None:
        """Count another's with this one's."""
        self.reads += other.reads
        self.in_time += other.in_time
        self.late += other.late
        self.dismissed += other.dismissed
        self.forfeited += other.forfeited
        self.abandoned += other.abandoned
        self.work_ms += other.work_ms


class MetricsBucket:
    """A quarter of a second."""

    __slots__ = ("number", "pairs", "calls", "calls_bad", "memory", "weight", "weights", "busy", "busies")

    def __init__(self, number: int) -> None:
        self.clear(number)

    def clear(self, number: int) -> None:
        """Begin anew as the bucket of this number."""
        self.number = number
        self.pairs: dict[Pair, Counts] = {}
        self.calls = self.calls_bad = self.weights = self.busies = 0
        self.memory = self.weight = self.busy = 0.0


class RequestMetrics:
    """The counts of the last `span_ms`."""

    def __init__(self, span_ms: float, quoted_ms: Mapping[str, float]) -> None:
        self._ring = [MetricsBucket(-1) for _ in range(int(span_ms / BUCKET_MS) + 2)]
        self._now = self._ring[0]
        self._pairs: set[Pair] = set()
        self._quoted: Mapping[str, float] = quoted_ms

    def set_latency_objectives(self, quoted_ms: Mapping[str, float]) -> None:
        """From here on, an answer counts as in time up to these quoted times."""
        self._quoted = quoted_ms

    @property
    def latency_objectives_ms(self) -> Mapping[str, float]:
        return self._quoted

    def _bucket(self, now: float) -> MetricsBucket:
        number = int(now // BUCKET_MS)
        if number > self._now.number:
            self._now = self._ring[number % len(self._ring)]
            self._now.clear(number)
        return self._now

    def _counts(self, now: float, grade: str, customer: str | None) -> Counts:
        pairs, pair = self._bucket(now).pairs, (grade, customer or "")
        counts = pairs.get(pair)
        if counts is None:
            if pair not in self._pairs:
                if len(self._pairs) >= PAIRS_MOST:
                    pair = (grade, "")
                self._pairs.add(pair)
            counts = pairs.setdefault(pair, Counts())
        return counts

    def request_received(self, now: float, grade: str, customer: str | None) -> None:
        """A first try was read."""
        self._counts(now, grade, customer).reads += 1

    def request_ended(
        self, now: float, grade: str, customer: str | None, state: RequestState, elapsed_ms: float, work_ms: float
    ) -> None:
        """A transaction has its answer, or has been abandoned, so long after it reached the machine."""
        counts = self._counts(now, grade, customer)
        if state is RequestState.COMPLETED:
            if elapsed_ms <= self._quoted.get(grade, 0.0):
                counts.in_time += 1
                counts.work_ms += work_ms
            else:
                counts.late += 1
        elif state is RequestState.REJECTED:
            counts.dismissed += 1
        elif state is RequestState.FAILED:
            counts.forfeited += 1
        else:
            counts.abandoned += 1

    def call_ended(self, now: float, bad: bool) -> None:
        """A call to the records has ended, well or badly."""
        bucket = self._bucket(now)
        bucket.calls += 1
        bucket.calls_bad += bad

    def sample_server(self, now: float, weight: float, memory: float | None, busy: float | None) -> None:
        """The weight that is said, as a part of all there is; the memory in use and the busy part of the cores, where
        they are known."""
        bucket = self._bucket(now)
        bucket.weight, bucket.weights = bucket.weight + weight, bucket.weights + 1
        bucket.memory = max(bucket.memory, memory or 0.0)
        if busy is not None:
            bucket.busy, bucket.busies = bucket.busy + busy, bucket.busies + 1

    def between(self, begin: float, end: float) -> Iterator[MetricsBucket]:
        """The whole buckets of this time, the oldest first; one in which nothing happened is empty."""
        first, past = -int(-begin // BUCKET_MS), int(end // BUCKET_MS)
        oldest = max(first, self._now.number - len(self._ring) + 2)
        for number in range(oldest, past):
            bucket = self._ring[number % len(self._ring)]
            yield bucket if bucket.number == number else MetricsBucket(number)
