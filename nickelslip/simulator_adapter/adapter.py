"""Drives admission controllers from the text protocol of the simulator. It makes no decisions of its own."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, TextIO

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import Decisions, Settings
from nickelslip.json_fields import MalformedSettingsError
from nickelslip.settings import decode_settings_text
from nickelslip.simulator_adapter import codec
from nickelslip.simulator_adapter.codec import MalformedLineError

MAX_QUOTED_CHARACTERS = 200  # of a malformed line, in its error message
EXIT_OK = 0
EXIT_MALFORMED_INPUT = 2

Event = Callable[[AdmissionController], Decisions]


class EventDecoder(NamedTuple):
    """How to decode the line of one event."""

    min_value_count: int  # minimum number of values after the instance name
    decode: Callable[[float, list[str]], Event]


def _request_received(now_ms: float, values: list[str]) -> Event:
    arrival = codec.decode_arrival(values)
    return lambda controller: controller.request_received(now_ms, arrival)


def _run_ended(now_ms: float, values: list[str]) -> Event:
    request_id = int(values[0])
    outcome = codec.decode_outcome(values[1])
    took_ms = codec.decode_number(values[2])
    return lambda controller: controller.run_ended(now_ms, request_id, outcome, took_ms)


def _call_requested(now_ms: float, values: list[str]) -> Event:
    request_id = int(values[0])
    return lambda controller: controller.call_requested(now_ms, request_id)


def _call_returned(now_ms: float, values: list[str]) -> Event:
    request_id = int(values[0])
    outcome = codec.decode_outcome(values[2])
    took_ms = codec.decode_number(values[1])
    return lambda controller: controller.call_returned(now_ms, request_id, outcome, took_ms)


def _client_disconnected(now_ms: float, values: list[str]) -> Event:
    request_id = int(values[0])
    return lambda controller: controller.client_disconnected(now_ms, request_id)


def _drain(now_ms: float, values: list[str]) -> Event:
    kill_at_ms = codec.decode_number(values[0])
    return lambda controller: controller.drain(now_ms, kill_at_ms)


def _timer_fired(now_ms: float, values: list[str]) -> Event:
    gauges = codec.decode_gauges(values[1] if len(values) > 1 else codec.ABSENT)
    return lambda controller: controller.timer_fired(now_ms, gauges)


EVENT_DECODERS = {
    "ASK": EventDecoder(2, _request_received),
    "FINISHED": EventDecoder(3, _run_ended),
    "STALLED_ON_CALL": EventDecoder(1, _call_requested),
    "RETURNED": EventDecoder(3, _call_returned),
    "TIMED_OUT_CLIENT": EventDecoder(1, _client_disconnected),
    "DRAIN": EventDecoder(1, _drain),
    "WAKE": EventDecoder(1, _timer_fired),
}


class Adapter:
    """The simulated server instances, each with its own controller."""

    def __init__(self) -> None:
        self._controllers: dict[str, AdmissionController] = {}

    def handle(self, now_ms: float, line: str) -> list[str]:
        """Return the replies to one event line.

        An exception in a controller ends only its own instance, and is reported in one line.

        Raises:
            MalformedLineError: The line cannot be decoded.
        """
        verb, _, rest = line.partition(" ")
        instance = rest.partition(" ")[0]
        try:
            decide = self._decode(now_ms, verb, instance, line)
        except (ValueError, KeyError, MalformedSettingsError) as error:
            raise _malformed(line, error) from error
        try:
            return codec.encode_decisions(instance, decide())
        except Exception as error:  # any exception of the controller is reported for its instance
            self._controllers.pop(instance, None)
            return [_format_exception(instance, error)]

    def _decode(self, now_ms: float, verb: str, instance: str, line: str) -> Callable[[], Decisions]:
        """Return the action that a line requests. Event values are checked even if the instance is unknown."""
        if verb == "START":
            seed, settings_text = line.split(" ", 3)[2:]
            return partial(self._start, instance, decode_settings_text(settings_text), int(seed), now_ms)
        if verb == "SHUTDOWN":
            return partial(self._shut_down, instance)
        if verb not in EVENT_DECODERS:
            raise ValueError("no such message")
        decoder = EVENT_DECODERS[verb]
        values = line.split(" ")[2:]
        if len(values) < decoder.min_value_count:
            raise ValueError("too few values")
        return partial(self._apply, instance, decoder.decode(now_ms, values))

    def _start(self, instance: str, settings: Settings, seed: int, now_ms: float) -> Decisions:
        controller = AdmissionController(settings, seed, now_ms)
        self._controllers[instance] = controller
        return controller.start(now_ms)

    def _shut_down(self, instance: str) -> Decisions:
        self._controllers.pop(instance, None)
        return Decisions()

    def _apply(self, instance: str, event: Event) -> Decisions:
        controller = self._controllers.get(instance)
        return Decisions() if controller is None else event(controller)


def main(input_stream: TextIO, output_stream: TextIO, error_stream: TextIO) -> int:
    """Process batches of events until the input ends.

    Returns:
        The exit code: 0, or 2 for malformed input, which is reported in one line on `error_stream`.
    """
    try:
        _process_batches(input_stream, output_stream)
    except MalformedLineError as error:
        print(f"nickelslip: {error}", file=error_stream)
        return EXIT_MALFORMED_INPUT
    return EXIT_OK


def _process_batches(input_stream: TextIO, output_stream: TextIO) -> None:
    """Process all batches: each starts with the time, contains event lines, and ends with the request for replies."""
    adapter = Adapter()
    now_ms: float | None = None
    replies: list[str] = []
    for raw_line in input_stream:
        line = raw_line.rstrip("\r\n")
        if now_ms is None:
            now_ms = _begin_batch(line)
        elif line == "OVER_TO_YOU":
            replies.append("OK\n")
            output_stream.write("\n".join(replies))
            output_stream.flush()
            now_ms = None
            replies = []
        else:
            replies += adapter.handle(now_ms, line)
    if now_ms is not None:
        raise MalformedLineError("the input ended inside a batch")


def _begin_batch(line: str) -> float | None:
    """Return the time of the batch that this line starts, or None for an empty line between batches."""
    if line.startswith("TICK "):
        try:
            return codec.decode_number(line.removeprefix("TICK "))
        except ValueError as error:
            raise _malformed(line, error) from error
    if line:
        raise _malformed(line, "outside a batch")
    return None


def _malformed(line: str, fault: object) -> MalformedLineError:
    return MalformedLineError(f"malformed line: {line[:MAX_QUOTED_CHARACTERS]!r}: {fault}")


def _format_exception(instance: str, error: Exception) -> str:
    """Return the line that reports an error and the place where it was raised."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    location = f"{frame.filename.rsplit('/', 1)[-1]}:{frame.lineno} in {frame.name}"
    text = f"{type(error).__name__}: {error} at {location}"
    return f"BROKEN {instance} " + " ".join(text.split())
