"""Rules that the history of a fleet's run has to keep; each rule returns a line for each violation.

Only what went over the sockets counts, and no server's word about itself. A line begins with what was violated.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise
from math import inf

from nickelslip.emulator.history import History, Kind
from nickelslip.emulator.observed_history import Attempt, Incarnation, ObservedHistory

COMPLETED_WORD = "done"
REJECTED_WORD = "later"


@dataclass(frozen=True)
class RuleLimits:
    """What the rules allow.

    Attributes:
        idempotent_classes: Traffic classes whose requests may run more than once.
        grace_ms: How long after a server was told to shut down load balancers may still send.
        slack_ms: What the rules and a crowded machine may add to a response.
        window_ms: How long a run under an idempotency key excludes another.
    """

    idempotent_classes: frozenset[str]
    grace_ms: float
    slack_ms: float
    window_ms: float


@dataclass(frozen=True)
class AttemptContext:
    """An attempt with what the rules need to know about it.

    Attributes:
        incarnation: The one that the attempt reached; None before the server's first start.
        deadline_at_ms: The attempt's deadline, moved to the end of an outage that it lies in.
        is_excused: Whether no answer is owed.
    """

    attempt: Attempt
    incarnation: Incarnation | None
    deadline_at_ms: float
    is_excused: bool
    last_at_ms: float
    limits: RuleLimits

    @property
    def may_rerun(self) -> bool:
        """Whether its traffic class is idempotent."""
        return self.attempt.traffic_class in self.limits.idempotent_classes


def request_violations(
    history: History,
    idempotent_classes: Iterable[str],
    grace_ms: float,
    slack_ms: float,
    window_ms: float = inf,
) -> list[str]:
    """Return what violates rules 1 to 3.

    A server that was killed owes nothing of what it held; one that was told to shut down owes it to the end.
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
    """Return whether the server was killed, or shut down while it could not be reached."""
    if incarnation is None:
        return False
    if incarnation.killed_at_ms <= answer_by_ms:
        return True
    if incarnation.ended_at_ms == inf:
        return False
    return observed.was_cut_off(attempt.server, attempt.written_at_ms, incarnation.ended_at_ms)


# Rules on one attempt


def answered_at_most_once(context: AttemptContext) -> Iterator[str]:
    """An attempt has one answer."""
    if len(context.attempt.answers) > 1:
        yield f"duplicate: {context.attempt}: answered {context.attempt.words}"


def answered_in_time(context: AttemptContext) -> Iterator[str]:
    """An attempt is answered by its deadline and the slack, unless no answer is owed."""
    if context.is_excused:
        return
    attempt = context.attempt
    answer_by_ms = context.deadline_at_ms + context.limits.slack_ms
    if not attempt.answers and answer_by_ms < context.last_at_ms:
        yield f"lost: {attempt}: never answered"
    if attempt.answers and attempt.answers[0].at_ms > answer_by_ms:
        late_ms = attempt.answers[0].at_ms - context.deadline_at_ms
        yield f"lost: {attempt}: answered {late_ms:.0f} ms past its time"


def answered_with_the_result_of_a_run(context: AttemptContext) -> Iterator[str]:
    """A completed attempt has the body that a run made, and a run of its own unless it has an idempotency key."""
    attempt = context.attempt
    if any(answer.word == COMPLETED_WORD and not answer.is_valid for answer in attempt.answers):
        yield f"lost: {attempt}: answered with what no run made"
    if COMPLETED_WORD in attempt.words and not attempt.runs_at_ms and not attempt.idempotency_key:
        yield f"lost: {attempt}: satisfied and never run"


def non_idempotent_runs_once(context: AttemptContext) -> Iterator[str]:
    """An attempt that is not idempotent runs once, and is not rejected after it ran."""
    if context.may_rerun:
        return
    attempt = context.attempt
    if len(attempt.runs_at_ms) > 1:
        yield f"duplicate: {attempt}: run {len(attempt.runs_at_ms)} times"
    if attempt.runs_at_ms and REJECTED_WORD in attempt.words:
        yield f"duplicate: {attempt}: dismissed after it ran"


def nothing_runs_after_the_grace(context: AttemptContext) -> Iterator[str]:
    """What arrives later than the grace after a server was told to shut down is not run."""
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


# Rules on a whole history


def idempotency_key_runs_once(contexts: Iterable[AttemptContext], window_ms: float) -> Iterator[str]:
    """In one incarnation, runs under one idempotency key are at least `window_ms` apart."""
    runs_at_ms: dict[tuple[str, float, str], list[float]] = defaultdict(list)
    for context in contexts:
        attempt = context.attempt
        if attempt.idempotency_key and attempt.runs_at_ms and context.incarnation is not None:
            key = attempt.server, context.incarnation.started_at_ms, attempt.idempotency_key
            runs_at_ms[key].append(attempt.runs_at_ms[0])
    for (server, _, idempotency_key), moments in runs_at_ms.items():
        moments.sort()
        if any(later - earlier < window_ms for earlier, later in pairwise(moments)):
            yield f"duplicate: reference {idempotency_key} run {len(moments)} times at {server}"


def falls(history: History) -> list[str]:
    """Rule 4: return what fell over; the caller knows whether that was scripted."""
    return [f"fell: {event.detail} {event.server} at {event.at_ms:.0f}" for event in history.of(Kind.FELL_OVER)]


def bad_exits(history: History) -> list[str]:
    """Return servers that ended by themselves with a failure, or without having been told to shut down."""
    observed = ObservedHistory(history)
    found = []
    for event in history.of(Kind.ENDED):
        incarnations = observed.incarnations[event.server]
        was_never_told = bool(incarnations) and all(each.shutdown_at_ms == inf for each in incarnations)
        if event.detail != 0 or was_never_told:
            found.append(f"ended: {event.server} with {event.detail}")
    return found
