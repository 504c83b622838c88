"""Queue priority: the order in which queued requests start.

Requests with the highest value per expected run time come first. The value is the priority weight of the class, reduced
for tenants over their quota and for retries, and raised for starved classes.
"""

from __future__ import annotations

from nickelslip.admission.estimators import SlidingWindowSum
from nickelslip.admission.interface import Arrival, Settings
from nickelslip.admission.starved_classes import StarvedClasses
from nickelslip.admission.tenant_quotas import TenantQuotas
from nickelslip.admission.tracked_request import TrackedRequest

# Lower bound of the value of a retry, as a fraction of the value of a first attempt. The value falls as the fraction of
# retries rises: the age of a retry is unknown, but the more retries there are, the more likely it is that its objective
# has passed.
MIN_RETRY_VALUE_FRACTION = 0.1


class QueuePriority:
    """Computes the priority of each arrival.

    Args:
        settings: Defines how value is counted, and whether clients mark retries.
        window_ms: Window over which retries are counted.
        quotas: The quotas of the tenants.
        starved_classes: The value with which starved classes are queued.
    """

    def __init__(
        self, settings: Settings, window_ms: float, quotas: TenantQuotas, starved_classes: StarvedClasses
    ) -> None:
        self._quotas = quotas
        self._starved_classes = starved_classes
        self._retries = SlidingWindowSum(window_ms)  # amount: retries; sample count: all arrivals
        self._retry_fraction = 0.0
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read from the settings how value is counted, and whether retries are marked."""
        self._is_value_per_work_unit = settings.is_value_per_work_unit
        self._clients_mark_retries = settings.clients_mark_retries
        self._over_quota_value_fraction = settings.over_quota_value_fraction

    def record_arrival(self, now_ms: float, arrival: Arrival) -> None:
        """Count the arrival as a first attempt or a retry."""
        self._retries.add(now_ms, float(arrival.is_retry))
        retry_count, arrival_count = self._retries.total(now_ms)
        self._retry_fraction = retry_count / arrival_count if self._clients_mark_retries else 0.0

    def set_priority(self, now_ms: float, request: TrackedRequest, arrival: Arrival) -> None:
        """Set the priority key and the within-quota fraction of a request that has arrived."""
        within_quota = self._quotas.within_quota_fraction(now_ms, arrival.tenant)
        request.within_quota_fraction = within_quota
        value_fraction = within_quota + self._over_quota_value_fraction * (1 - within_quota)
        if arrival.is_retry:
            value_fraction *= max(MIN_RETRY_VALUE_FRACTION, 1 - self._retry_fraction)
        value_per_ms = value_fraction * self._class_value_per_ms(request)
        request.priority_key = (-value_per_ms, request.useful_until_ms, request.id)

    def _class_value_per_ms(self, request: TrackedRequest) -> float:
        statistics = request.statistics
        value_per_ms = statistics.value_per_ms(1.0 if self._is_value_per_work_unit else request.expected_run_ms)
        if statistics.is_starved:
            return max(value_per_ms, self._starved_classes.best_value_per_ms)
        return value_per_ms
