"""A server whose configurations are compared at each event.

`python -m benchmarks.generation_watch REPORT serve --config FILE` runs it.

At every event of every request, the class statistics by which the controller holds it and the generation that the
server keeps for it have to be of the same configuration, from its reading to its end. What was seen is written to
REPORT when the server ends. What the server does is not changed.
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
    """Counts requests that were seen under more than one configuration.

    Configurations are compared by the identity of their settings.
    """

    def __init__(self) -> None:
        self.adoption_count = 0
        self.event_count = 0
        self.events_across_generations = 0  # of requests of an earlier generation than the one in force
        self.first_seen: dict[int, tuple[int, int]] = {}  # settings of the controller and of the server, by request
        self.mixed_requests: set[int] = set()
        self._kept: list[object] = []  # so that no identity is used again
        self._settings_of_statistics: dict[int, int] = {}

    def record_adoption(self, controller: AdmissionController, settings: object) -> None:
        """Note by which settings the controller's class statistics were made."""
        self.adoption_count += 1
        self._kept.append(settings)
        for statistics in controller._classes.values():
            self._kept.append(statistics)
            self._settings_of_statistics[id(statistics)] = id(settings)

    def record_event(self, executor: DecisionExecutor, number: int) -> None:
        """Compare the configurations under which the controller and the server hold a request."""
        request = executor.context.requests.get(number)
        controller = executor.controller
        tracked = controller._requests.by_id.get(number) if controller is not None else None
        if request is None or tracked is None:
            return
        self.event_count += 1
        seen = (self._settings_of_statistics[id(tracked.statistics)], id(request.generation.settings))
        if seen[0] != seen[1] or self.first_seen.setdefault(number, seen) != seen:
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
    """Return the number of the request that a method of the controller is called for.

    The first argument is the number itself, or an object that has it as `id`. None if the call is for no request.
    """
    if not arguments:
        return None
    first = arguments[0]
    number = first if isinstance(first, int) else getattr(first, "id", None)
    return number if isinstance(number, int) else None


def install(watch: GenerationWatch) -> None:
    """Have the watch called at each adoption of settings, and before and after each decision about a request."""
    adopt = AdmissionController._adopt_settings
    decide = DecisionExecutor.decide

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
    DecisionExecutor.decide = decide_and_record  # type: ignore[method-assign, assignment]


def main() -> None:
    """Serve, and write the report at the end."""
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
