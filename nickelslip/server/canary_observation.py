"""What is measured of this server, and the analysis of the change that is in its canary period."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from nickelslip.admission.interface import LoadSignal
from nickelslip.configuration.canary_analysis import CanaryAnalysis, CanaryVerdict
from nickelslip.configuration.metrics_window import Baseline
from nickelslip.configuration.request_metrics import BUCKET_MS, MetricsBucket, RequestMetrics
from nickelslip.server.lifecycle import Phase
from nickelslip.server.server import Server

MAX_EXCLUDED_SPANS = 16


class TimeSpan(NamedTuple):
    """From one moment up to another (Unix milliseconds)."""

    begin_at_ms: float
    end_at_ms: float


class CanaryObservation:
    """The metrics of one server, and the analysis of at most one change.

    Args:
        server: The server that is observed.
        request_metrics: Where the server counts its requests.

    Attributes:
        request_metrics: Where the server counts its requests.
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
        """Whether what happens now says anything about a change: the server serves, and its workers do."""
        return self._server.phase is Phase.SERVING and self._server.worker_pool.is_up

    def sample(self) -> None:
        """Record the load that the server advertises, and its resource usage."""
        gauges = self._server.gauges
        self.request_metrics.sample_server(
            self._server.clock(), self._advertised_weight(), gauges.memory_utilization, gauges.cpu_utilization
        )

    def _advertised_weight(self) -> float:
        """Return the advertised weight as a fraction of the load that is asked for."""
        weight = self._server.advertised_weight
        if weight is None:
            return 1.0
        if self._server.generation.settings.load_signal is LoadSignal.PRIORITY_THRESHOLD:
            return 1 - weight
        return weight

    def baseline(self, span_ms: float) -> Baseline:
        """Return the metrics of the latest span, without the time of changes that were rolled back."""
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
        """Leave a span of time out of later baselines."""
        self._excluded_spans = [*self._excluded_spans[-(MAX_EXCLUDED_SPANS - 1) :], span]

    def set_objectives_during_change(self, old_ms: Mapping[str, float], new_ms: Mapping[str, float]) -> None:
        """Count a response as timely if it meets the latency objective before the change or the one after it.

        Otherwise an objective that changes would look like a change of the server's performance.
        """
        objectives_ms = {name: max(old_ms.get(name, 0.0), new) for name, new in {**old_ms, **new_ms}.items()}
        self.request_metrics.set_latency_objectives(objectives_ms)

    def begin(self, baseline: Baseline, standard_errors: float) -> None:
        """Begin to analyse a change that has just been adopted."""
        self._analysis = CanaryAnalysis(baseline, self._server.clock(), standard_errors)

    def restart(self, now_ms: float) -> None:
        """Discard what was observed of the change up to now."""
        if self._analysis is not None:
            self._analysis.restart(now_ms)

    def evaluate(self, now_ms: float) -> CanaryVerdict | None:
        """Return the verdict on the change with all that has been measured since, or None if there is no change."""
        if self._analysis is None:
            return None
        self.verdict = self._analysis.evaluate(self.request_metrics.between(self._analysis.evaluated_until_ms, now_ms))
        return self.verdict

    def end(self) -> None:
        """End the analysis: no change is in its canary period any more."""
        self._analysis = None
        self.request_metrics.set_latency_objectives(self._server.generation.latency_objectives_ms)
