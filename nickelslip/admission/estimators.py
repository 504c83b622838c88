"""Estimators that the rules use: sliding-window sums, means of recent samples, a histogram of client timeouts."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

DEFAULT_BUCKET_COUNT = 16
LONG_TERM_WEIGHT = 2.0  # the long-term mean counts as much as this many recent samples
LONG_TERM_SAMPLE_LIMIT = 64  # each sample has at least the weight 1 / limit in the long-term mean

TIMEOUT_BIN_COUNT = 64
TIMEOUT_SAMPLE_LIMIT = 512  # counts are halved when they reach this total
MIN_TIMEOUT_SAMPLES = 16  # with fewer samples no timeout counts as unusual
USUAL_TIMEOUT_FRACTION = 1 / 8  # a timeout sent with at least this fraction of the requests is usual


class WindowTotal(NamedTuple):
    """Sum and count of the samples within a window."""

    amount: float
    sample_count: float


class RemainingAmount(NamedTuple):
    """The largest sum between the `after_ms` of the previous entry and this one, if no samples are added.

    The first entry covers the time from now.
    """

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
        """Clear the buckets that have left the window, and return the index of the current one."""
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
        """Add an amount and a number of samples to the current bucket."""
        index = self._advance(now_ms)
        self._amounts[index] += amount
        self._counts[index] += count

    def total(self, now_ms: float) -> WindowTotal:
        """Return sum and count over the window that ends now."""
        self._advance(now_ms)
        return WindowTotal(sum(self._amounts), sum(self._counts))

    def remaining_after_each_bucket(self, now_ms: float) -> list[RemainingAmount]:
        """Return the largest sum in each further bucket width, as the oldest buckets leave the window one by one."""
        index = self._advance(now_ms)
        bucket_count = len(self._amounts)
        amount = sum(self._amounts)
        remaining = []
        for step in range(1, bucket_count + 1):
            remaining.append(RemainingAmount(step * self._bucket_ms, amount))
            amount -= self._amounts[(index + step) % bucket_count]
        return remaining


class RecentMean:
    """A mean of recent samples, weighted with the long-term mean.

    The long-term mean dominates while there are few recent samples. Before the first sample, both means are equal to
    the `initial_guess`.
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
        """Return sum and count of the recent samples, without the long-term mean."""
        return self._recent.total(now_ms)

    def recent_mean(self, now_ms: float) -> float:
        """Return the mean of the recent samples, or the initial guess if there are too few of them."""
        amount, count = self._recent.total(now_ms)
        return amount / count if count >= LONG_TERM_WEIGHT else self._initial_guess

    def mean(self, now_ms: float) -> float:
        """Return the weighted mean of the recent samples and the long-term mean."""
        if self._cached_at_ms != now_ms:
            amount, count = self._recent.total(now_ms)
            self._cached_at_ms = now_ms
            self._cached_mean = (amount + LONG_TERM_WEIGHT * self._long_term_mean) / (count + LONG_TERM_WEIGHT)
        return self._cached_mean


class ClientTimeoutHistogram:
    """Histogram of the timeouts that clients send with their requests.

    Most requests carry one of a few usual timeouts. A retry carries only the remaining time of its client, which is
    shorter than these, and so shows how long ago the first attempt was sent.
    """

    __slots__ = ("_counts", "_total_count")

    def __init__(self) -> None:
        self._counts = [0] * (TIMEOUT_BIN_COUNT + 2)
        self._total_count = 0

    def record(self, timeout_fraction: float) -> bool:
        """Record a timeout as a fraction of the class's timeout, and return whether it is an unusual one."""
        if self._total_count >= TIMEOUT_SAMPLE_LIMIT:
            self._counts = [count // 2 for count in self._counts]
            self._total_count = sum(self._counts)
        index = min(max(int(timeout_fraction * TIMEOUT_BIN_COUNT), 0), TIMEOUT_BIN_COUNT)
        self._counts[index] += 1
        self._total_count += 1
        similar_count = sum(self._counts[max(index - 1, 0) : index + 2])
        has_enough_samples = self._total_count >= MIN_TIMEOUT_SAMPLES
        return has_enough_samples and similar_count < USUAL_TIMEOUT_FRACTION * self._total_count
