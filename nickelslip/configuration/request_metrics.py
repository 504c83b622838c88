"""Request counts by traffic class and tenant, in time buckets of fixed length.

The buckets form a ring, so memory is bounded by the time span that is kept and by the number of pairs of class and
tenant. Recording an event costs one lookup and one addition. This module has no clock and does no I/O.
``canary_analysis`` compares these counts before and after a change.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from nickelslip.admission.interface import RequestState

BUCKET_MS = 250.0
MAX_PAIRS = 256  # requests of further pairs are counted for their traffic class, without the tenant
ClassTenantPair = tuple[str, str]  # names of the traffic class and of the tenant; "" stands for no tenant


class RequestCounts:
    """Counts of one pair of traffic class and tenant.

    Attributes:
        received: First attempts that were read. Retries are not counted: rejections cause retries, which would look
            like a rise in load.
        completed_in_time: Requests completed within the latency objective of the class.
        completed_late: Requests completed after the latency objective.
        rejected: Requests answered with a rejection.
        failed: Requests admitted and answered with a failure.
        cancelled: Requests ended without an answer.
        work_ms: CPU time of the requests completed in time.
    """

    __slots__ = ("received", "completed_in_time", "completed_late", "rejected", "failed", "cancelled", "work_ms")

    def __init__(self) -> None:
        self.received = 0
        self.completed_in_time = 0
        self.completed_late = 0
        self.rejected = 0
        self.failed = 0
        self.cancelled = 0
        self.work_ms = 0.0

    def add(self, other: RequestCounts) -> None:
        """Add the counts of another pair or bucket."""
        self.received += other.received
        self.completed_in_time += other.completed_in_time
        self.completed_late += other.completed_late
        self.rejected += other.rejected
        self.failed += other.failed
        self.cancelled += other.cancelled
        self.work_ms += other.work_ms

    @property
    def answered(self) -> int:
        """All answered requests: completed, rejected or failed."""
        return self.completed_in_time + self.completed_late + self.rejected + self.failed


class MetricsBucket:
    """The metrics recorded in one time span of ``BUCKET_MS``.

    Attributes:
        number: Start of the bucket in units of ``BUCKET_MS``.
        counts: The counts of each pair that has any in this bucket.
        call_count: Dependency calls that ended.
        failed_call_count: Dependency calls that failed.
        max_memory_fraction: Largest sample of the used memory; 0 if there is none.
        weight_sum: Sum of the samples of the advertised weight.
        weight_sample_count: Number of those samples.
        cpu_sum: Sum of the samples of the CPU utilization.
        cpu_sample_count: Number of those samples.
    """

    __slots__ = (
        "number",
        "counts",
        "call_count",
        "failed_call_count",
        "max_memory_fraction",
        "weight_sum",
        "weight_sample_count",
        "cpu_sum",
        "cpu_sample_count",
    )

    def __init__(self, number: int) -> None:
        self.clear(number)

    def clear(self, number: int) -> None:
        """Clear the bucket for reuse under another number."""
        self.number = number
        self.counts: dict[ClassTenantPair, RequestCounts] = {}
        self.call_count = 0
        self.failed_call_count = 0
        self.max_memory_fraction = 0.0
        self.weight_sum = 0.0
        self.weight_sample_count = 0
        self.cpu_sum = 0.0
        self.cpu_sample_count = 0


class RequestMetrics:
    """The metrics of the most recent time span, in buckets.

    Args:
        span_ms: How long the buckets are kept.
        latency_objectives_ms: The latency objective of each traffic class, keyed by its name.
    """

    def __init__(self, span_ms: float, latency_objectives_ms: Mapping[str, float]) -> None:
        self._ring = [MetricsBucket(-1) for _ in range(int(span_ms / BUCKET_MS) + 2)]
        self._current = self._ring[0]
        self._known_pairs: set[ClassTenantPair] = set()
        self._latency_objectives_ms: Mapping[str, float] = latency_objectives_ms

    def set_latency_objectives(self, latency_objectives_ms: Mapping[str, float]) -> None:
        """Set the latency objectives by which completed requests are classified from now on."""
        self._latency_objectives_ms = latency_objectives_ms

    @property
    def latency_objectives_ms(self) -> Mapping[str, float]:
        """The latency objectives by which completed requests are classified."""
        return self._latency_objectives_ms

    def _bucket(self, now_ms: float) -> MetricsBucket:
        """Return the bucket for this time; a time before the current bucket is assigned to the current one."""
        number = int(now_ms // BUCKET_MS)
        if number > self._current.number:
            self._current = self._ring[number % len(self._ring)]
            self._current.clear(number)
        return self._current

    def _counts(self, now_ms: float, traffic_class: str, tenant: str | None) -> RequestCounts:
        """Return the counts that an event of this class and tenant updates."""
        counts_by_pair = self._bucket(now_ms).counts
        pair = (traffic_class, tenant or "")
        counts = counts_by_pair.get(pair)
        if counts is not None:
            return counts
        if pair not in self._known_pairs:
            if len(self._known_pairs) >= MAX_PAIRS:
                pair = (traffic_class, "")
            self._known_pairs.add(pair)
        return counts_by_pair.setdefault(pair, RequestCounts())

    def request_received(self, now_ms: float, traffic_class: str, tenant: str | None) -> None:
        """Record the receipt of a first attempt."""
        self._counts(now_ms, traffic_class, tenant).received += 1

    def request_ended(
        self,
        now_ms: float,
        traffic_class: str,
        tenant: str | None,
        state: RequestState,
        elapsed_ms: float,
        work_ms: float,
    ) -> None:
        """Record the end of a request.

        Args:
            now_ms: When it ended.
            traffic_class: Name of its traffic class.
            tenant: Name of its tenant, if it has one.
            state: Its final state. Any state other than COMPLETED, REJECTED and FAILED counts as cancelled.
            elapsed_ms: Time since the request reached this machine.
            work_ms: CPU time used by its run.
        """
        counts = self._counts(now_ms, traffic_class, tenant)
        if state is RequestState.COMPLETED:
            if elapsed_ms <= self._latency_objectives_ms.get(traffic_class, 0.0):
                counts.completed_in_time += 1
                counts.work_ms += work_ms
            else:
                counts.completed_late += 1
        elif state is RequestState.REJECTED:
            counts.rejected += 1
        elif state is RequestState.FAILED:
            counts.failed += 1
        else:
            counts.cancelled += 1

    def call_ended(self, now_ms: float, failed: bool) -> None:
        """Record the end of a dependency call."""
        bucket = self._bucket(now_ms)
        bucket.call_count += 1
        bucket.failed_call_count += failed

    def sample_server(
        self,
        now_ms: float,
        weight: float,
        memory_fraction: float | None,
        cpu_fraction: float | None,
    ) -> None:
        """Record one sample of the server's own state.

        Args:
            now_ms: The time of the sample.
            weight: The advertised weight as a fraction of the full weight.
            memory_fraction: Used fraction of the memory, if known.
            cpu_fraction: Utilization of the cores, if known.
        """
        bucket = self._bucket(now_ms)
        bucket.weight_sum += weight
        bucket.weight_sample_count += 1
        bucket.max_memory_fraction = max(bucket.max_memory_fraction, memory_fraction or 0.0)
        if cpu_fraction is not None:
            bucket.cpu_sum += cpu_fraction
            bucket.cpu_sample_count += 1

    def between(self, begin_at_ms: float, end_at_ms: float) -> Iterator[MetricsBucket]:
        """Yield the buckets that lie entirely within this time span, oldest first.

        A bucket without recorded events is yielded empty. A bucket that is no longer kept is skipped.
        """
        first = -int(-begin_at_ms // BUCKET_MS)
        end = int(end_at_ms // BUCKET_MS)
        oldest_kept = self._current.number - len(self._ring) + 2
        for number in range(max(first, oldest_kept), end):
            bucket = self._ring[number % len(self._ring)]
            yield bucket if bucket.number == number else MetricsBucket(number)
