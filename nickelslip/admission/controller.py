"""The decisions of one server: what it takes, starts, calls, turns away, and what it says outward.

A server makes one Control from its settings and a seed, calls start() once and then one method for
each thing that happens: read, ended, at_call, call_returned, caller_gone, drain, timer. Each takes
the time in milliseconds and returns a Result; the server carries it out before it calls again. The
types are in interface.py beside this file; docs/design.md says what each part is for and when each
departure from the design acts. Nothing here reads a clock, does I/O or shares state.

Order: tuned ratios, Ring and Mean (what is learned), Grading, Item, Control (events, decisions, rules).
"""

from __future__ import annotations

import random
from math import inf, sqrt
from operator import attrgetter

from nickelslip.admission.interface import (
    Arrival,
    Decisions,
    Gauges,
    Health,
    IdempotencyUpdate,
    LoadSignal,
    Outcome,
    Preemption,
    RequestState,
    RetrySafety,
    Settings,
    StateChange,
    TrafficClass,
)

WINDOW_MS = 100.0  # the weight is judged once a window
WEIGHT_CUT, WEIGHT_GAIN = 0.8, 0.1  # a window with early dismissals, and a calm one
LATE_KEEPS = 0.5  # grades that keep less of their credit than this after the quoted time are judged by it
ADVISED = 40  # callers among whom advice is the whole time to clear what waits; a few stay away a part of it
LAST_UNDER = 0.6  # under this weight a dismissal says that another server would not help
UNREAD_CUT, UNREAD_KEEP = 1 / 6, 1 / 12  # lying unread for such a part of the quoted time is congestion too
GUESS = 1 / 6  # an unlearned mean run time, as a part of the quoted time
CALL_GUESS = 1 / 32  # an unlearned mean call, likewise
SPAN = 2.0  # what is learned looks back over so many of the longest quoted time
TRUST = 2.0  # runs' worth of long memory mixed into the recent mean
SPREAD = 1.5  # a prediction at the door allows for work that will come ahead and for runs over the mean
IDLE_FROM, IDLE_LEAST = 2.0, 0.01  # from so many crowds' worth open, down to such a part of the callers' time
AHEAD = 2.0  # so many times the credit for its work of all that runs may start one over the limit
STUCK = 4.0  # a run over so many means frees no slot soon
BUSY = 0.9  # under this share of busy cores they count as idle
CROWD_PART = 0.7  # of the crowd that a server survives, all that can be on the cores at once
MEMORY_PART = 0.97
CALL_PART = 0.85  # of the calls that are this server's part, in the mean
CALL_WAIT = 1 / 8  # a wait at the call, of the quoted time, over which a call that can be left out is
CALL_SPARED = 1 / 4  # at calls for so much of its quoted time, one that needs them has others spare theirs
CALLS_SLOW = 3.0  # a call that took so many times the best mean yet shows a crowded dependency
CALLS_KNOWN = 16  # so many recent calls make a mean that can be the best
CALL_LEAST = 1 / 3  # of this server's part of the calls: what the dependency is worked with while crowded
WAIT_BINS, WAIT_MEMORY, WAIT_KNOWN = 64, 512, 16  # of waits: told apart so finely, over so many, from so many
WAIT_USUAL = 1 / 8  # of the arrivals: a wait that so many tell is a usual one
AGAIN_LEAST = 0.1  # a further try's age is not told: the more of them, the likelier its quoted time is over
SIGMAS = 1.0  # a customer is beyond its share when its starts are so many deviations above it
SHARE_SPANS = 4.0  # over so many spans, since a small server starts few of each customer in one
GRADE_LEAST = 0.45  # of a grade's first tries; one of which less is started goes with the best


