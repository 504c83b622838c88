"""What the rules learn from: sums over a sliding window, means of recent samples, a histogram of client timeouts."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

DEFAULT_BUCKET_COUNT = 16
LONG_TERM_WEIGHT = 2.0  # the long-term mean counts as so many recent samples
LONG_TERM_SAMPLE_LIMIT = 64  # each sample moves the long-term mean by at least one part in so many

TIMEOUT_BIN_COUNT = 64
TIMEOUT_SAMPLE_LIMIT = 512  # counts are halved when so many timeouts have been recorded
MIN_TIMEOUT_SAMPLES = 16  # with fewer samples no timeout is called unusual
USUAL_TIMEOUT_FRACTION = 1 / 8  # a timeout that this fraction of the requests carry is a usual one


class WindowTotal(NamedTuple):
    """Sum and count of what was added within a window."""

    amount: float
    sample_count: float


class RemainingAmount(NamedTuple):
    """What will be left of a window's sum after a span, if nothing is added meanwhile."""

    after_ms: float
    amount: float


class SlidingWindowSum:
    """Sum and count over the latest `window_ms`, kept in a ring of buckets."""

    __slots__ = ("_bucket_ms", "_amounts", "_counts", "_latest_bucket")

    def __init__(self, window_ms: float, bucket_count: int = DEFAULT_BUCKET_COUNT) -> None:
        self._bucket_ms = window_ms / bucket_count
        self._amounts = [0.0] * bucket_count
        self._counts = [0.0] * bucket_count
        self._latest_bucket = 0

    def _advance(self, now_ms: float) -> int:
        """Clear the buckets that have left the window; return the index of the current one."""
        bucket = int(now_ms // self._bucket_ms)
        bucket_count = len(self._amounts)
        if bucket > self._latest_bucket:
            first_expired = max(self._latest_bucket + 1, bucket - bucket_count + 1)
            for expired in range(first_expired, bucket + 1):
                self._amounts[expired % bucket_count] = 0.0
                self._counts[expired % bucket_count] = 0.0
            self._latest_bucket = bucket
        return self._latest_bucket % bucket_count

    def add(self, now_ms: float, amount: float, count: float = 1.0) -> None:
        """Add an amount at this moment."""
        index = self._advance(now_ms)
        self._amounts[index] += amount
        self._counts[index] += count

    def total(self, now_ms: float) -> WindowTotal:
        """Return sum and count over the window that ends now."""
        self._advance(now_ms)
        return WindowTotal(sum(self._amounts), sum(self._counts))

    def remaining_after_each_bucket(self, now_ms: float) -> list[RemainingAmount]:
        """Return what is left of the sum after each coming bucket width, as the buckets leave one by one."""
        index = self._advance(now_ms)
        bucket_count = len(self._amounts)
        amount = sum(self._amounts)
        remaining = []
        for step in range(1, bucket_count + 1):
            remaining.append(RemainingAmount(step * self._bucket_ms, amount))
            amount -= self._amounts[(index + step) % bucket_count]
        return remaining


class RecentMean:
    """A mean of recent samples that leans on the long-term mean while they are few.

    Until a sample comes, both are the `initial_guess`.
    """

    __slots__ = ("_recent", "_initial_guess", "_long_term_mean", "_sample_count", "_cached_at_ms", "_cached_mean")

    def __init__(self, initial_guess: float, window_ms: float) -> None:
        self._recent = SlidingWindowSum(window_ms)
        self._initial_guess = initial_guess
        self._long_term_mean = initial_guess
        self._sample_count = 0
        self._cached_at_ms = -inf
        self._cached_mean = initial_guess

    def record(self, now_ms: float, sample: float) -> None:
        """Record a sample."""
        self._sample_count += 1
        self._cached_at_ms = -inf
        self._long_term_mean += (sample - self._long_term_mean) / min(self._sample_count + 1, LONG_TERM_SAMPLE_LIMIT)
        self._recent.add(now_ms, sample)

    def recent_samples(self, now_ms: float) -> WindowTotal:
        """Return sum and count of the recent samples alone."""
        return self._recent.total(now_ms)

    def recent_mean(self, now_ms: float) -> float:
        """Return the mean of the recent samples alone, or the initial guess while there are too few of them."""
        amount, count = self._recent.total(now_ms)
        return amount / count if count >= LONG_TERM_WEIGHT else self._initial_guess

    def mean(self, now_ms: float) -> float:
        """Return the mean of the recent samples and the long-term mean, weighted."""
        if self._cached_at_ms != now_ms:
            amount, count = self._recent.total(now_ms)
            self._cached_at_ms = now_ms
            self._cached_mean = (amount + LONG_TERM_WEIGHT * self._long_term_mean) / (count + LONG_TERM_WEIGHT)
        return self._cached_mean


class ClientTimeoutHistogram:
    """Which timeouts clients usually send along with their requests.

    The usual ones stand out. A retry whose client is about to give up carries what is left of its patience, which is
    less than those, and so reveals how old it is.
    """

    __slots__ = ("_counts", "_total_count")

    def __init__(self) -> None:
        self._counts = [0] * (TIMEOUT_BIN_COUNT + 2)
        self._total_count = 0

    def record(self, timeout_fraction: float) -> bool:
        """Record a timeout, as a fraction of the class's longest; return whether it is none of the usual ones."""
        if self._total_count >= TIMEOUT_SAMPLE_LIMIT:
            self._counts = [count // 2 for count in self._counts]
            self._total_count = sum(self._counts)
        index = min(max(int(timeout_fraction * TIMEOUT_BIN_COUNT), 0), TIMEOUT_BIN_COUNT)
        self._counts[index] += 1
        self._total_count += 1
        similar_count = sum(self._counts[max(index - 1, 0) : index + 2])
        has_enough_samples = self._total_count >= MIN_TIMEOUT_SAMPLES
        return has_enough_samples and similar_count < USUAL_TIMEOUT_FRACTION * self._total_count
