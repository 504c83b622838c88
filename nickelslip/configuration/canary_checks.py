"""The tests of the canary analysis: each compares the metrics since a change with the baseline and may find harm.

`canary_analysis` runs them in order, and explains the reasons that they give.
"""

from __future__ import annotations

from math import sqrt
from typing import NamedTuple

from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.expected_completions import (
    IDLE_CPU_FRACTION,
    BaselineProfile,
    displaced_work_of_groups,
    expected_completions,
)
from nickelslip.configuration.metrics_window import BATCH_BUCKET_COUNT, Baseline, MetricsWindow, Variability
from nickelslip.configuration.request_metrics import ClassTenantPair, RequestCounts


def load_ratio(baseline: Baseline, window: MetricsWindow) -> float:
    """Return the ratio of the request rate to that of the baseline; 1 if either is unknown."""
    if not window.duration_ms or not baseline.duration_ms:
        return 1.0
    received_before = baseline.total().received
    received = window.total().received
    if not received_before:
        return 1.0
    return received / window.duration_ms / (received_before / baseline.duration_ms)


# Memory usage

MAX_MEMORY_FRACTION = 0.95
MAX_BASELINE_MEMORY_FRACTION = 0.9


def check_memory(baseline: Baseline, window: MetricsWindow) -> CanaryVerdict | None:
    """Test whether memory has nearly run out since the change.

    The input is the largest sample of the used memory. More than ``MAX_MEMORY_FRACTION`` is harm, but only if the
    baseline stayed below ``MAX_BASELINE_MEMORY_FRACTION``: the change does not cause a shortage that existed before.
    """
    used = window.max_memory_fraction
    used_before = baseline.max_memory_fraction
    if used > MAX_MEMORY_FRACTION and used_before < MAX_BASELINE_MEMORY_FRACTION:
        return CanaryVerdict(CanaryStatus.HARM, f"memory: {used:.2f} of it in use, {used_before:.2f} before")
    return None


# Requests completed in time

MIN_MISSING_FRACTION = 0.15  # of the expected completions; a smaller loss never justifies a rollback, however certain
MIN_MISSING_COUNT = 5.0  # requests
ANSCOMBE_OFFSET = 0.375


