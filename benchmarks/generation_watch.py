"""A server under a witness: `python -m benchmarks.generation_watch REPORT serve --config FILE`.

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


class Witness:
    """Which transactions were seen, and which of them under two generations."""

    def __init__(self) -> None:
        self.kept: list[object] = []  # so that no id is used again
        self.of_settings: dict[int, int] = {}  # by which settings each class's statistics came
        self.adoptions = 0
        self.first: dict[int, tuple[int, int]] = {}
        self.mixed: set[int] = set()
        self.events = self.across = 0

    def adopted(self, control: AdmissionController, settings: object) -> None:
        """The module has taken settings: the class statistics that it made are of these."""
        self.adoptions += 1
        self.kept.append(settings)
        for statistics in control._classes.values():
            self.kept.append(statistics)
            self.of_settings[id(statistics)] = id(settings)

    def event(self, executor: DecisionExecutor, number: int) -> None:
        """Something happened to a transaction."""
        one, control = executor.context.requests.get(number), executor.controller
        item = control._requests.by_id.get(number) if control is not None else None
        if one is None or item is None:
            return
        self.events += 1
        seen = (self.of_settings[id(item.statistics)], id(one.generation.settings))
        if seen[0] != seen[1] or self.first.setdefault(number, seen) != seen:
            self.mixed.add(number)
        self.across += one.generation is not executor.context.generation


def request_number(arguments: Sequence[object]) -> int | None:
    """Return the number of the request that a method of the controller is called for.

    The first argument is the number itself, or an object that has it as `id`. None if the call is for no request.
    """
    if not arguments:
        return None
    first = arguments[0]
    number = first if isinstance(first, int) else getattr(first, "id", None)
    return number if isinstance(number, int) else None


def watch(witness: Witness) -> None:
    """Put the witness beside the module's adoption of settings and every event of a transaction."""
    adopt, decide = AdmissionController._adopt, DecisionExecutor.decide

    def adopted(control: AdmissionController, settings: Settings) -> None:
        adopt(control, settings)
        witness.adopted(control, settings)

    def decided(executor: DecisionExecutor, method: Callable[..., Decisions], *arguments: object) -> None:
        number = None if method is AdmissionController.drain else request_number(arguments)
        if number is not None:
            witness.event(executor, number)
        decide(executor, method, *arguments)
        if number is not None:
            witness.event(executor, number)

    AdmissionController._adopt = adopted  # type: ignore[method-assign, assignment]
    DecisionExecutor.decide = decided  # type: ignore[method-assign, assignment]


def main() -> None:
    """Serve; then write what was seen."""
    report, *rest = sys.argv[1:]
    witness = Witness()
    if os.environ.get("WATCHED") != "no":
        watch(witness)
    from nickelslip.server.cli import main as program

    begun = time.monotonic()
    try:
        program(rest, standalone_mode=False)
    finally:
        usage = os.times()
        Path(report).write_text(
            json.dumps(
                {
                    "transactions": len(witness.first),
                    "events": witness.events,
                    "mixed": len(witness.mixed),
                    "across": witness.across,
                    "adoptions": witness.adoptions,
                    "cpu_s": usage.user + usage.system,
                    "wall_s": time.monotonic() - begun,
                }
            )
        )


if __name__ == "__main__":
    main()
