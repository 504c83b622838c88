"""The requests that the configuration before a change would complete in time under the present load.

The rate of the baseline is the expectation. Three things lower it, so that a rise of the load alone is no harm: fewer
requests of the group itself, more work of the other groups, and the cost of reading all that is received.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf

from nickelslip.configuration.metrics_window import Baseline, MetricsWindow
from nickelslip.configuration.request_metrics import ClassTenantPair, RequestCounts

IDLE_CPU_FRACTION = 0.7  # under this utilization the work of one group takes nothing from another
READ_COST_FRACTION = 0.3  # of the mean work of a request, which reading one may cost whatever is decided then
DEFAULT_WORK_MS = 1.0  # of a request, where the baseline does not tell
MIN_WORK_MS = 1e-9  # avoids a division by zero


class BaselineProfile:
    """What the expectations are derived from, calculated once for a baseline.

    Args:
        baseline: The span before the change.

    Attributes:
        baseline: The same.
        groups: The pairs of each traffic class and each tenant, by the name of the group.
        variability: The variability of each group.
        work_ms: Mean work of a request of each pair. It is taken over the traffic class, since tenants of a class do
            not differ by more than chance.
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
        """Return the work of a pair per millisecond that was received beyond that of the baseline."""
        counts_before = self.baseline.counts.get(pair)
        counts = window.counts.get(pair)
        received_per_ms = counts.received / window.duration_ms if counts else 0.0
        received_per_ms_before = counts_before.received / self.baseline.duration_ms if counts_before else 0.0
        return (received_per_ms - received_per_ms_before) * self.work_ms.get(pair, self.mean_work_ms)


def _mean_work_ms(counts: RequestCounts) -> float:
    """Return the mean work of a request completed in time."""
    if not counts.completed_in_time or not counts.work_ms:
        return DEFAULT_WORK_MS
    return counts.work_ms / counts.completed_in_time


def displaced_work_of_groups(
    profile: BaselineProfile, window: MetricsWindow
) -> Iterator[tuple[str, set[ClassTenantPair], float]]:
    """Yield each group with its pairs and the work per millisecond that other load may have displaced.

    That is what was received of other groups beyond the baseline, and the cost of reading all that was received beyond
    it. Where the cores were partly idle, no work was displaced.
    """
    additional = {pair: profile.additional_work(pair, window) for pair in {*profile.baseline.counts, *window.counts}}
    total = sum(additional.values())
    received_per_ms = window.total().received / window.duration_ms
    reading = READ_COST_FRACTION * profile.mean_work_ms * max(0.0, received_per_ms - profile.received_per_ms)
    for name, pairs in profile.groups.items():
        if window.cpu_fraction < IDLE_CPU_FRACTION:
            yield name, pairs, 0.0
        else:
            yield name, pairs, max(0.0, total - sum(additional[pair] for pair in pairs)) + reading


def expected_completions(
    pairs: set[ClassTenantPair],
    profile: BaselineProfile,
    window: MetricsWindow,
    displaced_work: float,
) -> float:
    """Return the requests of a group that the old configuration would have completed in time since the change.

    It is the rate of the baseline, lower in proportion where fewer requests were received, less the displaced work.
    Where this server advertises a lower weight it is sent fewer requests by its own doing, and the expectation stays.
    """
    baseline = profile.baseline
    counts_before = baseline.counts_of(pairs)
    received_per_ms_before = counts_before.received / baseline.duration_ms
    completed_per_ms_before = counts_before.completed_in_time / baseline.duration_ms
    received_per_ms = window.counts_of(pairs).received / window.duration_ms
    weight_drop = max(1.0, baseline.low_weight / window.weight) if window.weight > 0 else inf
    if received_per_ms:
        received_ratio = min(1.0, received_per_ms / received_per_ms_before * weight_drop)
    else:
        received_ratio = min(1.0, weight_drop - 1.0)
    work_ms = (
        sum(profile.work_ms[pair] * baseline.counts[pair].completed_in_time for pair in pairs)
        / counts_before.completed_in_time
    )
    completed_per_ms = completed_per_ms_before * received_ratio - displaced_work / max(work_ms, MIN_WORK_MS)
    return max(0.0, completed_per_ms) * window.duration_ms
