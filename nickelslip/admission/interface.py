"""What a server tells the admission control, and what it is told back.

Types only: every decision is in control.py. Times are float milliseconds of one clock that
only goes forward; memory is in kilobytes; ids and names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class RetrySafety(Enum):
    """What may happen to a transaction a second time."""

    IDEMPOTENT = "may run again"
    IDEMPOTENCY_KEY = "runs once within its window; a repeat is known by its mark"
    NON_IDEMPOTENT = "never runs twice"


class Preemption(Enum):
    """Whether a run can be taken off the cores."""

    NEVER = "it runs to its end"
    DISCARD_PROGRESS = "it falls back into the hold, its work lost"
    KEEP_PROGRESS = "it keeps its progress and its memory"


class LoadSignal(Enum):
    """What the callers take the said value for."""

    NONE = "no value can be said"
    SELECTION_PROBABILITY = "the chance that a caller does not pass this server over"
    CLIENT_CONCURRENCY = "how many transactions each caller may have out here"
    PRIORITY_THRESHOLD = "the lowest rank that is still sent here"


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "well"
    ERROR = "with an error"
    REJECTED = "turned away unseen"
    TIMEOUT = "given up"
    CONNECT_FAILED = "never got there"
    RESET = "broke off"
    CANCELLED = "stopped"
    NOT_STARTED = "over before it began"

    @property
    def proves_never_ran(self) -> bool:
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class RequestState(Enum):
    """The life of a transaction; a change into one of them is an order to the server."""

    QUEUED = "read, and waiting for a running slot"  # from RUNNING: take it off the cores
    RUNNING = "on the cores"
    PAUSED = "taken off the cores with its progress kept"
    AWAITING_CALL = "stands at a call, waiting for leave"
    CALL_IN_FLIGHT = "its call is out"
    DEGRADED = "goes on without its call"
    COALESCED = "takes the result of its forerunner"
    ORPHANED = "answered or abandoned, and still on a core"  # as an order: take it off, if possible
    COMPLETED = "answered with its result"
    REJECTED = "turned away, unrun or replayable"
    FAILED = "answered with an error"
    CANCELLED = "its caller has gone"

    __hash__ = object.__hash__  # states are keys at every step; Enum's own hash is a call of Python code


@dataclass(frozen=True)
class TrafficClass:
    """A service grade."""

    name: str
    priority_weight: float
    latency_objective_ms: float
    timeout_ms: float
    retry_safety: RetrySafety
    idempotency_window_ms: float = 0.0  # REFERENCED: a repeat may come this long after an arrival
    late_value_fraction: float = 0.0  # what an answer after the quoted time still earns
    objective_stretch: float = 0.0  # extra quoted time, as a multiple of the transaction's work
    makes_calls: bool = False
    degraded_value_fraction: float = 0.0  # what an answer without its call earns; 0: not allowed
    reserved_slot_count: int = 0  # running slots that other grades leave free for it


class Tenant(NamedTuple):
    """Who sends, and how much a second of it, over all servers, counts in full."""

    name: str
    quota_per_s: float


@dataclass(frozen=True)
class Settings:
    """What a server knows of itself when it starts."""

    traffic_classes: tuple[TrafficClass, ...]
    core_count: int
    memory_kb: float
    running_memory_factor: float  # memory of a running transaction over that of a held one
    starts_cold: bool
    cold_speed_fraction: float  # share of its speed that a cold server starts at
    warm_up_ms: float
    overload_concurrency_per_core: float  # running transactions a core that a warm server survives
    answer_slack_ms: float
    drain_grace_ms: float
    tick_ms: float
    server_count: int = 1
    client_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_value_fraction: float = 1.0
    value_counts_work: bool = False
    clients_mark_retries: bool = False
    preemption: Preemption = Preemption.NEVER
    load_signal: LoadSignal = LoadSignal.NONE
    retry_after_max_ms: float = 0.0  # longest advice that is passed on; 0: none is
    dependency_concurrency_share: float = 0.0  # mean number of calls out that is this server's part; 0: no bound told
    dependency_window_ms: float = 0.0
    abandoned_call_linger_ms: float = 0.0  # a call given up stays out this long
    idempotency_record_kb: float = 0.0
    response_cache_ms: float = 0.0  # how long the answer to a read may serve others
    idle_connection_timeout_ms: float = 0.0  # callers close unused connections after this
    health_check_costs_work: bool = False  # a check works like a small transaction unless answered from store
    max_concurrency: float = inf  # transactions on the cores at once that the operators allow


@dataclass(slots=True, eq=False)
class Arrival:
    """A transaction as it was read."""

    id: int
    traffic_class: str
    memory_kb: float
    tenant: str | None = None
    deadline_at_ms: float | None = None  # when its caller gives this try up, where that is told
    cost_hint_ms: float | None = None
    is_retry: bool = False  # marked as a further try
    client: int | None = None
    read_delay_ms: float = 0.0
    original_request_id: int | None = None  # the remembered transaction of which this is a repeat
    has_key: bool = False  # it carries a key by which a like one is known


class Gauges(NamedTuple):
    """What a server measures of itself, where it does."""

    cpu_utilization: float | None = None  # share of the cores
    run_queue_length: float | None = None  # all that wants a core now
    memory_utilization: float | None = None  # share in use
    connection_count: float | None = None


class StateChange(NamedTuple):
    """One decided change of state."""

    id: int
    state: RequestState
    duration_ms: float = 0.0  # DISMISSED: when to come back; CALLING: time-out of the call
    retry_elsewhere_useless: bool = False  # DISMISSED: another server would not help


class IdempotencyUpdate(NamedTuple):
    """One change of the table; a span of 0 drops the entry."""

    id: int
    retention_ms: float


class Health(NamedTuple):
    """How checks are answered from now on."""

    is_healthy: bool
    is_cached: bool


@dataclass(eq=False)
class Decisions:
    """What one call decided. The outward words go out first, then the table, then the changes in order."""

    state_changes: list[StateChange] = field(default_factory=list)
    idempotency_updates: list[IdempotencyUpdate] = field(default_factory=list)
    advertised_weight: float | None = None
    health: Health | None = None
    idle_connection_timeout_ms: float | None = None
    wake_in_ms: float | None = None
