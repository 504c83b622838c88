"""Sampled log lines about crowded cores."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from nickelslip.server.log_sampling import is_power_of_two

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.admission.core_occupancy import CoreOccupancy


class CoreOccupancyLog:
    """Logs the 1st, 2nd, 4th, 8th ... time at which more runs are on the cores than the rules put there.

    Args:
        log: Log of the server.
    """

    def __init__(self, log: Any) -> None:
        self._log = log
        self._crowded_count = 0

    def report(self, occupancy: CoreOccupancy) -> None:
        """Log the runs on the cores by the way in which they came there, if the cores are crowded."""
        if not occupancy.is_crowded:
            return
        self._crowded_count += 1
        if is_power_of_two(self._crowded_count):
            self._log.warning(
                "cores_crowded",
                count=self._crowded_count,
                on_cores=occupancy.on_core_count,
                awaiting_call=occupancy.awaiting_call_count,
                calls_in_flight=occupancy.call_in_flight_count,
                safe_concurrency=round(occupancy.safe_concurrency, 1),
                entries={entry.name: count for entry, count in occupancy.entries.items() if entry is not None},
            )