def check_completed_in_time(
    profile: BaselineProfile,
    window: MetricsWindow,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test whether a traffic class or a tenant has fewer requests completed in time than its baseline predicts.

    The input for each group, which is a traffic class or a tenant, is the number of requests completed in time since
    the change and the number expected from the baseline. It is harm if the missing requests are at least
    ``MIN_MISSING_COUNT``, at least ``MIN_MISSING_FRACTION`` of the expected ones, and at least ``min_standard_errors``
    standard errors. Groups are tested in the order of the baseline, and the first one with harm determines the verdict.
    """
    for name, pairs, displaced_work_per_ms in displaced_work_of_groups(profile, window):
        harm = _check_group(name, pairs, profile, window, displaced_work_per_ms, min_standard_errors)
        if harm is not None:
            return harm
    return None


def _check_group(
    name: str,
    pairs: set[ClassTenantPair],
    profile: BaselineProfile,
    window: MetricsWindow,
    displaced_work_per_ms: float,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test whether a group has fewer requests completed in time than expected."""
    baseline = profile.baseline
    counts_before = baseline.counts_of(pairs)
    if not counts_before.received or not counts_before.completed_in_time:
        return None
    counts = window.counts_of(pairs)
    expected = expected_completions(pairs, profile, window, displaced_work_per_ms)
    completed_per_ms = counts.completed_in_time / window.duration_ms
    # Divided and multiplied again, so that it has the same rounding as ``expected``; this value is also stored.
    completed = completed_per_ms * window.duration_ms
    if expected - completed < max(MIN_MISSING_COUNT, MIN_MISSING_FRACTION * expected):
        return None
    variability = profile.variability[name]
    standard_errors = _standard_errors_of_count(expected, completed, variability, baseline, window)
    if window.cpu_fraction < IDLE_CPU_FRACTION:
        standard_errors = max(
            standard_errors, _standard_errors_of_fraction(counts_before, counts, variability, window.bucket_count)
        )
    if standard_errors < min_standard_errors:
        return None
    return CanaryVerdict(
        CanaryStatus.HARM,
        f"{name}: {completed:.0f} answered in their quoted time where {expected:.0f} were due",
        {
            "expected": round(expected, 1),
            "in_time": completed,
            "sigmas": round(standard_errors, 2),
            "load": round(load_ratio(baseline, window), 3),
        },
    )


def _standard_errors_of_count(
    expected: float,
    completed: float,
    variability: Variability,
    baseline: Baseline,
    window: MetricsWindow,
) -> float:
    """Return by how many standard errors a count is below the expected one.

    Anscombe's transform gives a Poisson count a variance of 1. The expected count is itself estimated from a count, so
    its variance is added in proportion to the two durations.
    """
    difference = 2 * (sqrt(expected + ANSCOMBE_OFFSET) - sqrt(completed + ANSCOMBE_OFFSET))
    return difference / sqrt(variability.dispersion * (1 + window.duration_ms / baseline.duration_ms))


def _standard_errors_of_fraction(
    counts_before: RequestCounts,
    counts: RequestCounts,
    variability: Variability,
    bucket_count: int,
) -> float:
    """Return by how many standard errors the fraction completed in time is below that of the baseline.

    This detects harm sooner than the count does, since the number of received requests is known. It is valid only while
    cores are idle: otherwise a rise in load lowers the fraction as well.
    """
    if not counts_before.received or not counts.received:
        return 0.0
    expected = counts_before.completed_in_time / counts_before.received * counts.received
    # Laplace's rule keeps the pooled fraction above 0 and below 1, as long as no more requests were completed than
    # received. More can be completed, since requests received before the window and retries are counted only on
    # completion. The fraction is therefore limited to 1.
    fraction = min(
        1.0,
        (counts_before.completed_in_time + counts.completed_in_time + 1)
        / (counts_before.received + counts.received + 2),
    )
    binomial_variance = fraction * (1 - fraction) * counts.received
    variance = max(variability.batch_variance * bucket_count / BATCH_BUCKET_COUNT, binomial_variance, 1.0)
    return (expected - counts.completed_in_time) / sqrt(variance * (1 + counts.received / counts_before.received))


# Failed requests and calls

MIN_FAILURE_COUNT = 5.0  # requests or calls
MIN_FAILED_FRACTION_RISE = 0.03  # of all answers
FAILED_FRACTION_RISE_PER_LOAD = 0.1  # additional rise allowed per multiple of the baseline load above 1
MIN_FAILED_CALL_FRACTION_RISE = 0.1  # of all calls


class FailureCount(NamedTuple):
    """The number of failures and the total number of requests or calls."""

    failed: int
    total: int

    @property
    def fraction(self) -> float:
        """The failed fraction. The total must not be 0."""
        return self.failed / self.total


def check_failed_requests(
    baseline: Baseline,
    window: MetricsWindow,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test whether a larger fraction of the answers are failures than before the change.

    The input is the number of failed requests and of all answers. It is harm if at least ``MIN_FAILURE_COUNT`` failed,
    and the fraction rose by at least ``MIN_FAILED_FRACTION_RISE`` and by at least ``min_standard_errors`` standard
    errors. A rise in load alone makes some requests fail, so the threshold grows by
    ``FAILED_FRACTION_RISE_PER_LOAD`` times the additional load.
    """
    counts_before = baseline.total()
    counts = window.total()
    load = load_ratio(baseline, window)
    return _check_failures(
        "forfeits",
        FailureCount(counts_before.failed, counts_before.answered),
        FailureCount(counts.failed, counts.answered),
        MIN_FAILED_FRACTION_RISE + FAILED_FRACTION_RISE_PER_LOAD * max(0.0, load - 1),
        min_standard_errors,
        load,
    )


def check_failed_calls(
    baseline: Baseline,
    window: MetricsWindow,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test whether a larger fraction of the dependency calls fail than before the change.

    The input is the number of failed calls and of all calls that ended. It is harm if at least ``MIN_FAILURE_COUNT``
    failed, and the fraction rose by at least ``MIN_FAILED_CALL_FRACTION_RISE`` and by at least ``min_standard_errors``
    standard errors.
    """
    return _check_failures(
        "calls",
        FailureCount(baseline.failed_call_count, baseline.call_count),
        FailureCount(window.failed_call_count, window.call_count),
        MIN_FAILED_CALL_FRACTION_RISE,
        min_standard_errors,
        load_ratio(baseline, window),
    )


def _check_failures(
    kind: str,
    before: FailureCount,
    since: FailureCount,
    min_rise: float,
    min_standard_errors: float,
    load: float,
) -> CanaryVerdict | None:
    """Test whether the fraction of failures has risen, with a two-proportion z-test."""
    if not before.total or not since.total or since.failed < MIN_FAILURE_COUNT:
        return None
    rise = since.fraction - before.fraction
    if rise < min_rise:
        return None
    pooled = (before.failed + since.failed + 1) / (before.total + since.total + 2)
    standard_errors = rise / sqrt(pooled * (1 - pooled) * (1 / before.total + 1 / since.total))
    if standard_errors < min_standard_errors:
        return None
    return CanaryVerdict(
        CanaryStatus.HARM,
        f"{kind}: {since.failed} of {since.total}, before {before.failed} of {before.total}",
        {"sigmas": round(standard_errors, 2), "load": round(load, 3)},
    )
