"""Drives many instances of the admission control from the bench's wire. No decision is made here."""

from __future__ import annotations

import traceback
from functools import partial
from typing import TextIO

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import Decisions, Settings
from nickelslip.settings import MalformedSettingsError, settings_from
from nickelslip.simulator_adapter import codec

# How many values stand behind the instance in a line, at least.
VALUES = {
    "ASK": 2,
    "FINISHED": 3,
    "STALLED_ON_CALL": 1,
    "RETURNED": 3,
    "TIMED_OUT_CLIENT": 1,
    "DRAIN": 1,
    "WAKE": 1,
    "SHUTDOWN": 0,
}


def _fault(instance: str, error: Exception) -> str:
    """One line that names the error and where it came from."""
    where = traceback.extract_tb(error.__traceback__)[-1]
    text = f"{type(error).__name__}: {error} at {where.filename.rsplit('/', 1)[-1]}:{where.lineno} in {where.name}"
    return f"BROKEN {instance} " + " ".join(text.split())


class Adapter:
    """The instances of one process, each with a module of its own."""

    def __init__(self) -> None:
        self._controls: dict[str, AdmissionController] = {}

    def handle(self, now: float, line: str) -> list[str]:
        """Replies to one event line."""
        parts = line.split(" ")
        verb, instance = parts[0], parts[1] if len(parts) > 1 else ""
        try:
            if verb == "START":
                seed, text = line.split(" ", 3)[2:]
                call = partial(self._start, instance, settings_from(text), int(seed), now)
            elif verb not in VALUES:
                raise ValueError("no such message")
            elif len(parts) - 2 < VALUES[verb]:
                raise ValueError("too few values")
            elif verb == "SHUTDOWN":
                self._controls.pop(instance, None)
                return []
            else:
                call = partial(self._event, instance, now, verb, self._values(verb, parts[2:]))
        except (ValueError, KeyError, MalformedSettingsError) as error:
            raise codec.Malformed(f"malformed line: {line[:200]!r}: {error}") from error
        try:
            return codec.lines_from(instance, call())
        except Exception as error:  # whatever the module raises is reported for its instance
            self._controls.pop(instance, None)
            return [_fault(instance, error)]

    def _start(self, instance: str, settings: Settings, seed: int, now: float) -> Decisions:
        control = self._controls[instance] = AdmissionController(settings, seed, now)
        return control.start(now)

    @staticmethod
    def _values(verb: str, parts: list[str]) -> list[object]:
        """The decoded values of an event, in the order that the module's call takes them."""
        if verb == "ASK":
            return [codec.arrival_from(parts)]
        if verb == "FINISHED":
            return [int(parts[0]), codec.outcome_from(parts[1]), float(parts[2])]
        if verb == "RETURNED":
            return [int(parts[0]), codec.outcome_from(parts[2]), float(parts[1])]
        if verb == "WAKE":
            return [codec.gauges_from(parts[1] if len(parts) > 1 else "-")]
        if verb == "DRAIN":
            return [float(parts[0])]
        return [int(parts[0])]

    def _event(self, instance: str, now: float, verb: str, values: list[object]) -> Decisions:
        control = self._controls.get(instance)
        if control is None:
            return Decisions()
        call = {
            "ASK": control.request_received,
            "FINISHED": control.run_ended,
            "STALLED_ON_CALL": control.call_requested,
            "RETURNED": control.call_returned,
            "TIMED_OUT_CLIENT": control.client_disconnected,
            "DRAIN": control.drain,
            "WAKE": control.timer_fired,
        }[verb]
        return call(now, *values)  # type: ignore[operator,no-any-return]


def main(source: TextIO, sink: TextIO, complaints: TextIO) -> int:
    """Serve batches until the input ends; 2 on input that cannot be understood."""
    adapter = Adapter()
    now: float | None = None
    replies: list[str] = []
    try:
        for raw in source:
            line = raw.rstrip("\r\n")
            if line.startswith("TICK ") and now is None:
                try:
                    now = codec.clock_from(line[5:])
                except ValueError as error:
                    raise codec.Malformed(f"malformed line: {line[:200]!r}: {error}") from error
            elif now is None:
                if line:
                    raise codec.Malformed(f"malformed line: {line[:200]!r}: outside a batch")
            elif line == "OVER_TO_YOU":
                replies.append("OK\n")
                sink.write("\n".join(replies))
                sink.flush()
                now, replies = None, []
            else:
                replies += adapter.handle(now, line)
        if now is not None:
            raise codec.Malformed("the input ended inside a batch")
    except codec.Malformed as error:
        print(f"nickelslip: {error}", file=complaints)
        return 2
    return 0
