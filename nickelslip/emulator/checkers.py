"""Rules that are checked against the history of a fleet's run; each rule returns a line for each violation.

The rules use traffic seen on the sockets only, never what a server reports about itself. Each line starts with the
kind of violation.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import inf

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.observed_history import Attempt, Incarnation, ObservedHistory

COMPLETED_STATUS = "done"
REJECTED_STATUS = "later"


@dataclass(frozen=True)
class RuleLimits:
    """The limits that the rules apply.

    Attributes:
        idempotent_classes: Traffic classes whose requests may run more than once.
        grace_ms: How long load balancers may still send after a server was told to shut down.
        slack_ms: Delay of answers and runs that the rules tolerate.
        window_ms: Within this time after a run, no other run may use the same idempotency key.
    """

    idempotent_classes: frozenset[str]
    grace_ms: float
    slack_ms: float
    window_ms: float


@dataclass(frozen=True)
class AttemptContext:
    """An attempt, with the context that the rules need.

    Attributes:
        incarnation: The incarnation that the attempt reached; None before the server's first start.
        deadline_at_ms: The attempt's deadline; one that falls into an outage or a stall moves to its end.
        is_excused: Whether the attempt needs no answer.
        last_at_ms: Time of the last event in the history.
    """

    attempt: Attempt
    incarnation: Incarnation | None
    deadline_at_ms: float
    is_excused: bool
    last_at_ms: float
    limits: RuleLimits

    @property
    def may_rerun(self) -> bool:
        """Whether the attempt's traffic class is idempotent."""
        return self.attempt.traffic_class in self.limits.idempotent_classes


def request_violations(
    history: History,
    idempotent_classes: Iterable[str],
    grace_ms: float,
    slack_ms: float,
    window_ms: float = inf,
) -> list[str]:
    """Return the violations of rules 1 to 3, as lines that start with "lost", "duplicate" or "drain".

    A killed server need not answer its open requests. A server that was told to shut down must still answer them.
    """
    observed = ObservedHistory(history)
    limits = RuleLimits(frozenset(idempotent_classes), grace_ms, slack_ms, window_ms)
    contexts = [_context(observed, attempt, limits) for attempt in observed.attempts.values()]
    found = [line for context in contexts for rule in ATTEMPT_RULES for line in rule(context)]
    return found + list(idempotency_key_runs_once(contexts, window_ms))


def _context(observed: ObservedHistory, attempt: Attempt, limits: RuleLimits) -> AttemptContext:
    incarnation = observed.incarnation_at(attempt.server, attempt.written_at_ms)
    deadline_at_ms = observed.extended_deadline(attempt.server, attempt.deadline_at_ms)
    answer_by_ms = deadline_at_ms + limits.slack_ms
    is_excused = (
        attempt.cancelled_at_ms <= answer_by_ms
        or attempt.was_never_read
        or attempt.written_at_ms == inf
        or _incarnation_excuses(observed, attempt, incarnation, answer_by_ms)
    )
    return AttemptContext(attempt, incarnation, deadline_at_ms, is_excused, observed.last_at_ms, limits)


def _incarnation_excuses(
    observed: ObservedHistory, attempt: Attempt, incarnation: Incarnation | None, answer_by_ms: float
) -> bool:
    """Return whether the server was killed, or exited after it was cut off while the attempt was open."""
    if incarnation is None:
        return False
    if incarnation.killed_at_ms <= answer_by_ms:
        return True
    if incarnation.ended_at_ms == inf:
        return False
    return observed.was_cut_off(attempt.server, attempt.written_at_ms, incarnation.ended_at_ms)


# Rules for a single attempt


def answered_at_most_once(context: AttemptContext) -> Iterator[str]:
    """An attempt has at most one answer."""
    if len(context.attempt.answers) > 1:
        yield f"duplicate: {context.attempt}: answered {context.attempt.statuses}"


def answered_in_time(context: AttemptContext) -> Iterator[str]:
    """An attempt is answered by its deadline plus the slack, unless it needs no answer."""
    if context.is_excused:
        return
    attempt = context.attempt
    answer_by_ms = context.deadline_at_ms + context.limits.slack_ms
    if not attempt.answers and answer_by_ms < context.last_at_ms:
        yield f"lost: {attempt}: never answered{_describe_end(context)}"
    if attempt.answers and attempt.answers[0].at_ms > answer_by_ms:
        late_ms = attempt.answers[0].at_ms - context.deadline_at_ms
        yield f"lost: {attempt}: answered {late_ms:.0f} ms past its time"


