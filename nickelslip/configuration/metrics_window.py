"""Sums of request metrics over a time span, and the baseline with which a canary period is compared."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf, sqrt
from statistics import median
from typing import NamedTuple

from nickelslip.configuration.request_metrics import BUCKET_MS, ClassTenantPair, MetricsBucket, RequestCounts

# Load bursts, which are excluded from a baseline
BURST_SPAN_BUCKET_COUNT = 4
BURST_LOAD_RATIO = 1.5  # of the median load of a span
BURST_STANDARD_DEVIATIONS = 3  # of a Poisson count

# Variability of the completions in time
BATCH_BUCKET_COUNT = 2  # buckets whose counts form one observation
MIN_BATCH_COUNT = 4  # with fewer batches the variability is unknown
NORMAL_DEVIATION_PER_MEDIAN = 1.4826  # standard deviation of a normal distribution over its median absolute deviation
MAX_RESIDUAL_DEVIATIONS = 2.0  # standard deviations to which the residual of a batch is clipped
MAX_AUTOCORRELATION = 0.7  # clips the estimate, which is unreliable with few batches
MIN_SUM_OF_SQUARES = 1e-9  # avoids a division by zero

LOW_WEIGHT_DIVISOR = 10  # the low weight is the lowest decile of the samples


class MetricsWindow:
    """Sums the buckets of a time span by traffic class and tenant.

    Args:
        buckets: The first buckets, oldest first.
    """

    def __init__(self, buckets: Iterable[MetricsBucket] = ()) -> None:
        self.bucket_count = 0
        self.counts: dict[ClassTenantPair, RequestCounts] = {}
        self.call_count = 0
        self.failed_call_count = 0
        self.max_memory_fraction = 0.0
        self._cpu_sum = 0.0
        self._cpu_sample_count = 0
        self._weight_sum = 0.0
        self._weight_sample_count = 0
        for bucket in buckets:
            self.add(bucket)

    def add(self, bucket: MetricsBucket) -> None:
        """Add the next bucket."""
        self.bucket_count += 1
        for pair, counts in bucket.counts.items():
            total = self.counts.get(pair)
            if total is None:
                total = self.counts[pair] = RequestCounts()
            total.add(counts)
        self.call_count += bucket.call_count
        self.failed_call_count += bucket.failed_call_count
        self.max_memory_fraction = max(self.max_memory_fraction, bucket.max_memory_fraction)
        self._cpu_sum += bucket.cpu_sum
        self._cpu_sample_count += bucket.cpu_sample_count
        self._weight_sum += bucket.weight_sum
        self._weight_sample_count += bucket.weight_sample_count

    @property
    def duration_ms(self) -> float:
        """Length of the time span."""
        return self.bucket_count * BUCKET_MS

    @property
    def cpu_fraction(self) -> float:
        """Mean utilization of the cores; 1 if it is unknown."""
        return self._cpu_sum / self._cpu_sample_count if self._cpu_sample_count else 1.0

    @property
    def weight(self) -> float:
        """Mean advertised weight, as a fraction of the full weight; 1 if it is unknown."""
        return self._weight_sum / self._weight_sample_count if self._weight_sample_count else 1.0

    def groups(self) -> dict[str, set[ClassTenantPair]]:
        """Return the pairs of each traffic class and of each tenant, keyed by the name of the group."""
        groups: dict[str, set[ClassTenantPair]] = {}
        for pair in self.counts:
            traffic_class, tenant = pair
            groups.setdefault(f"grade {traffic_class}", set()).add(pair)
            if tenant:
                groups.setdefault(f"customer {tenant}", set()).add(pair)
        return groups

    def counts_of(self, pairs: Iterable[ClassTenantPair]) -> RequestCounts:
        """Return the total of these pairs."""
        total = RequestCounts()
        for pair in pairs:
            counts = self.counts.get(pair)
            if counts is not None:
                total.add(counts)
        return total

    def total(self) -> RequestCounts:
        """Return the total of all pairs."""
        return self.counts_of(self.counts)


class Variability(NamedTuple):
    """How much the completions in time of a group vary from batch to batch.

    Attributes:
        dispersion: Ratio of the variance of the count to that of a Poisson count, at least 1. It includes the effect of
            the autocorrelation of consecutive batches.
        batch_variance: Variance that one batch adds to the count if the number of received requests is known. A
            negative autocorrelation of the batches reduces it. Infinite if unknown.
    """

    dispersion: float
    batch_variance: float


class Baseline(MetricsWindow):
    """The metrics of the time span before a change, without load bursts.

    Args:
        buckets: All buckets of the time span, oldest first.

    Attributes:
        buckets: The buckets outside bursts.
        low_weight: The lowest decile of the advertised weight over these buckets.
    """

    def __init__(self, buckets: Iterable[MetricsBucket]) -> None:
        self.buckets = _without_bursts(list(buckets))
        super().__init__(self.buckets)
        weights = sorted(
            bucket.weight_sum / bucket.weight_sample_count for bucket in self.buckets if bucket.weight_sample_count
        )
        self.low_weight = weights[len(weights) // LOW_WEIGHT_DIVISOR] if weights else 1.0

    def variability(self, pairs: set[ClassTenantPair]) -> Variability:
        """Estimate how much the completions in time of these pairs vary.

        The estimate uses the residuals of the count, given the requests received in the same batch. Variation of the
        load itself is excluded because the comparison allows for it. Otherwise a burst would count as noise.
        """
        total = self.counts_of(pairs)
        batch_count = len(self.buckets) // BATCH_BUCKET_COUNT
        if batch_count < MIN_BATCH_COUNT or not total.completed_in_time or not total.received:
            return Variability(1.0, inf)
        residuals = self._batch_residuals(pairs, batch_count, total.completed_in_time / total.received)
        residuals = _clip_outliers(residuals)
        variance = sum(residual * residual for residual in residuals) / (batch_count - 1)
        products = sum(residual * following for residual, following in zip(residuals, residuals[1:], strict=False))
        autocorrelation = products / max(variance * (batch_count - 1), MIN_SUM_OF_SQUARES)
        autocorrelation = min(max(autocorrelation, -MAX_AUTOCORRELATION), MAX_AUTOCORRELATION)
        positive_autocorrelation = max(autocorrelation, 0.0)
        mean = total.completed_in_time / batch_count
        return Variability(
            dispersion=max(1.0, variance / mean) * (1 + positive_autocorrelation) / (1 - positive_autocorrelation),
            batch_variance=variance * (1 + autocorrelation) / (1 - autocorrelation),
        )

    def _batch_residuals(
        self,
        pairs: set[ClassTenantPair],
        batch_count: int,
        in_time_fraction: float,
    ) -> list[float]:
        """Return, for each batch, the completions in time minus those expected from its received requests."""
        residuals = [0.0] * batch_count
        for position, bucket in enumerate(self.buckets[: batch_count * BATCH_BUCKET_COUNT]):
            for pair, counts in bucket.counts.items():
                if pair in pairs:
                    expected = in_time_fraction * counts.received
                    residuals[position // BATCH_BUCKET_COUNT] += counts.completed_in_time - expected
        return residuals


def _clip_outliers(residuals: list[float]) -> list[float]:
    """Clip outliers, so that one bad second does not hide harm in the rest of the time."""
    max_residual = MAX_RESIDUAL_DEVIATIONS * NORMAL_DEVIATION_PER_MEDIAN * median(map(abs, residuals))
    if max_residual <= 0:
        return residuals
    return [min(max(residual, -max_residual), max_residual) for residual in residuals]


def _without_bursts(buckets: list[MetricsBucket]) -> list[MetricsBucket]:
    """Return the buckets without those of spans that received far more requests than the median span."""
    spans = [
        buckets[start : start + BURST_SPAN_BUCKET_COUNT] for start in range(0, len(buckets), BURST_SPAN_BUCKET_COUNT)
    ]
    received = [sum(counts.received for bucket in span for counts in bucket.counts.values()) for span in spans]
    median_received = median(received) if received else 0.0
    max_received = max(
        BURST_LOAD_RATIO * median_received, median_received + BURST_STANDARD_DEVIATIONS * sqrt(median_received)
    )
    return [bucket for span, count in zip(spans, received, strict=True) for bucket in span if count <= max_received]
