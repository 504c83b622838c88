"""Counts requests and their outcomes for the analysis of configuration changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from nickelslip.admission.interface import Outcome, RequestState

if TYPE_CHECKING:  # needed only for type hints; importing them at run time would slow the start
    from nickelslip.configuration.request_metrics import RequestMetrics
    from nickelslip.server.requests import Request


class RequestCounter:
    """Passes the events of requests to the metrics, if metrics are collected.

    Args:
        clock: Returns the current time in milliseconds.

    Attributes:
        metrics: Counts the events; None if no metrics are collected.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.metrics: RequestMetrics | None = None
        self._clock = clock

    def request_accepted(self, request: Request) -> None:
        """Count the request unless it is a retry, and register a callback that counts its end."""
        if self.metrics is None:
            return
        received = request.received
        if not received.is_retry:
            self.metrics.request_received(self._clock(), received.traffic_class, received.tenant)
        request.on_finished = self._request_finished

    def call_returned(self, outcome: Outcome) -> None:
        """Count the end of a dependency call."""
        if self.metrics is not None:
            self.metrics.call_ended(self._clock(), outcome is not Outcome.OK)

    def _request_finished(self, request: Request, state: RequestState) -> None:
        """Count the end of a request that was answered or cancelled."""
        if self.metrics is None:
            return
        now_ms = self._clock()
        received = request.received
        self.metrics.request_ended(
            now_ms, received.traffic_class, received.tenant, state, now_ms - received.received_at_ms, request.run_ms
        )