class SlidingWindowSum:
    """Sum and count over the latest span, in fixed buckets that are used again."""

    def __init__(self, span_ms: float, buckets: int = 16) -> None:
        self._width = span_ms / buckets
        self._sums = [0.0] * buckets
        self._counts = [0.0] * buckets
        self._at = 0

    def _turn(self, now: float) -> int:
        number, size = int(now // self._width), len(self._sums)
        for old in range(max(self._at + 1, number - size + 1), number + 1) if number > self._at else ():
            self._sums[old % size] = self._counts[old % size] = 0.0
        self._at = max(self._at, number)
        return self._at % size

    def add(self, now: float, amount: float, count: float = 1.0) -> None:
        at = self._turn(now)
        self._sums[at] += amount
        self._counts[at] += count

    def total(self, now: float) -> tuple[float, float]:
        self._turn(now)
        return sum(self._sums), sum(self._counts)

    def remaining_after_each_bucket(self, now: float) -> list[tuple[float, float]]:
        """What is left of the sum after each of the coming spans, as its buckets leave one by one."""
        at, size, left, out = self._turn(now), len(self._sums), sum(self._sums), []
        for step in range(1, size + 1):
            out.append((step * self._width, left))
            left -= self._sums[(at + step) % size]
        return out


class RecentMean:
    """A learned mean: recent figures, leaning on the long memory while they are few."""

    def __init__(self, guess: float, span_ms: float) -> None:
        self.recent, self._guess, self._long, self._seen = SlidingWindowSum(span_ms), guess, guess, 0
        self._known: tuple[float, float] = (-inf, guess)  # the mean, and when that was reckoned

    def record(self, now: float, figure: float) -> None:
        self._seen, self._known = self._seen + 1, (-inf, 0.0)
        self._long += (figure - self._long) / min(self._seen + 1, 64)
        self.recent.add(now, figure)

    def recent_mean(self, now: float) -> float:
        """By recent figures alone, or the first guess while they are too few to tell."""
        total, count = self.recent.total(now)
        return total / count if count >= TRUST else self._guess

    def at(self, now: float) -> float:
        if self._known[0] != now:
            total, count = self.recent.total(now)
            self._known = now, (total + TRUST * self._long) / (count + TRUST)
        return self._known[1]


class ClientTimeoutHistogram:
    """How long callers say that they wait. The usual times stand out; a further try whose client's time is
    nearly over has less than those, and so tells how old it is."""

    def __init__(self) -> None:
        self._counts, self._all = [0] * (WAIT_BINS + 2), 0

    def is_cut(self, part: float) -> bool:
        """Count a wait, as a part of the abandon time; whether it is none of the usual ones."""
        at = min(max(int(part * WAIT_BINS), 0), WAIT_BINS)
        if self._all >= WAIT_MEMORY:
            self._counts = [each // 2 for each in self._counts]
            self._all = sum(self._counts)
        self._counts[at] += 1
        self._all += 1
        near = sum(self._counts[max(at - 1, 0) : at + 2])
        return self._all >= WAIT_KNOWN and near < WAIT_USUAL * self._all


class ClassStatistics:
    """A service grade as decisions use it, and what was learned of it."""

    def __init__(self, grade: TrafficClass, span_ms: float) -> None:
        self.name = grade.name
        self.credit, self.quoted, self.abandon = grade.priority_weight, grade.latency_objective_ms, grade.timeout_ms
        self.replayable = grade.retry_safety is RetrySafety.IDEMPOTENT
        self.referenced = grade.retry_safety is RetrySafety.IDEMPOTENCY_KEY
        self.window, self.stretch = grade.idempotency_window_ms, grade.objective_stretch
        self.by_quoted = grade.late_value_fraction < LATE_KEEPS
        self.calls, self.omittable = grade.makes_calls, grade.degraded_value_fraction > 0
        self.run = RecentMean(grade.latency_objective_ms * GUESS, span_ms)  # time on a core
        self.ratio = RecentMean(1.0, span_ms)  # that time over the cost hint
        self.at_calls = RecentMean(grade.latency_objective_ms * CALL_GUESS if grade.makes_calls else 0.0, span_ms)
        self.first, self.begun = (
            SlidingWindowSum(SHARE_SPANS * span_ms),
            SlidingWindowSum(SHARE_SPANS * span_ms),
        )  # tries, and starts
        self.starved = False
        self.waits = ClientTimeoutHistogram()


class TrackedRequest:
    """A transaction in this server's hands."""

    __slots__ = (
        "id",
        "grading",
        "kb",
        "due",
        "worth_until",
        "work",
        "state",
        "ran",
        "call_ms",
        "since",
        "limit",
        "hint",
        "asked",
        "sort",
        "began",
        "customer",
        "inside",
    )

    def __init__(self, arrival: Arrival, grading: ClassStatistics, now: float) -> None:
        self.id, self.grading, self.kb, self.hint = arrival.id, grading, arrival.memory_kb, arrival.cost_hint_ms
        reached = now - arrival.read_delay_ms
        self.due = max(now, arrival.deadline_at_ms if arrival.deadline_at_ms is not None else reached + grading.abandon)
        self.work = grading.run.at(now) if self.hint is None else self.hint * grading.ratio.at(now)
        self.worth_until = min(self.due, reached + grading.quoted + grading.stretch * self.work)
        self.state, self.ran, self.asked, self.began = RequestState.QUEUED, False, -inf, now
        self.call_ms, self.since, self.limit = 0.0, now, inf  # time at calls; when this one began, and ends
        self.sort, self.customer, self.inside = (0.0, 0.0, 0), arrival.tenant or "", 1.0  # part


FINAL = (RequestState.COMPLETED, RequestState.REJECTED, RequestState.FAILED, RequestState.CANCELLED)
ENDS = {Outcome.OK: RequestState.COMPLETED, Outcome.ERROR: RequestState.FAILED}
ON_CORE = (RequestState.RUNNING, RequestState.DEGRADED, RequestState.ORPHANED)
SORT = attrgetter("sort")
LEFT_UNRUN = (RequestState.REJECTED, RequestState.CANCELLED)  # never started, it is no forerunner to a repeat
UNRUN = (
    RequestState.QUEUED,
    RequestState.COALESCED,
)  # an end frees these at once; all others wait for word from the cores


class AdmissionController:
    """The admission control of one server."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self._random, self._began = random.Random(seed), now
        # kept for good, since rings turn by it
        span = self._span = SPAN * max(grade.latency_objective_ms for grade in settings.traffic_classes)
        self._gradings: dict[str, ClassStatistics] = {}
        self._started: dict[str, SlidingWindowSum] = {
            "": SlidingWindowSum(SHARE_SPANS * span)
        }  # all, and each customer's
        self._cold_from = settings.cold_speed_fraction if settings.starts_cold else 1.0
        self._cold_ms, self._again, self._further = settings.warm_up_ms, SlidingWindowSum(span), 0.0
        told = settings.dependency_concurrency_share > 0 and settings.dependency_window_ms > 0
        self._call_span = settings.dependency_window_ms if told else span
        self._call_ring, self._call_mark = SlidingWindowSum(self._call_span * 17 / 16), now
        self._lingering: list[float] = []  # when each call given up leaves
        self._call_time = RecentMean(
            min(grade.latency_objective_ms for grade in settings.traffic_classes) * CALL_GUESS, span
        )
        self._call_best, self._call_rest, self._call_limit, self._call_share = inf, now, 1.0, 1.0
        self._call_spared = now  # until then calls that can be left out are
        self._call_most = inf  # a bound from outside, while the server comes up or what lies below fails
        self._items: dict[int, TrackedRequest] = {}
        self._in: dict[RequestState, dict[int, TrackedRequest]] = {state: {} for state in RequestState}
        self._entries: dict[int, float] = {}  # remembered transactions, and when each is forgotten
        self._limit = self._turning = float(settings.core_count)
        self._weight, self._early, self._reads = 1.0, 0, 0
        self._idle, self._idle_part = (
            settings.idle_connection_timeout_ms,
            1.0,
        )  # of unused connections: told last, of the most
        self._unread, self._busy, self._unread_ms, self._connections = 0.0, 0.0, 0.0, 0.0
        self._window_end, self._wake_at, self._looked = now + WINDOW_MS, inf, -inf
        self._drain_at = self._kill = self._owed_next = inf  # the last: nothing is owed before
        self._said, self._result = 1.0, Decisions()
        self._best = 0.0  # most credit for its work that a grade has
        self._adopt(settings)

    def _adopt(self, settings: Settings) -> None:
        """What follows from settings alone. Grades keep what was learned; what was read keeps its grading."""
        known, self._gradings = self._gradings, {}
        for grade in settings.traffic_classes:
            grading = self._gradings[grade.name] = ClassStatistics(grade, self._span)
            if (old := known.get(grade.name)) is not None:
                grading.run, grading.ratio, grading.at_calls = old.run, old.ratio, old.at_calls
                grading.first, grading.begun, grading.waits = old.first, old.begun, old.waits
        self._by_work, self._marks_again = settings.value_counts_work, settings.clients_mark_retries
        self._halts, self._said_as = settings.preemption is not Preemption.NEVER, settings.load_signal
        self._advice_max, self._advice_part = settings.retry_after_max_ms, min(1.0, settings.client_count / ADVISED)
        self._cores, self._run_factor = settings.core_count, settings.running_memory_factor
        self._memory = settings.memory_kb * MEMORY_PART
        self._entry_kb, self._fresh = settings.idempotency_record_kb, settings.response_cache_ms
        self._crowd_more = settings.core_count * (settings.overload_concurrency_per_core - 1)
        self._most, self._limit = settings.max_concurrency, min(self._limit, settings.max_concurrency)
        self._reserved = {
            each.name: each.reserved_slot_count for each in settings.traffic_classes if each.reserved_slot_count > 0
        }
        self._margin = 2 * settings.tick_ms  # an answer that falls due goes out so much before
        self._last_words = 4 * settings.answer_slack_ms  # and so much before the kill: a standstill may come
        self._grace = settings.drain_grace_ms - settings.tick_ms
        shares = SHARE_SPANS * self._span / 1000 / settings.server_count
        self._shares = {each.name: each.quota_per_s * shares for each in settings.tenants}
        self._shares_all = max(sum(self._shares.values()), 1e-9)
        self._started = {
            name: self._started.get(name) or SlidingWindowSum(SHARE_SPANS * self._span) for name in ("", *self._shares)
        }
        self._beyond = settings.over_quota_value_fraction
        self._slots_each = settings.core_count * settings.overload_concurrency_per_core / settings.client_count
        self._callers, self._idle_max = settings.client_count, settings.idle_connection_timeout_ms
        self._checks_work = settings.health_check_costs_work
        told = settings.dependency_concurrency_share > 0 and settings.dependency_window_ms > 0
        part = self._call_limit / self._call_share  # kept: found again call by call it would take seconds
        self._call_share = settings.dependency_concurrency_share * CALL_PART if told else self._cores + self._crowd_more
        self._linger, self._call_limit = settings.abandoned_call_linger_ms, part * self._call_share

    # Events

    def start(self, now: float) -> Decisions:
        """The process has come up: its first outward words."""
        self._result.health = Health(True, is_cached=True) if self._checks_work else None  # at little cost
        return self._decide(now)

    def request_received(self, now: float, arrival: Arrival) -> Decisions:
        """A transaction was read."""
        grading = self._gradings[arrival.traffic_class]
        item = TrackedRequest(arrival, grading, now)
        self._items[item.id] = self._in[RequestState.QUEUED][item.id] = item
        self._owed_next = min(self._owed_next, self._owed(item))
        reached = now - arrival.read_delay_ms
        self._unread = max(self._unread, arrival.read_delay_ms / grading.quoted)
        self._reads, self._unread_ms = self._reads + 1, arrival.read_delay_ms
        self._again.add(now, float(arrival.is_retry))
        grading.first.add(now, 1.0, float(not arrival.is_retry))
        tries, count = self._again.total(now)
        self._further = tries / count if self._marks_again else 0.0
        waits = len(self._in[RequestState.QUEUED]) > 1 or self._on_cores() >= self._limit
        age = self._age(item, reached) if arrival.deadline_at_ms is not None else 0.0
        item.worth_until -= age if waits else 0.0  # a core that is free takes what may still be in time
        self._rank(item, arrival, now)
        if reached > self._drain_at + self._grace:  # rule 3
            self._turn_away(item, now)
        elif arrival.original_request_id is not None and (grading.referenced or (grading.replayable and self._fresh)):
            self._move(now, item, RequestState.COALESCED)  # rule 2: a repeat takes its forerunner's result, run or not
        elif grading.referenced and not self._remember(item, now, max(grading.window, item.due - now)):
            self._turn_away(item, now)  # unremembered it must not run
        else:
            if self._fresh > 0 and arrival.has_key and grading.replayable:
                self._remember(item, now, item.due - now + self._fresh)
            if waits and item.inside < 1:  # the whole fleet counts its share: it would help nowhere
                self._turn_away(item, now, True)
            elif self._too_late(item, now) if waits else self._hopeless(item, now, full=False):
                self._turn_away(item, now, arrival.is_retry or age > 0 or self._weight < LAST_UNDER)
        return self._decide(now)

    def run_ended(self, now: float, ident: int, outcome: Outcome, took_ms: float) -> Decisions:
        """A run, or a joining, came to its end."""
        item = self._items.get(ident)
        if item is not None:
            if outcome is Outcome.CANCELLED and item.state in (RequestState.RUNNING, RequestState.DEGRADED):
                self._move(now, item, RequestState.QUEUED, told=False)  # off the cores, its answer still owed
            else:
                if outcome is Outcome.OK and item.ran and item.state is not RequestState.DEGRADED:
                    self._learn(item, now, max(0.0, took_ms - item.call_ms))
                self._move(now, item, ENDS.get(outcome, RequestState.CANCELLED), told=False, over=True)
        return self._decide(now)

    def call_requested(self, now: float, ident: int) -> Decisions:
        """A running transaction stands at a call and waits for leave."""
        item = self._items.get(ident)
        if item is not None and item.state in (RequestState.RUNNING, RequestState.ORPHANED, RequestState.DEGRADED):
            spent = item.state is RequestState.ORPHANED  # answered or abandoned: nothing is called for it
            self._move(
                now, item, RequestState.CANCELLED if spent else RequestState.AWAITING_CALL, told=False, over=spent
            )
            item.since, item.limit = now, -inf
        return self._decide(now)

    def call_returned(self, now: float, ident: int, outcome: Outcome, took_ms: float) -> Decisions:
        """A call ended; unless it went well its transaction stands at the call again."""
        item = self._items.get(ident)
        if item is not None and item.state is RequestState.CALL_IN_FLIGHT:
            self._count_calls(now)
            if outcome is Outcome.TIMEOUT:
                self._lingering.append(now + self._linger)
            if not outcome.proves_never_ran:
                self._call_time.record(now, took_ms)
                self._size_calls(now, took_ms)
            item.call_ms, item.since = item.call_ms + now - item.since, now
            self._spare(now, item)
            if outcome is Outcome.OK:
                self._move(now, item, RequestState.RUNNING, told=False)
            else:
                self._move(now, item, RequestState.AWAITING_CALL, told=False)
                # what sheds calls needs fewer of them, so one turned away is not sent again at once
                item.limit = now + self._call_time.at(now) if outcome.proves_never_ran else -inf
                if not (item.grading.replayable or outcome.proves_never_ran):  # rule 2
                    self._move(now, item, RequestState.DEGRADED if item.grading.omittable else RequestState.FAILED)
        return self._decide(now)

    def limit_calls(self, now: float, most: float, rest_ms: float) -> Decisions:
        """While this server comes up, or what lies below fails: so many at most, and none for so long."""
        self._call_most = most
        self._call_rest = max(self._call_rest, now + rest_ms)
        return self._decide(now)

    def client_disconnected(self, now: float, ident: int) -> Decisions:
        """Nothing is owed any more."""
        item = self._items.get(ident)
        if item is not None and item.state is not RequestState.ORPHANED:
            self._move(now, item, RequestState.CANCELLED, told=False)
        return self._decide(now)

    def drain(self, now: float, kill_ms: float) -> Decisions:
        """This server is being taken out and is killed at kill_ms."""
        self._drain_at, self._kill, self._owed_next = now, kill_ms, now
        self._result.health = Health(is_healthy=False, is_cached=True)
        return self._decide(now)

    def settings_changed(self, now: float, settings: Settings) -> Decisions:
        """Other settings from here on, with all that is in hand and was learned carried over."""
        self._adopt(settings)
        self._owed_next = self._call_rest = now  # what is owed, and until when calls rest, may have moved
        return self._decide(now)

    def timer_fired(self, now: float, gauges: Gauges) -> Decisions:
        """A wake that was asked for, with the gauges of the moment."""
        self._wake_at = inf if now >= self._wake_at else self._wake_at
        if now >= self._window_end and gauges.cpu_utilization is not None:
            self._busy, self._connections = gauges.cpu_utilization, gauges.connection_count or 0.0
            self._size_limit()
        return self._decide(now)

    # Decisions

    def _decide(self, now: float) -> Decisions:
        """All that follows from an event, in one order."""
        if now >= self._window_end:
            self._close_window(now)
        self._answer_due(now)
        self._serve_calls(now)
        self._start_held(now)
        self._keep_memory(now)
        self._speak(now)
        result, self._result = self._result, Decisions()
        return result

    def _move(
        self,
        now: float,
        item: TrackedRequest,
        state: RequestState,
        span_ms: float = 0.0,
        last: bool = False,
        told: bool = True,
        over: bool = False,
    ) -> None:
        """The one place where a transaction changes its state. told: the server has to act on it; over: its
        run has ended, so that nothing of it is left on a core."""
        before = item.state
        if told:
            self._result.state_changes.append(StateChange(item.id, state, span_ms, last))
        if before is RequestState.CALL_IN_FLIGHT:
            self._count_calls(now)
            if state in FINAL:  # given up, it stays in the dependency's hands for a while
                self._lingering.append(now + self._linger)
        del self._in[before][item.id]
        if state in LEFT_UNRUN and item.grading.referenced and not item.ran and item.id in self._entries:
            del self._entries[item.id]
            self._result.idempotency_updates.append(IdempotencyUpdate(item.id, 0.0))
        if state in FINAL:
            if over or before in UNRUN or before is RequestState.PAUSED:
                del self._items[item.id]
                return
            state = RequestState.ORPHANED  # rule 4: it stays on its core, or at its call, until its end is told
        if before is RequestState.QUEUED:
            item.ran, item.began = item.ran or state is RequestState.RUNNING, now
            if state is RequestState.RUNNING:
                item.grading.begun.add(now, 1.0)
            if state is RequestState.RUNNING and item.customer in self._shares:
                self._started[""].add(now, 1.0)
                self._started[item.customer].add(now, 1.0)
        item.state = state
        self._in[state][item.id] = item

    def _age(self, item: TrackedRequest, reached: float) -> float:
        """How long ago its first try came, where the wait told is cut by its client's end; else 0. Harm: a
        caller whose wait is rare here passes for an old one, while others wait."""
        wait, abandon = item.due - reached, item.grading.abandon
        return max(0.0, abandon - wait) if item.grading.waits.is_cut(wait / abandon) else 0.0

    def _rank(self, item: TrackedRequest, arrival: Arrival, now: float) -> None:
        """Credit over expected work, less beyond a customer's share, or its part of all starts if more."""
        if arrival.tenant in self._shares:
            part, count = self._shares[arrival.tenant], self._started[arrival.tenant].total(now)[1]
            part *= max(1.0, self._started[""].total(now)[1] / self._shares_all)
            item.inside = min(1.0, (part + SIGMAS * sqrt(part)) / max(count, 1e-9))
        worth = item.inside + self._beyond * (1 - item.inside)
        worth *= max(AGAIN_LEAST, 1 - self._further) if arrival.is_retry else 1.0
        density = item.grading.credit / (1.0 if self._by_work else max(item.work, 1e-9))
        density = worth * (max(density, self._best) if item.grading.starved else density)
        item.sort = (-density, item.worth_until, item.id)

    def _judged(self, item: TrackedRequest) -> float:
        """The time by which an answer has to be there to be worth its work."""
        return min(self._owed(item), item.worth_until if item.grading.by_quoted else inf)

    def _owed(self, item: TrackedRequest) -> float:
        """The time by which it has to be answered, whatever becomes of it."""
        return min(item.due, self._kill - self._last_words)

    def _too_late(self, item: TrackedRequest, now: float) -> bool:
        """The design's prediction: held work ahead over the running limit, plus the own mean."""
        ahead = sum(each.work for each in self._in[RequestState.QUEUED].values() if each.sort < item.sort)
        wait = ahead / self._turning if self._turning else inf
        return now + SPREAD * (wait + item.work + item.grading.at_calls.at(now)) > self._judged(item)

    def _hopeless(self, item: TrackedRequest, now: float, full: bool) -> bool:
        """Not in time even if it started now. With a core free only recent runs can tell: a slow server sends
        on what it would spoil, yet what it learned under pressure does not keep it from learning better."""
        own = item.work if full else min(item.work, item.grading.run.recent_mean(now))
        calls = item.grading.at_calls
        return now + own + (calls.at(now) if full else calls.recent_mean(now)) > self._judged(item)

    def _turn_away(self, item: TrackedRequest, now: float, last: bool = False) -> None:
        self._early += 1
        held = sum(each.work for each in self._in[RequestState.QUEUED].values())
        spread = self._advice_part * self._random.uniform(0.75, 1.25)  # so that not all come back at once
        advice = inf if now >= self._drain_at else (self._unread_ms + held / self._limit) * spread
        self._move(now, item, RequestState.REJECTED, min(advice, self._advice_max), last and now < self._drain_at)

    def _learn(self, item: TrackedRequest, now: float, core_ms: float) -> None:
        grading = item.grading
        grading.run.record(now, core_ms)
        if item.hint:
            grading.ratio.record(now, core_ms / item.hint)
        grading.at_calls.record(now, item.call_ms)

    def _close_window(self, now: float) -> None:
        if self._early or self._unread > UNREAD_CUT:
            self._weight *= WEIGHT_CUT
        elif self._unread <= UNREAD_KEEP and (self._reads or self._busy < BUSY):
            self._weight = min(1.0, self._weight + WEIGHT_GAIN)
        self._count_turning(now)
        self._trim_idle()
        self._find_starved(now)
        self._early, self._reads, self._unread, self._window_end = 0, 0, 0.0, now + WINDOW_MS
        self._entries = {ident: until for ident, until in self._entries.items() if until > now}

    def _find_starved(self, now: float) -> None:
        """Where credits lie far apart a crowd would leave the least of them nothing: a grade of which too few
        first tries start goes with the best until it has its part. Acts where further tries are marked, as
        unmarked ones would pass for first. Harm: the credit of what it displaces."""
        self._best = 0.0
        for each in self._gradings.values():
            due, begun = GRADE_LEAST * each.first.total(now)[1], each.begun.total(now)[1]
            each.starved = self._marks_again and begun + SIGMAS * sqrt(due) < due
            work = 1.0 if self._by_work else max(each.run.at(now), 1e-9)
            self._best = max(self._best, each.credit / work)

    def _trim_idle(self) -> None:
        """A full table turns callers back unseen. While the cores are busy that costs nothing and spares them
        the reading; while they idle it keeps work from them, so that unused connections go sooner then. One
        keeps the time in force when it was last used. Harm: callers that pause open theirs anew."""
        many = IDLE_FROM * self._crowd_more
        if self._callers <= many:  # all of them find a place
            return
        if self._busy >= BUSY:
            self._idle_part = min(1.0, self._idle_part * (1 + WEIGHT_GAIN))
        elif self._connections > many:
            self._idle_part = max(IDLE_LEAST, self._idle_part * WEIGHT_CUT)
        span = self._idle_max * self._idle_part
        if abs(span - self._idle) > 0.1 * self._idle:
            self._idle = self._result.idle_connection_timeout_ms = span

    def _size_calls(self, now: float, took_ms: float) -> None:
        """How many calls may be out, judged by each that ends: what is crowded answers less. Under one a rest
        follows each. Time unread and under a tick tells nothing; where calls vary too few go out."""
        if took_ms - self._unread_ms > CALLS_SLOW * max(self._call_best, self._margin / 2):
            self._call_limit = max(CALL_LEAST * self._call_share, self._call_limit * WEIGHT_CUT)
        else:
            self._call_limit = min(self._call_share, self._call_limit * (1 + WEIGHT_GAIN))
        total, count = self._call_time.recent.total(now)
        if count >= CALLS_KNOWN:
            self._call_best = min(self._call_best, total / count)
        self._call_rest = now + took_ms * max(0.0, 1 / self._call_limit - 1)

    def _count_turning(self, now: float) -> None:
        """The slots that turn over: a run far past its mean frees none soon. It covers cores that hang, a
        server that turned slow and costly transactions; widely varying work is judged a little too hard."""
        stuck = sum(
            now - each.began - each.call_ms > STUCK * max(each.work, each.grading.run.at(now))
            for state in ON_CORE
            for each in self._in[state].values()
        )
        self._turning = max(self._limit - stuck, 0.0)

    def _size_limit(self) -> None:
        """The running limit grows while cores idle and work waits, and falls back to the cores."""
        if self._unread > UNREAD_KEEP:
            self._limit = max(self._cores / 2, self._limit - 1)
        elif self._limit < self._cores or (self._busy < BUSY and self._in[RequestState.QUEUED]):
            self._limit += 1
        elif self._limit > self._cores:
            self._limit -= 1
        self._limit = min(self._limit, self._most)

    def _answer_due(self, now: float) -> None:
        """Rule 1, and held work that cannot be in time; what was answered is stopped where it can be. Once a
        tick, or when something is due: a long hold looked through at each event would take the core."""
        for item in self._in[RequestState.ORPHANED].values() if self._halts else ():
            if now - item.asked >= WINDOW_MS:
                item.asked = now
                self._result.state_changes.append(StateChange(item.id, RequestState.ORPHANED))
        if now < min(self._looked + self._margin / 2, self._owed_next - self._margin):
            return
        full, self._looked = self._on_cores() + len(self._in[RequestState.QUEUED]) > self._limit, now
        for item in list(self._in[RequestState.QUEUED].values()):
            if now >= self._owed(item) - self._margin or self._hopeless(item, now, full):
                if item.ran and not item.grading.replayable:
                    self._move(now, item, RequestState.FAILED)
                else:
                    self._turn_away(item, now)
        if now >= self._owed_next - self._margin:  # the rest is looked through only when one of it may be due
            for item in [each for each in self._items.values() if each.state is not RequestState.ORPHANED]:
                if now >= self._owed(item) - self._margin:
                    self._move(now, item, RequestState.FAILED)
            self._owed_next = min(
                (self._owed(each) for each in self._items.values() if each.state is not RequestState.ORPHANED),
                default=inf,
            )

    def _start_held(self, now: float) -> None:
        most = min(
            CROWD_PART * self._crowd(now) - len(self._in[RequestState.CALL_IN_FLIGHT]), self._limit + 1, self._most
        )
        line = len(self._in[RequestState.AWAITING_CALL]) >= self._cores
        for item in sorted(self._in[RequestState.QUEUED].values(), key=SORT) if self._on_cores() < most else ():
            on_cores = self._on_cores()
            if on_cores >= most or (on_cores >= self._limit and not self._ahead(item)):
                return
            if item.ran and not item.grading.replayable:
                continue
            if line and item.grading.calls and not item.grading.omittable:
                continue  # a line stands at the calls: more that needs one would only join it
            if self._reserved and on_cores + self._kept_free(item) >= most:
                continue
            if self._used() + (self._run_factor - 1) * item.kb <= self._memory:
                self._move(now, item, RequestState.RUNNING)

    def _kept_free(self, item: TrackedRequest) -> float:
        """Slots that stay free for other grades than this one's, by the operators' reserves."""
        free = {name: slots for name, slots in self._reserved.items() if name != item.grading.name}
        for state in ON_CORE:
            for each in self._in[state].values():
                if each.grading.name in free:
                    free[each.grading.name] -= 1
        return sum(max(0.0, slots) for slots in free.values())

    def _ahead(self, item: TrackedRequest) -> bool:
        """One over the limit where all that runs is worth far less for its work. Harm: it slows what runs."""
        runs = [*self._in[RequestState.RUNNING].values(), *self._in[RequestState.DEGRADED].values()]
        return bool(runs) and item.sort[0] <= AHEAD * min(runs, key=SORT).sort[0]

    def _serve_calls(self, now: float) -> None:
        """Leave to call, most credit for its work first; what cannot goes on without or is given up."""
        most = min(self._call_limit, self._call_most)
        free = len(self._in[RequestState.CALL_IN_FLIGHT]) + len(self._lingering) + 1 <= max(1.0, most)
        if not self._in[RequestState.AWAITING_CALL] or (
            now > self._looked and not free
        ):  # a long line, too, once a tick
            return
        self._count_calls(now)
        one, ahead, room = self._call_time.at(now), 0, inf
        for item in sorted(
            self._in[RequestState.AWAITING_CALL].values(),
            key=lambda each: (now + one + each.work / 2 > self._judged(each), each.sort),
        ):  # what is too late goes last
            end = self._judged(item) if item.grading.replayable else self._owed(item)
            left = end - self._margin - now - item.work / 2
            wait = ahead * one / most + max(0.0, self._call_rest - now)
            self._spare(now, item)
            if item.grading.omittable and (
                left < one or wait > CALL_WAIT * item.grading.quoted or now < self._call_spared
            ):
                self._move(now, item, RequestState.DEGRADED)
            elif left <= 0 and item.grading.replayable:
                self._move(now, item, RequestState.FAILED)
            elif item.limit <= now and self._call_rest <= now:
                out = len(self._in[RequestState.CALL_IN_FLIGHT])
                fits = out + len(self._lingering) + 1 <= max(1.0, most)
                if fits and room >= one and self._on_cores() + out < CROWD_PART * self._crowd(now):
                    room = self._call_room(now)  # it costs a look at all calls: once no one fits, none does
                    if room >= one:
                        span = min(max(left, one), room)
                        self._move(now, item, RequestState.CALL_IN_FLIGHT, span)
                        item.call_ms += now - item.since
                        item.limit, item.since = now + span, now
                ahead += item.state is RequestState.AWAITING_CALL

    def _spare(self, now: float, item: TrackedRequest) -> None:
        """One that needs its calls has stood there long: for a while, what can do without leaves them to it.
        It covers a dependency that is slow or shared by more than foreseen, told from one's own line. Harm:
        a share of the credit where the slowness lay elsewhere, as in a standstill of this server alone."""
        if not item.grading.omittable and now - item.since + item.call_ms > CALL_SPARED * item.grading.quoted:
            self._call_spared = now + item.grading.quoted

    def _call_room(self, now: float) -> float:
        """Rule 4: the longest call that keeps this server's part in the mean of any coming span."""
        ends = [each.limit - now + self._linger for each in self._in[RequestState.CALL_IN_FLIGHT].values()]
        ends += [until - now for until in self._lingering]
        room, most = inf, (self._call_share - (len(ends) + 1) * 17 / 16) * self._call_span
        # where even calls out throughout would fit, no span needs a look
        for ahead, past in (
            self._call_ring.remaining_after_each_bucket(now) if self._call_ring.total(now)[0] > most else ()
        ):
            free = self._call_share * self._call_span - past - sum(min(max(end, 0.0), ahead) for end in ends)
            room = min(room, free - self._linger) if free < ahead else room
        return room

    def _count_calls(self, now: float) -> None:
        out = len(self._in[RequestState.CALL_IN_FLIGHT]) + len(self._lingering)
        self._call_ring.add(now, out * (now - self._call_mark))
        self._call_mark = now
        self._lingering = [until for until in self._lingering if until > now]

    def _remember(self, item: TrackedRequest, now: float, span_ms: float) -> bool:
        if self._used() + self._entry_kb > self._memory:
            return False
        self._entries[item.id] = now + span_ms
        self._result.idempotency_updates.append(IdempotencyUpdate(item.id, span_ms))
        return True

    def _keep_memory(self, now: float) -> None:
        """Rule 4: what is held yields, least credit for its work first; then what joined, whose forerunner
        may have run, so that it is not dismissed."""
        while self._in[RequestState.QUEUED] and self._used() > self._memory:
            self._turn_away(max(self._in[RequestState.QUEUED].values(), key=SORT), now)
        while self._in[RequestState.COALESCED] and self._used() > self._memory:
            self._move(now, max(self._in[RequestState.COALESCED].values(), key=SORT), RequestState.FAILED)

    def _speak(self, now: float) -> None:
        """Outward words that changed: the weight in the callers' meaning, and the next wake."""
        weight = 0.0 if now >= self._drain_at + self._grace else self._weight
        if weight != self._said and self._said_as is not LoadSignal.NONE:
            self._result.advertised_weight = {
                LoadSignal.SELECTION_PROBABILITY: weight,
                LoadSignal.CLIENT_CONCURRENCY: weight * self._slots_each,
                LoadSignal.PRIORITY_THRESHOLD: 1 - weight,
            }[self._said_as]
        self._said = weight
        rest = self._call_rest if self._in[RequestState.AWAITING_CALL] and self._call_rest > now else inf
        wake = max(now + self._margin / 2, min(self._window_end, self._owed_next - self._margin, rest))
        if wake < self._wake_at:
            self._wake_at = wake
            self._result.wake_in_ms = wake - now

    # Figures of the fourth rule

    def _on_cores(self) -> int:
        return (
            len(self._in[RequestState.RUNNING])
            + len(self._in[RequestState.DEGRADED])
            + len(self._in[RequestState.ORPHANED])
        )

    def _crowd(self, now: float) -> float:
        warmth = min(1.0, self._cold_from + (1 - self._cold_from) * (now - self._began) / self._cold_ms)
        return self._cores + self._crowd_more * warmth

    def _used(self) -> float:
        """Memory: held, running and remembered."""
        every, held, joined = (
            sum(item.kb for item in each.values())
            for each in (self._items, self._in[RequestState.QUEUED], self._in[RequestState.COALESCED])
        )
        unrun = held + joined
        return self._entry_kb * len(self._entries) + self._run_factor * every - (self._run_factor - 1) * unrun
