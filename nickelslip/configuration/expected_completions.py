"""Estimates how many requests the configuration before a change would complete in time under the current load.

The estimate starts from the rate of the baseline. Three effects lower it, so that a rise in load alone does not count
as harm: fewer received requests of the group itself, more work for other groups, and the cost of reading all requests.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from nickelslip.configuration.metrics_window import Baseline, MetricsWindow
from nickelslip.configuration.request_metrics import ClassTenantPair, RequestCounts

IDLE_CPU_FRACTION = 0.7  # below this utilization, the work of one group does not displace that of another
READ_COST_FRACTION = 0.3  # cost of reading a request, admitted or not, relative to the mean work of a request
DEFAULT_WORK_MS = 1.0  # of a request, where the baseline has no data
MIN_WORK_MS = 1e-9  # avoids a division by zero


class BaselineProfile:
    """Values from which the expected completions are derived, calculated once for each baseline.

    Args:
        baseline: The metrics of the time before the change.

    Attributes:
        baseline: The baseline passed in.
        groups: The pairs of each traffic class and each tenant, keyed by the name of the group.
        variability: The variability of each group.
        work_ms: Mean work of a request of each pair. It is the mean of the traffic class, since the tenants of a class
            differ only by chance.
        mean_work_ms: Mean work of a request.
        received_per_ms: Rate of received requests.
    """

    def __init__(self, baseline: Baseline) -> None:
        self.baseline = baseline
        self.groups = baseline.groups()
        self.variability = {name: baseline.variability(pairs) for name, pairs in self.groups.items()}
        self.work_ms = {pair: self._class_work_ms(pair[0]) for pair in baseline.counts}
        total = baseline.total()
        self.mean_work_ms = _mean_work_ms(total)
        self.received_per_ms = total.received / baseline.duration_ms if baseline.duration_ms else 0.0

    def _class_work_ms(self, traffic_class: str) -> float:
        return _mean_work_ms(self.baseline.counts_of(pair for pair in self.baseline.counts if pair[0] == traffic_class))

    def additional_work(self, pair: ClassTenantPair, window: MetricsWindow) -> float:
        """Return the work received for a pair, in ms per ms, beyond that of the baseline."""
        counts_before = self.baseline.counts.get(pair)
        counts = window.counts.get(pair)
        received_per_ms = counts.received / window.duration_ms if counts else 0.0
        received_per_ms_before = counts_before.received / self.baseline.duration_ms if counts_before else 0.0
        return (received_per_ms - received_per_ms_before) * self.work_ms.get(pair, self.mean_work_ms)


def _mean_work_ms(counts: RequestCounts) -> float:
    """Return the mean work of a request completed in time, in milliseconds."""
    if not counts.completed_in_time or not counts.work_ms:
        return DEFAULT_WORK_MS
    return counts.work_ms / counts.completed_in_time


def displaced_work_of_groups(
    profile: BaselineProfile, window: MetricsWindow
) -> Iterator[tuple[str, set[ClassTenantPair], float]]:
    """Yield each group with its pairs and the work, in ms per ms, that other load may have displaced.

    Displaced work is the work received for other groups beyond the baseline, plus the cost of reading all requests
    received beyond the baseline. While cores are partly idle, no work is displaced.
    """
    additional = {pair: profile.additional_work(pair, window) for pair in {*profile.baseline.counts, *window.counts}}
    total_additional = sum(additional.values())
    received_per_ms = window.total().received / window.duration_ms
    read_cost = READ_COST_FRACTION * profile.mean_work_ms * max(0.0, received_per_ms - profile.received_per_ms)
    for name, pairs in profile.groups.items():
        if window.cpu_fraction < IDLE_CPU_FRACTION:
            yield name, pairs, 0.0
        else:
            yield name, pairs, max(0.0, total_additional - sum(additional[pair] for pair in pairs)) + read_cost


def expected_completions(
    pairs: set[ClassTenantPair],
    profile: BaselineProfile,
    window: MetricsWindow,
    displaced_work_per_ms: float,
) -> float:
    """Return how many requests of a group the old configuration would have completed in time since the change.

    This is the rate of the baseline, scaled down if fewer requests were received, minus the displaced work. A lower
    advertised weight also reduces the received requests. The estimate is not scaled down for that reduction, because
    the server itself caused it.
    """
    baseline = profile.baseline
    counts_before = baseline.counts_of(pairs)
    received_per_ms_before = counts_before.received / baseline.duration_ms
    completed_per_ms_before = counts_before.completed_in_time / baseline.duration_ms
    received_per_ms = window.counts_of(pairs).received / window.duration_ms
    weight_drop_ratio = max(1.0, baseline.low_weight / window.weight) if window.weight > 0 else inf
    if received_per_ms:
        received_ratio = min(1.0, received_per_ms / received_per_ms_before * weight_drop_ratio)
    else:
        received_ratio = min(1.0, weight_drop_ratio - 1.0)
    work_ms = (
        sum(profile.work_ms[pair] * baseline.counts[pair].completed_in_time for pair in pairs)
        / counts_before.completed_in_time
    )
    completed_per_ms = completed_per_ms_before * received_ratio - displaced_work_per_ms / max(work_ms, MIN_WORK_MS)
    return max(0.0, completed_per_ms) * window.duration_ms