def _describe_end(context: AttemptContext) -> str:
    """Describe how an attempt without an answer ended, relative to its deadline."""
    attempt = context.attempt
    if attempt.disconnected_at_ms < inf:
        return f", its connection was lost at {attempt.disconnected_at_ms - context.deadline_at_ms:+.0f} ms"
    if attempt.cancelled_at_ms < inf:
        return f", cancelled at {attempt.cancelled_at_ms - context.deadline_at_ms:+.0f} ms"
    return ""


def answered_with_the_result_of_a_run(context: AttemptContext) -> Iterator[str]:
    """A completed attempt has a body that a run produced, and its own run unless it has an idempotency key."""
    attempt = context.attempt
    if any(answer.status == COMPLETED_STATUS and not answer.is_valid for answer in attempt.answers):
        yield f"lost: {attempt}: answered with what no run made"
    if COMPLETED_STATUS in attempt.statuses and not attempt.runs_at_ms and not attempt.idempotency_key:
        yield f"lost: {attempt}: satisfied and never run"


def non_idempotent_runs_once(context: AttemptContext) -> Iterator[str]:
    """A non-idempotent attempt runs at most once, and is not rejected after it ran."""
    if context.may_rerun:
        return
    attempt = context.attempt
    if len(attempt.runs_at_ms) > 1:
        yield f"duplicate: {attempt}: run {len(attempt.runs_at_ms)} times"
    if attempt.runs_at_ms and REJECTED_STATUS in attempt.statuses:
        yield f"duplicate: {attempt}: dismissed after it ran"


def nothing_runs_after_the_grace(context: AttemptContext) -> Iterator[str]:
    """A request that arrives after the grace of a shutdown is not run."""
    if context.incarnation is None or not context.attempt.runs_at_ms:
        return
    late_ms = context.attempt.written_at_ms - context.incarnation.shutdown_at_ms - context.limits.grace_ms
    if late_ms > context.limits.slack_ms:
        yield f"drain: {context.attempt}: came {late_ms:.0f} ms after the grace, and was run"


ATTEMPT_RULES: tuple[Callable[[AttemptContext], Iterator[str]], ...] = (
    answered_at_most_once,
    answered_in_time,
    answered_with_the_result_of_a_run,
    non_idempotent_runs_once,
    nothing_runs_after_the_grace,
)


# Rules for a whole history


def idempotency_key_runs_once(contexts: Iterable[AttemptContext], window_ms: float) -> Iterator[str]:
    """In one incarnation, runs under one idempotency key are at least `window_ms` apart."""
    runs_at_ms: dict[tuple[str, float, str], list[float]] = defaultdict(list)
    for context in contexts:
        attempt = context.attempt
        if attempt.idempotency_key and attempt.runs_at_ms and context.incarnation is not None:
            key = attempt.server, context.incarnation.started_at_ms, attempt.idempotency_key
            runs_at_ms[key].append(attempt.runs_at_ms[0])
    for (server, _, idempotency_key), times_ms in runs_at_ms.items():
        times_ms.sort()
        if any(later - earlier < window_ms for earlier, later in pairwise(times_ms)):
            yield f"duplicate: reference {idempotency_key} run {len(times_ms)} times at {server}"


def overload_failures(history: History) -> list[str]:
    """Rule 4: return the machines and services that failed from overload.

    The caller knows which of these failures were expected.
    """
    return [f"fell: {event.detail} {event.server} at {event.at_ms:.0f}" for event in history.of(Kind.FELL_OVER)]


def bad_exits(history: History) -> list[str]:
    """Return the servers that exited with a failure, or of which no process was ever told to shut down."""
    observed = ObservedHistory(history)
    found = []
    for event in history.of(Kind.ENDED):
        incarnations = observed.incarnations[event.server]
        shutdown_not_requested = bool(incarnations) and all(each.shutdown_at_ms == inf for each in incarnations)
        if event.detail != 0 or shutdown_not_requested:
            found.append(f"ended: {event.server} with {event.detail}")
    return found
