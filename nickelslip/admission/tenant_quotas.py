"""Tenant quotas: the fraction of a tenant's recent starts that is within its quota."""

from __future__ import annotations

from math import sqrt

from nickelslip.admission.class_statistics import START_COUNT_WINDOWS
from nickelslip.admission.estimators import SlidingWindowSum
from nickelslip.admission.interface import Settings

QUOTA_STANDARD_DEVIATIONS = 1.0  # starts exceed the quota only if they are this far above it
ALL_TENANTS = ""
MIN_COUNT = 1e-9  # avoids a division by zero


class TenantQuotas:
    """Counts the starts of each tenant against this server's part of its quota.

    Args:
        settings: Provides the tenants and their quotas over the whole fleet.
        window_ms: Window of the recent means. Starts are counted over several of these windows.
    """

    def __init__(self, settings: Settings, window_ms: float) -> None:
        self._window_ms = window_ms
        self._starts = {ALL_TENANTS: SlidingWindowSum(START_COUNT_WINDOWS * window_ms)}
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Read the quotas from the settings. The counts of starts are kept."""
        window_s_per_server = START_COUNT_WINDOWS * self._window_ms / 1000 / settings.server_count
        self._quota_counts = {tenant.name: tenant.quota_per_s * window_s_per_server for tenant in settings.tenants}
        self._total_quota_count = max(sum(self._quota_counts.values()), MIN_COUNT)
        self._starts = {
            name: self._starts.get(name) or SlidingWindowSum(START_COUNT_WINDOWS * self._window_ms)
            for name in (ALL_TENANTS, *self._quota_counts)
        }

    def record_start(self, now_ms: float, tenant: str) -> None:
        """Count the start of a request. Tenants without a quota are not counted."""
        if tenant in self._quota_counts:
            self._starts[ALL_TENANTS].add(now_ms, 1.0)
            self._starts[tenant].add(now_ms, 1.0)

    def within_quota_fraction(self, now_ms: float, tenant: str | None) -> float:
        """Return the fraction of a tenant's starts that is within its quota, or 1 for a tenant without a quota.

        The quota on this server is its part of the tenant's quota. If the starts of all tenants exceed the sum of their
        quotas here, each tenant's part grows in proportion, because a fast server runs more requests of every tenant.
        """
        if tenant not in self._quota_counts:
            return 1.0
        quota_count = self._quota_counts[tenant]
        start_count = self._starts[tenant].total(now_ms).sample_count
        quota_count *= max(1.0, self._starts[ALL_TENANTS].total(now_ms).sample_count / self._total_quota_count)
        allowed_count = quota_count + QUOTA_STANDARD_DEVIATIONS * sqrt(quota_count)
        return min(1.0, allowed_count / max(start_count, MIN_COUNT))
