"""Canary analysis: tests whether requests perform worse after a configuration change than before it.

``CanaryAnalysis.evaluate`` is called a few times a second during the canary period and compares the metrics since the
change with a ``Baseline``. It runs the tests below in this order; the first one that finds harm determines the verdict.
A change is rolled back once ``REQUIRED_CONSECUTIVE_FINDINGS`` evaluations in a row have found harm of the same kind.

To find out why a change was rolled back, look up the start of the reason (in the log, the status and the history):

===================================  ===========================  ==========================================
Reason starts with                   Test                         Figures in the reason or beside it
===================================  ===========================  ==========================================
``memory:``                          ``check_memory``             used memory since and before
``grade NAME:``, ``customer NAME:``  ``check_completed_in_time``  completed in time, expected, sigmas, load
``forfeits:``                        ``check_failed_requests``    failed and answered requests, sigmas, load
``calls:``                           ``check_failed_calls``       failed and ended calls, sigmas, load
===================================  ===========================  ==========================================

``sigmas`` is the difference in standard errors. ``load`` is the ratio of the request rate to that of the baseline. The
texts of the reasons and the keys of the figures are stored and read by clients. They must not change, even where the
code uses other names.

The expectation for each traffic class and tenant is what the old configuration would have achieved under the current
load. A rise in load alone therefore does not count as harm, and a good total cannot hide that one class or tenant is
starved.

This module has no clock and does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from math import sqrt
from typing import NamedTuple

from nickelslip.configuration.expected_completions import (
    IDLE_CPU_FRACTION,
    BaselineProfile,
    displaced_work_of_groups,
    expected_completions,
)
from nickelslip.configuration.metrics_window import BATCH_BUCKET_COUNT, Baseline, MetricsWindow, Variability
from nickelslip.configuration.request_metrics import BUCKET_MS, ClassTenantPair, MetricsBucket, RequestCounts

# This time after a change is not evaluated, since requests decided before the change are still being answered.
SETTLE_MS = 250.0
# The latest metrics of this duration are also evaluated separately, so that harm that begins late is not diluted by the
# harmless time before it.
RECENT_MS = 3000.0
REQUIRED_CONSECUTIVE_FINDINGS = 2

# Required for the verdict that a change does no harm
MIN_EXPECTED_COMPLETIONS = 40.0  # requests expected since the change at the baseline rate
MIN_COMPLETIONS = MIN_EXPECTED_COMPLETIONS / 4
MAX_CONCLUSIVE_LOAD_RATIO = 1.5  # above it, the allowance for the additional load would hide harm


class CanaryStatus(Enum):
    """The status of a change in its canary period."""

    INSUFFICIENT_DATA = "not enough data for a decision"
    SUSPECTED = "one evaluation has found harm; the next one confirms or dismisses it"
    NO_HARM = "no statistically significant harm"
    HARM = "requests perform worse than before the change"


@dataclass(frozen=True)
class CanaryVerdict:
    """The result of one evaluation.

    Attributes:
        status: The status of the change.
        reason: The finding as text. For harm, it starts with the kind of harm and a colon.
        figures: The figures behind the finding, under the keys that clients read.
    """

    status: CanaryStatus
    reason: str
    figures: dict[str, float] = field(default_factory=dict)


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


class CanaryAnalysis:
    """The analysis of one change in its canary period.

    Args:
        baseline: The metrics of the time before the change.
        changed_at_ms: When the change was made.
        standard_errors: The number of standard errors at which a difference counts as significant.

    Attributes:
        evaluated_until_ms: Time from which the next evaluation needs buckets.
    """

    def __init__(self, baseline: Baseline, changed_at_ms: float, standard_errors: float) -> None:
        self._baseline = baseline
        self._min_standard_errors = standard_errors
        self.restart(changed_at_ms)
        self._profile = BaselineProfile(baseline)

    def restart(self, now_ms: float) -> None:
        """Discard all metrics recorded so far, because they do not reflect the change."""
        self.evaluated_until_ms = now_ms + SETTLE_MS
        self._window_since_change = MetricsWindow()
        self._recent_buckets = deque[MetricsBucket](maxlen=int(RECENT_MS / BUCKET_MS))
        self._last_harm_kind = ""
        self._consecutive_findings = 0

    def evaluate(self, buckets: Iterable[MetricsBucket]) -> CanaryVerdict:
        """Add buckets and return the verdict on all metrics recorded since the change.

        Args:
            buckets: The complete buckets from ``evaluated_until_ms`` to now, oldest first.
        """
        for bucket in buckets:
            self._window_since_change.add(bucket)
            self._recent_buckets.append(bucket)
            self.evaluated_until_ms = (bucket.number + 1) * BUCKET_MS
        harm = self._find_harm(self._window_since_change)
        if harm is None and self._window_since_change.bucket_count > len(self._recent_buckets):
            harm = self._find_harm(MetricsWindow(self._recent_buckets))
        if harm is None:
            self._last_harm_kind = ""
            self._consecutive_findings = 0
            return self._assess_without_harm()
        return self._require_repetition(harm)

    def _require_repetition(self, harm: CanaryVerdict) -> CanaryVerdict:
        """Return the finding as harm if enough findings in a row were of its kind, else as suspected."""
        kind = harm.reason.split(":")[0]
        self._consecutive_findings = self._consecutive_findings + 1 if kind == self._last_harm_kind else 1
        self._last_harm_kind = kind
        if self._consecutive_findings >= REQUIRED_CONSECUTIVE_FINDINGS:
            return harm
        return CanaryVerdict(CanaryStatus.SUSPECTED, harm.reason, harm.figures)

    def _find_harm(self, window: MetricsWindow) -> CanaryVerdict | None:
        """Run the tests in order and return the first harm found."""
        baseline = self._baseline
        if not window.duration_ms or not baseline.duration_ms:
            return None
        return (
            check_memory(baseline, window)
            or check_completed_in_time(self._profile, window, self._min_standard_errors)
            or check_failed_requests(baseline, window, self._min_standard_errors)
            or check_failed_calls(baseline, window, self._min_standard_errors)
        )

    def _assess_without_harm(self) -> CanaryVerdict:
        """Return the verdict for the case without harm: NO_HARM if there is enough data for it."""
        baseline = self._baseline
        load = load_ratio(baseline, self._window_since_change)
        completed = self._window_since_change.total().completed_in_time
        completed_before = baseline.total().completed_in_time
        expected = 0.0
        if baseline.duration_ms:
            expected = completed_before * self._window_since_change.duration_ms / baseline.duration_ms
        figures = {"load": round(load, 3), "expected": round(expected, 1), "in_time": float(completed)}
        if expected < MIN_EXPECTED_COMPLETIONS or completed < MIN_COMPLETIONS:
            return CanaryVerdict(CanaryStatus.INSUFFICIENT_DATA, "too few transactions to tell", figures)
        if load > MAX_CONCLUSIVE_LOAD_RATIO:
            return CanaryVerdict(CanaryStatus.INSUFFICIENT_DATA, "the load has risen too far to tell", figures)
        return CanaryVerdict(CanaryStatus.NO_HARM, "no harm that could be told from chance", figures)
