"""Runs a server and checks at each event that a request stays with one configuration.

`python -m benchmarks.generation_watch REPORT serve --config FILE` starts the server.

The controller keeps class statistics for each request, and the server keeps a generation. From the time a request is
read until it ends, both must belong to the same configuration at every event. The counts are written to REPORT when the
server exits. The behaviour of the server is not changed.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import Decisions, Settings
from nickelslip.server.decision_executor import DecisionExecutor


class GenerationWatch:
    """Finds requests that were processed under more than one configuration.

    Configurations are compared by the identity of their settings.
    """

    def __init__(self) -> None:
        self.adoption_count = 0
        self.event_count = 0
        self.events_across_generations = 0  # of requests whose generation is no longer in force
        self.first_seen: dict[int, tuple[int, int]] = {}  # ids of the controller's and server's settings, by request
        self.mixed_requests: set[int] = set()
        self._references: list[object] = []  # keeps the objects alive, so that no id is reused
        self._settings_of_statistics: dict[int, int] = {}

    def record_adoption(self, controller: AdmissionController, settings: object) -> None:
        """Record the settings for which the controller's class statistics were created."""
        self.adoption_count += 1
        self._references.append(settings)
        for statistics in controller._classes.values():
            self._references.append(statistics)
            self._settings_of_statistics[id(statistics)] = id(settings)

    def record_event(self, executor: DecisionExecutor, number: int) -> None:
        """Compare the configurations that the controller and the server keep for a request."""
        request = executor.context.requests.get(number)
        controller = executor.controller
        tracked = controller._requests.by_id.get(number) if controller is not None else None
        if request is None or tracked is None:
            return
        self.event_count += 1
        observed = (self._settings_of_statistics[id(tracked.statistics)], id(request.generation.settings))
        if observed[0] != observed[1] or self.first_seen.setdefault(number, observed) != observed:
            self.mixed_requests.add(number)
        self.events_across_generations += request.generation is not executor.context.generation

    def as_dict(self) -> dict[str, float]:
        """Return the counts under their keys in the report."""
        return {
            "transactions": len(self.first_seen),
            "events": self.event_count,
            "mixed": len(self.mixed_requests),
            "across": self.events_across_generations,
            "adoptions": self.adoption_count,
        }


def request_number(arguments: Sequence[object]) -> int | None:
    """Return the number of the request for which a controller method is called, or None if it is for no request.

    The first argument is the number itself, or an object with the number as `id`.
    """
    if not arguments:
        return None
    first = arguments[0]
    number = first if isinstance(first, int) else getattr(first, "id", None)
    return number if isinstance(number, int) else None


def install(watch: GenerationWatch) -> None:
    """Call the watch at each adoption of settings, and before and after each decision about a request."""
    adopt = AdmissionController._adopt_settings
    decide = DecisionExecutor.decide_after_change

    def adopt_and_record(controller: AdmissionController, settings: Settings) -> None:
        adopt(controller, settings)
        watch.record_adoption(controller, settings)

    def decide_and_record(executor: DecisionExecutor, method: Callable[..., Decisions], *arguments: object) -> None:
        number = None if method is AdmissionController.drain else request_number(arguments)
        if number is not None:
            watch.record_event(executor, number)
        decide(executor, method, *arguments)
        if number is not None:
            watch.record_event(executor, number)

    AdmissionController._adopt_settings = adopt_and_record  # type: ignore[method-assign, assignment]
    DecisionExecutor.decide_after_change = decide_and_record  # type: ignore[method-assign, assignment]


def main() -> None:
    """Run the server, and write the report when it exits."""
    report, *arguments = sys.argv[1:]
    watch = GenerationWatch()
    if os.environ.get("WATCHED") != "no":
        install(watch)
    from nickelslip.server.cli import main as serve

    started_at = time.monotonic()
    try:
        serve(arguments, standalone_mode=False)
    finally:
        usage = os.times()
        times = {"cpu_s": usage.user + usage.system, "wall_s": time.monotonic() - started_at}
        Path(report).write_text(json.dumps({**watch.as_dict(), **times}))


if __name__ == "__main__":
    main()
