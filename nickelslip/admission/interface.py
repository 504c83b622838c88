"""The types that go into the admission controller and come out of it.

Types only; nothing here decides. Moments are float milliseconds on one clock that only goes forward. Memory is in
kilobytes. Ids and names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class RetrySafety(Enum):
    """Whether a request may be run a second time."""

    IDEMPOTENT = "may run again"
    IDEMPOTENCY_KEY = "runs once within its window; a retry is known by its idempotency key"
    NON_IDEMPOTENT = "never runs twice"


class Preemption(Enum):
    """Whether a run can be taken off the cores."""

    NEVER = "it runs to its end"
    DISCARD_PROGRESS = "it goes back into the queue, its work lost"
    KEEP_PROGRESS = "it keeps its progress and its memory"


class LoadSignal(Enum):
    """What clients take the advertised value for."""

    NONE = "nothing can be advertised"
    SELECTION_PROBABILITY = "the probability with which a client selects this server when its turn comes"
    CLIENT_CONCURRENCY = "how many requests each client may have open here"
    PRIORITY_THRESHOLD = "the lowest priority that is still sent here"


class Outcome(Enum):
    """How a run or a dependency call ended."""

    OK = "it returned a result"
    ERROR = "it returned an error"
    REJECTED = "the dependency rejected it before it began"  # calls only
    TIMEOUT = "it was abandoned after its timeout"
    CONNECT_FAILED = "no connection could be made"
    RESET = "the connection broke"
    CANCELLED = "it was stopped before its end"
    NOT_STARTED = "it was never started"

    @property
    def proves_never_ran(self) -> bool:
        """Whether this outcome proves that nothing was executed."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class RequestState(Enum):
    """The state of a request. A change into one of them is an instruction to the server."""

    QUEUED = "read, and waiting for a slot"
    RUNNING = "on the cores"
    PAUSED = "taken off the cores with its progress kept"  # not entered by any rule at present
    AWAITING_CALL = "its run waits for permission to call the dependency"
    CALL_IN_FLIGHT = "its dependency call is in flight"
    DEGRADED = "goes on without its call"
    COALESCED = "takes the result of its original"
    ORPHANED = "answered or cancelled, its run still on a core"  # as an instruction: stop it, if possible
    COMPLETED = "answered with its result"
    REJECTED = "rejected; not run, or idempotent"
    FAILED = "answered with an error"
    CANCELLED = "its client is gone"

    __hash__ = object.__hash__  # states are keys at every step; Enum's own hash is a call of Python code


FINAL_STATES = (RequestState.COMPLETED, RequestState.REJECTED, RequestState.FAILED, RequestState.CANCELLED)


@dataclass(frozen=True)
class TrafficClass:
    """A class of requests, as it is configured."""

    name: str
    priority_weight: float
    latency_objective_ms: float
    timeout_ms: float
    retry_safety: RetrySafety
    idempotency_window_ms: float = 0.0  # IDEMPOTENCY_KEY: a retry may come this long after the first attempt
    late_value_fraction: float = 0.0  # fraction of the value that an answer after the objective has
    objective_stretch: float = 0.0  # additional objective, as a multiple of the request's run time
    makes_calls: bool = False
    degraded_value_fraction: float = 0.0  # fraction of the value of an answer without its call; 0: not allowed
    reserved_slot_count: int = 0  # slots that requests of other classes do not take


class Tenant(NamedTuple):
    """Who sends requests, and at which rate, over all servers, they count in full."""

    name: str
    quota_per_s: float


@dataclass(frozen=True)
class Settings:
    """What a server knows of itself and its surroundings."""

    traffic_classes: tuple[TrafficClass, ...]
    core_count: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request over that of a queued one
    starts_cold: bool
    cold_speed_fraction: float  # fraction of its speed that a cold machine starts with
    warm_up_ms: float
    overload_concurrency_per_core: float  # running requests per core that a warm machine survives
    answer_slack_ms: float
    drain_grace_ms: float
    tick_ms: float
    server_count: int = 1
    client_count: int = 1
    tenants: tuple[Tenant, ...] = ()
    over_quota_value_fraction: float = 1.0
    value_counts_work: bool = False  # the priority weight is per unit of work, not per request
    clients_mark_retries: bool = False
    preemption: Preemption = Preemption.NEVER
    load_signal: LoadSignal = LoadSignal.NONE
    retry_after_max_ms: float = 0.0  # the longest Retry-After that is passed on; 0: none is
    dependency_concurrency_share: float = 0.0  # this server's share, as a mean of calls in flight; 0: not told
    dependency_window_ms: float = 0.0  # over which the share is a mean
    abandoned_call_linger_ms: float = 0.0  # an abandoned call occupies the dependency for so long
    idempotency_record_kb: float = 0.0
    response_cache_ms: float = 0.0  # how long the answer to a read may serve like reads
    idle_connection_timeout_ms: float = 0.0  # clients close unused connections after this
    health_check_costs_work: bool = False  # like a small request, unless answered from a cached result
    max_concurrency: float = inf  # requests on the cores at once that the operators allow


@dataclass(slots=True, eq=False)
class Arrival:
    """A request as it was read."""

    id: int
    traffic_class: str
    memory_kb: float
    tenant: str | None = None
    deadline_at_ms: float | None = None  # when its client gives this attempt up, where that is told
    cost_hint_ms: float | None = None
    is_retry: bool = False  # marked as a retry
    client: int | None = None
    read_delay_ms: float = 0.0  # for how long it lay unread
    original_request_id: int | None = None  # the recorded request of which this is a repetition
    has_key: bool = False  # it carries a key by which a like request is known


class Gauges(NamedTuple):
    """What the machine measures of itself, where it does."""

    cpu_utilization: float | None = None  # fraction of the cores in use
    run_queue_length: float | None = None  # all that wants a core now
    memory_utilization: float | None = None  # fraction in use
    connection_count: float | None = None


class StateChange(NamedTuple):
    """A decided change of a request's state."""

    id: int
    state: RequestState
    duration_ms: float = 0.0  # REJECTED: when to come back; CALL_IN_FLIGHT: timeout of the call
    retry_elsewhere_useless: bool = False  # REJECTED: another server would not help


class IdempotencyUpdate(NamedTuple):
    """A decided change of the idempotency table; a retention of 0 drops the record."""

    id: int
    retention_ms: float


class Health(NamedTuple):
    """How health checks are answered from now on."""

    is_healthy: bool
    is_cached: bool  # from a cached result, at little cost; a server whose answers are always cheap may pass over it


@dataclass(eq=False)
class Decisions:
    """What was decided after one event.

    The server carries it out in this order: what is told to clients, the idempotency updates, then the state changes.
    """

    state_changes: list[StateChange] = field(default_factory=list)
    idempotency_updates: list[IdempotencyUpdate] = field(default_factory=list)
    advertised_weight: float | None = None  # None in this and the following fields: unchanged
    health: Health | None = None
    idle_connection_timeout_ms: float | None = None
    wake_in_ms: float | None = None
