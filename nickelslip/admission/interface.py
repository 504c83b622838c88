"""What a server tells the admission control, and what it is told back.

Types only: every decision is in control.py. Times are float milliseconds of one clock that
only goes forward; memory is in kilobytes; ids and names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class Repeat(Enum):
    """What may happen to a transaction a second time."""

    REPLAYABLE = "may run again"
    REFERENCED = "runs once within its window; a repeat is known by its mark"
    SINGLE_USE = "never runs twice"


class Stopping(Enum):
    """Whether a run can be taken off the cores."""

    NEVER = "it runs to its end"
    DROP = "it falls back into the hold, its work lost"
    PAUSE = "it keeps its progress and its memory"


class Said(Enum):
    """What the callers take the said value for."""

    NOTHING = "no value can be said"
    CHANCE = "the chance that a caller does not pass this server over"
    SLOTS = "how many transactions each caller may have out here"
    RANK = "the lowest rank that is still sent here"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "well"
    ERROR = "with an error"
    FULL = "turned away unseen"
    TIMEOUT = "given up"
    UNREACHED = "never got there"
    RESET = "broke off"
    CANCELLED = "stopped"
    MOOT = "over before it began"

    @property
    def proves_never_ran(self) -> bool:
        return self in (Outcome.FULL, Outcome.UNREACHED, Outcome.MOOT)


class State(Enum):
    """The life of a transaction; a change into one of them is an order to the server."""

    HELD = "read, and waiting for a running slot"  # from RUNNING: take it off the cores
    RUNNING = "on the cores"
    PAUSED = "taken off the cores with its progress kept"
    AT_CALL = "stands at a call, waiting for leave"
    CALLING = "its call is out"
    OMITTED = "goes on without its call"
    JOINED = "takes the result of its forerunner"
    SPENT = "answered or abandoned, and still on a core"  # as an order: take it off, if possible
    SATISFIED = "answered with its result"
    DISMISSED = "turned away, unrun or replayable"
    FORFEITED = "answered with an error"
    ABANDONED = "its caller has gone"

    __hash__ = object.__hash__  # states are keys at every step; Enum's own hash is a call of Python code


@dataclass(frozen=True)
class Grade:
    """A service grade."""

    name: str
    credit: float
    quoted_ms: float
    abandon_ms: float
    repeat: Repeat
    window_ms: float = 0.0  # REFERENCED: a repeat may come this long after an arrival
    late_share: float = 0.0  # what an answer after the quoted time still earns
    stretch: float = 0.0  # extra quoted time, as a multiple of the transaction's work
    calls: bool = False
    omit_share: float = 0.0  # what an answer without its call earns; 0: not allowed
    reserve: int = 0  # running slots that other grades leave free for it


class Customer(NamedTuple):
    """Who sends, and how much a second of it, over all servers, counts in full."""

    name: str
    share_per_s: float


@dataclass(frozen=True)
class Settings:
    """What a server knows of itself when it starts."""

    grades: tuple[Grade, ...]
    cores: int
    memory_kb: float
    run_factor: float  # memory of a running transaction over that of a held one
    cold: bool
    cold_from: float  # share of its speed that a cold server starts at
    cold_ms: float
    crowd_multiple: float  # running transactions a core that a warm server survives
    answer_slack_ms: float
    drain_grace_ms: float
    tick_ms: float
    servers: int = 1
    callers: int = 1
    customers: tuple[Customer, ...] = ()
    beyond_share_worth: float = 1.0
    counted_by_work: bool = False
    marks_again: bool = False
    stopping: Stopping = Stopping.NEVER
    said: Said = Said.NOTHING
    advice_max_ms: float = 0.0  # longest advice that is passed on; 0: none is
    call_share: float = 0.0  # mean number of calls out that is this server's part; 0: no bound told
    call_span_ms: float = 0.0
    call_linger_ms: float = 0.0  # a call given up stays out this long
    entry_kb: float = 0.0
    fresh_ms: float = 0.0  # how long the answer to a read may serve others
    idle_ms: float = 0.0  # callers close unused connections after this
    checks_work: bool = False  # a check works like a small transaction unless answered from store
    running_most: float = inf  # transactions on the cores at once that the operators allow


@dataclass(slots=True, eq=False)
class Arrival:
    """A transaction as it was read."""

    id: int
    grade: str
    kb: float
    customer: str | None = None
    due_ms: float | None = None  # when its caller gives this try up, where that is told
    cost_hint_ms: float | None = None
    again: bool = False  # marked as a further try
    caller: int | None = None
    unread_ms: float = 0.0
    forerunner: int | None = None  # the remembered transaction of which this is a repeat
    keyed: bool = False  # it carries a key by which a like one is known


class Gauges(NamedTuple):
    """What a server measures of itself, where it does."""

    busy: float | None = None  # share of the cores
    wanting: float | None = None  # all that wants a core now
    memory: float | None = None  # share in use
    connections: float | None = None


class Change(NamedTuple):
    """One decided change of state."""

    id: int
    state: State
    span_ms: float = 0.0  # DISMISSED: when to come back; CALLING: time-out of the call
    last: bool = False  # DISMISSED: another server would not help


class Remembrance(NamedTuple):
    """One change of the table; a span of 0 drops the entry."""

    id: int
    span_ms: float


class Health(NamedTuple):
    """How checks are answered from now on."""

    good: bool
    stored: bool


@dataclass(eq=False)
class Result:
    """What one call decided. The outward words go out first, then the table, then the changes in order."""

    changes: list[Change] = field(default_factory=list)
    table: list[Remembrance] = field(default_factory=list)
    said: float | None = None
    health: Health | None = None
    idle_ms: float | None = None
    wake_in_ms: float | None = None
