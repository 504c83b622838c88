"""Canary analysis: whether requests fare worse since a change of the configuration than they did before it.

``CanaryAnalysis.evaluate`` is called a few times a second during the canary period and compares the metrics since the
change with a ``Baseline``. It runs the tests below in this order; the first that finds harm gives the verdict. A change
is rolled back once ``REQUIRED_CONSECUTIVE_FINDINGS`` evaluations in a row found harm of the same kind.

To find out why a change was rolled back, look up the start of the reason (in the log, the status and the history):

===================================  ===========================  ==========================================
Reason starts with                   Test                         Figures in the reason or beside it
===================================  ===========================  ==========================================
``memory:``                          ``check_memory``             used memory since and before
``grade NAME:``, ``customer NAME:``  ``check_completed_in_time``  completed in time, expected, sigmas, load
``forfeits:``                        ``check_failed_requests``    failed and answered requests, sigmas, load
``calls:``                           ``check_failed_calls``       failed and ended calls, sigmas, load
===================================  ===========================  ==========================================

``sigmas`` is the difference in standard errors, ``load`` the received requests over those of the baseline. The words of
reasons and the keys of figures are stored and read by clients, so they differ from the names in the code.

The expectation for a traffic class or a tenant is what the old configuration would have achieved at the present load:
a rise of the load alone is no harm, and a good total does not hide one class or tenant that is starved. The module has
no clock and does no I/O.
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

SETTLE_MS = 250.0  # after the change: requests that were decided before it are still being answered
RECENT_MS = 3000.0  # evaluated by itself, so that late harm is not diluted by the good time before it
REQUIRED_CONSECUTIVE_FINDINGS = 2

# Evidence that a change does no harm
MIN_EXPECTED_COMPLETIONS = 40.0  # requests since the change, by the rate of the baseline
MIN_COMPLETIONS = MIN_EXPECTED_COMPLETIONS / 4
MAX_CONCLUSIVE_LOAD_RATIO = 1.5  # beyond it the allowance for the load hides too much


class CanaryStatus(Enum):
    """What can be said of a change in its canary period."""

    INSUFFICIENT_DATA = "too little has been seen"
    SUSPECTED = "one evaluation has found harm, and the next one confirms or clears it"
    NO_HARM = "no harm that could be told from chance"
    HARM = "requests fare worse than before the change"


@dataclass(frozen=True)
class CanaryVerdict:
    """The result of one evaluation.

    Attributes:
        status: What can be said of the change.
        reason: The finding in words; for harm it starts with the kind of harm and a colon.
        figures: The figures behind the finding, by the keys under which clients read them.
    """

    status: CanaryStatus
    reason: str
    figures: dict[str, float] = field(default_factory=dict)


def load_ratio(baseline: Baseline, window: MetricsWindow) -> float:
    """Return the rate of received requests over that of the baseline; 1 if either is unknown."""
    if not window.duration_ms or not baseline.duration_ms:
        return 1.0
    received_before = baseline.total().received
    received = window.total().received
    if not received_before:
        return 1.0
    return received / window.duration_ms / (received_before / baseline.duration_ms)


# Memory

MAX_MEMORY_FRACTION = 0.95
MAX_BASELINE_MEMORY_FRACTION = 0.9


def check_memory(baseline: Baseline, window: MetricsWindow) -> CanaryVerdict | None:
    """Test whether the memory has nearly run out since the change.

    Input is the largest sample of the used memory. It is harm over ``MAX_MEMORY_FRACTION``, but only if the baseline
    stayed under ``MAX_BASELINE_MEMORY_FRACTION``: memory that was short before is not the change's doing.
    """
    used = window.max_memory_fraction
    used_before = baseline.max_memory_fraction
    if used > MAX_MEMORY_FRACTION and used_before < MAX_BASELINE_MEMORY_FRACTION:
        return CanaryVerdict(CanaryStatus.HARM, f"memory: {used:.2f} of it in use, {used_before:.2f} before")
    return None


# Requests completed in time

MIN_MISSING_FRACTION = 0.15  # of the expected completions; less is no reason to roll back, however certain it is
MIN_MISSING_COUNT = 5.0  # requests
ANSCOMBE_OFFSET = 0.375


def check_completed_in_time(
    profile: BaselineProfile,
    window: MetricsWindow,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test each traffic class and each tenant for requests that are no longer completed in time.

    The input of a group is its count of requests completed in time since the change and the count expected by its
    baseline. It is harm if the missing requests are at least ``MIN_MISSING_COUNT``, at least ``MIN_MISSING_FRACTION``
    of the expected ones, and the difference is at least ``min_standard_errors``. The first group in the order of the
    baseline gives the verdict.
    """
    for name, pairs, displaced_work in displaced_work_of_groups(profile, window):
        harm = _check_group(name, pairs, profile, window, displaced_work, min_standard_errors)
        if harm is not None:
            return harm
    return None


