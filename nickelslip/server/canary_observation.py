"""Measurements of this server, and the analysis of the change in its canary period."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from nickelslip.admission.interface import LoadSignal
from nickelslip.configuration.canary_analysis import CanaryAnalysis
from nickelslip.configuration.canary_verdict import CanaryVerdict
from nickelslip.configuration.metrics_window import Baseline
from nickelslip.configuration.request_metrics import BUCKET_MS, MetricsBucket, RequestMetrics
from nickelslip.server.lifecycle import Phase
from nickelslip.server.server import Server

MAX_EXCLUDED_SPANS = 16


class TimeSpan(NamedTuple):
    """A time span in Unix milliseconds; the end is exclusive."""

    begin_at_ms: float
    end_at_ms: float


class CanaryObservation:
    """The metrics of one server, and the analysis of at most one change.

    Args:
        server: The observed server.
        request_metrics: The server's request metrics.

    Attributes:
        request_metrics: The server's request metrics.
        verdict: The latest verdict on a change.
    """

    def __init__(self, server: Server, request_metrics: RequestMetrics) -> None:
        self._server = server
        self._analysis: CanaryAnalysis | None = None
        self._excluded_spans: list[TimeSpan] = []
        self.request_metrics = request_metrics
        self.verdict: CanaryVerdict | None = None

    @property
    def is_active(self) -> bool:
        """Whether a change is being analysed."""
        return self._analysis is not None

    @property
    def is_conclusive(self) -> bool:
        """Whether current measurements can be used for a verdict: the server serves and its worker pool is up."""
        return self._server.phase is Phase.SERVING and self._server.worker_pool.is_up

    def sample(self) -> None:
        """Record the load that the server advertises and its resource utilization."""
        gauges = self._server.gauges
        self.request_metrics.sample_server(
            self._server.clock(), self._advertised_weight(), gauges.memory_utilization, gauges.cpu_utilization
        )

    def _advertised_weight(self) -> float:
        """Return the advertised weight, converted to the fraction of the load that the server asks for."""
        weight = self._server.advertised_weight
        if weight is None:
            return 1.0
        if self._server.generation.settings.load_signal is LoadSignal.PRIORITY_THRESHOLD:
            return 1 - weight
        return weight

    def baseline(self, span_ms: float) -> Baseline:
        """Return the metrics of the latest `span_ms` milliseconds, without the time spans of rolled-back changes."""
        now_ms = self._server.clock()
        return Baseline(self._included_buckets(now_ms - span_ms, now_ms))

    def _included_buckets(self, begin_at_ms: float, end_at_ms: float) -> Iterator[MetricsBucket]:
        self._excluded_spans = [span for span in self._excluded_spans if span.end_at_ms > begin_at_ms]
        for bucket in self.request_metrics.between(begin_at_ms, end_at_ms):
            bucket_ms = bucket.number * BUCKET_MS
            if not any(
                span.begin_at_ms < bucket_ms + BUCKET_MS and bucket_ms < span.end_at_ms for span in self._excluded_spans
            ):
                yield bucket

    def exclude(self, span: TimeSpan) -> None:
        """Exclude a time span from later baselines."""
        self._excluded_spans = [*self._excluded_spans[-(MAX_EXCLUDED_SPANS - 1) :], span]

    def set_objectives_during_change(self, old_ms: Mapping[str, float], new_ms: Mapping[str, float]) -> None:
        """Count a response as timely if it meets either the old or the new latency objective.

        Otherwise a changed objective would look like a change of the server's performance.
        """
        objectives_ms = {name: max(old_ms.get(name, 0.0), new) for name, new in {**old_ms, **new_ms}.items()}
        self.request_metrics.set_latency_objectives(objectives_ms)

    def begin(self, baseline: Baseline, standard_errors: float) -> None:
        """Start the analysis of a change that has just been adopted."""
        self._analysis = CanaryAnalysis(baseline, self._server.clock(), standard_errors)

    def restart(self, now_ms: float) -> None:
        """Discard all observations of the change up to now."""
        if self._analysis is not None:
            self._analysis.restart(now_ms)

    def evaluate(self, now_ms: float) -> CanaryVerdict | None:
        """Evaluate the measurements up to now; return the verdict, or None if no change is being analysed."""
        if self._analysis is None:
            return None
        self.verdict = self._analysis.evaluate(self.request_metrics.between(self._analysis.evaluated_until_ms, now_ms))
        return self.verdict

    def end(self) -> None:
        """End the analysis, and apply only the latency objectives in force again."""
        self._analysis = None
        self.request_metrics.set_latency_objectives(self._server.generation.latency_objectives_ms)
