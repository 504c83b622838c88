"""Measurements of the current adjustment interval. Adaptive rules use them once per interval."""

from __future__ import annotations

ADJUSTMENT_INTERVAL_MS = 100.0
CPU_BUSY_UTILIZATION = 0.9  # below this utilization the cores count as idle

# A long read delay shows congestion before it reaches the queue. As fractions of the latency objective of the class:
HIGH_READ_DELAY_FRACTION = 1 / 6  # a longer delay lowers the advertised weight
LOW_READ_DELAY_FRACTION = 1 / 12  # a longer delay keeps the weight from rising and lowers the concurrency limit


class IntervalMeasurements:
    """Counts of the current adjustment interval, and the latest gauges of the machine."""

    __slots__ = (
        "ends_at_ms",
        "rejection_count",
        "request_count",
        "max_read_delay_fraction",
        "last_read_delay_ms",
        "cpu_utilization",
        "connection_count",
    )

    def __init__(self, now_ms: float) -> None:
        self.ends_at_ms = now_ms + ADJUSTMENT_INTERVAL_MS
        self.rejection_count = 0
        self.request_count = 0
        self.max_read_delay_fraction = 0.0
        self.last_read_delay_ms = 0.0
        self.cpu_utilization = 0.0
        self.connection_count = 0.0

    @property
    def are_cores_busy(self) -> bool:
        """Whether the cores were busy when the gauges were last read."""
        return self.cpu_utilization >= CPU_BUSY_UTILIZATION

    @property
    def is_reading_late(self) -> bool:
        """Whether the read delay in this interval is high enough to require more CPU time for reading."""
        return self.max_read_delay_fraction > LOW_READ_DELAY_FRACTION

    def record_request(self) -> None:
        """Count a request that was read."""
        self.request_count += 1

    def record_read_delay(self, read_delay_ms: float, latency_objective_ms: float) -> None:
        """Record how late a request was read."""
        self.max_read_delay_fraction = max(self.max_read_delay_fraction, read_delay_ms / latency_objective_ms)
        self.last_read_delay_ms = read_delay_ms

    def record_gauges(self, cpu_utilization: float, connection_count: float) -> None:
        """Store the latest gauges. A connection count of 0 may also mean that it is not measured."""
        self.cpu_utilization = cpu_utilization
        self.connection_count = connection_count

    def start_next(self, now_ms: float) -> None:
        """Start the next interval. The gauges and the last read delay are kept."""
        self.rejection_count = 0
        self.request_count = 0
        self.max_read_delay_fraction = 0.0
        self.ends_at_ms = now_ms + ADJUSTMENT_INTERVAL_MS