def _check_group(
    name: str,
    pairs: set[ClassTenantPair],
    profile: BaselineProfile,
    window: MetricsWindow,
    displaced_work: float,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test one group for requests that are no longer completed in time."""
    baseline = profile.baseline
    counts_before = baseline.counts_of(pairs)
    if not counts_before.received or not counts_before.completed_in_time:
        return None
    counts = window.counts_of(pairs)
    expected = expected_completions(pairs, profile, window, displaced_work)
    completed_per_ms = counts.completed_in_time / window.duration_ms
    completed = completed_per_ms * window.duration_ms  # rounded as ``expected`` is, and as it is stored
    if expected - completed < max(MIN_MISSING_COUNT, MIN_MISSING_FRACTION * expected):
        return None
    variability = profile.variability[name]
    standard_errors = _count_standard_errors(expected, completed, variability, baseline, window)
    if window.cpu_fraction < IDLE_CPU_FRACTION:
        standard_errors = max(
            standard_errors, _fraction_standard_errors(counts_before, counts, variability, window.bucket_count)
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


def _count_standard_errors(
    expected: float,
    completed: float,
    variability: Variability,
    baseline: Baseline,
    window: MetricsWindow,
) -> float:
    """Return by how many standard errors a count is under the expected one.

    Under Anscombe's transform a Poisson count has a variance of 1. The expectation is an estimate from a count, too,
    whose variance is added in proportion to the two durations.
    """
    difference = 2 * (sqrt(expected + ANSCOMBE_OFFSET) - sqrt(completed + ANSCOMBE_OFFSET))
    return difference / sqrt(variability.dispersion * (1 + window.duration_ms / baseline.duration_ms))


def _fraction_standard_errors(
    counts_before: RequestCounts,
    counts: RequestCounts,
    variability: Variability,
    bucket_count: int,
) -> float:
    """Return by how many standard errors the fraction completed in time is under that of the baseline.

    It detects harm sooner than the count, since the number of received requests is given. It is valid only while cores
    are idle: otherwise a rise of the load lowers the fraction, too.
    """
    if not counts_before.received or not counts.received:
        return 0.0
    expected = counts_before.completed_in_time / counts_before.received * counts.received
    # Laplace's rule keeps the pooled fraction from 0 and 1
    fraction = min(
        1.0,
        (counts_before.completed_in_time + counts.completed_in_time + 1)
        / (counts_before.received + counts.received + 2),
    )
    binomial_variance = fraction * (1 - fraction) * counts.received
    variance = max(variability.batch_variance * bucket_count / BATCH_BUCKET_COUNT, binomial_variance, 1.0)
    return (expected - counts.completed_in_time) / sqrt(variance * (1 + counts.received / counts_before.received))


# Failures

MIN_FAILURE_COUNT = 5.0  # requests or calls
MIN_FAILED_FRACTION_RISE = 0.03  # of all answers
FAILED_FRACTION_RISE_PER_LOAD = 0.1  # allowed beyond it for each time the load of the baseline
MIN_FAILED_CALL_FRACTION_RISE = 0.1  # of all calls


class FailureCount(NamedTuple):
    """Failures among a number of requests or calls."""

    failed: int
    total: int

    @property
    def fraction(self) -> float:
        """The failed part; the total must not be 0."""
        return self.failed / self.total


def check_failed_requests(
    baseline: Baseline,
    window: MetricsWindow,
    min_standard_errors: float,
) -> CanaryVerdict | None:
    """Test whether a larger fraction of the answers are failures than before the change.

    Input are the failed requests and all answers. It is harm if at least ``MIN_FAILURE_COUNT`` failed, the fraction
    rose by at least ``MIN_FAILED_FRACTION_RISE`` and the rise is at least ``min_standard_errors``. A rise of the load
    makes some requests fail by itself, so ``FAILED_FRACTION_RISE_PER_LOAD`` of the additional load is allowed for.
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

    Input are the failed calls and all calls that ended. It is harm if at least ``MIN_FAILURE_COUNT`` failed, the
    fraction rose by at least ``MIN_FAILED_CALL_FRACTION_RISE`` and the rise is at least ``min_standard_errors``.
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
    """Test whether a fraction of failures has risen, by the two-proportion z-test."""
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


# The analysis


class CanaryAnalysis:
    """The analysis of one change in its canary period.

    Args:
        baseline: The span before the change.
        changed_at_ms: The moment of the change.
        standard_errors: How many standard errors make a difference that is not chance.

    Attributes:
        evaluated_until_ms: End of the latest bucket that was evaluated.
    """

    def __init__(self, baseline: Baseline, changed_at_ms: float, standard_errors: float) -> None:
        self._baseline = baseline
        self._min_standard_errors = standard_errors
        self.restart(changed_at_ms)
        self._profile = BaselineProfile(baseline)

    def restart(self, now_ms: float) -> None:
        """Discard what was recorded up to now, since it says nothing about the change."""
        self.evaluated_until_ms = now_ms + SETTLE_MS
        self._window_since_change = MetricsWindow()
        self._recent_buckets = deque[MetricsBucket](maxlen=int(RECENT_MS / BUCKET_MS))
        self._last_kind = ""  # of harm
        self._consecutive_findings = 0

    def evaluate(self, buckets: Iterable[MetricsBucket]) -> CanaryVerdict:
        """Return the verdict on all that was recorded since the change.

        Args:
            buckets: The whole buckets from ``evaluated_until_ms`` to now, the oldest first.
        """
        for bucket in buckets:
            self._window_since_change.add(bucket)
            self._recent_buckets.append(bucket)
            self.evaluated_until_ms = (bucket.number + 1) * BUCKET_MS
        harm = self._find_harm(self._window_since_change)
        if harm is None and self._window_since_change.bucket_count > len(self._recent_buckets):
            harm = self._find_harm(MetricsWindow(self._recent_buckets))
        if harm is None:
            self._last_kind = ""
            self._consecutive_findings = 0
            return self._assess_without_harm()
        return self._confirm(harm)

    def _confirm(self, harm: CanaryVerdict) -> CanaryVerdict:
        """Return the finding as harm once it is the second of its kind in a row, before that as suspected."""
        kind = harm.reason.split(":")[0]
        self._consecutive_findings = self._consecutive_findings + 1 if kind == self._last_kind else 1
        self._last_kind = kind
        if self._consecutive_findings >= REQUIRED_CONSECUTIVE_FINDINGS:
            return harm
        return CanaryVerdict(CanaryStatus.SUSPECTED, harm.reason, harm.figures)

    def _find_harm(self, window: MetricsWindow) -> CanaryVerdict | None:
        """Run the tests in their order and return the first harm found."""
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
        """Return whether enough was recorded to call the change harmless."""
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
