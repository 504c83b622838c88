"""Canary analysis: tests whether requests perform worse after a configuration change than before it.

``CanaryAnalysis.evaluate`` is called a few times a second during the canary period and compares the metrics since the
change with a ``Baseline``. It runs the tests of ``canary_checks`` in the order below; the first one that finds harm
determines the verdict. A change is rolled back once ``REQUIRED_CONSECUTIVE_FINDINGS`` evaluations in a row have found
harm of the same kind.

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

from nickelslip.configuration.canary_checks import (
    check_completed_in_time,
    check_failed_calls,
    check_failed_requests,
    check_memory,
    load_ratio,
)
from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.expected_completions import BaselineProfile
from nickelslip.configuration.metrics_window import Baseline, MetricsWindow
from nickelslip.configuration.request_metrics import BUCKET_MS, MetricsBucket

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
