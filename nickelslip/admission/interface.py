"""Input and output types of the admission controller.

This module contains no decision logic. Times are float milliseconds of one clock that never goes backwards. Memory is
in kilobytes. Ids and names are opaque.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf
from typing import NamedTuple


class RetrySafety(Enum):
    """Whether a request may be run a second time."""

    IDEMPOTENT = "may run again"
    IDEMPOTENCY_KEY = "runs once within its window; retries carry the same idempotency key"
    NON_IDEMPOTENT = "never runs twice"


class Preemption(Enum):
    """Whether a run can be taken off the cores before its end."""

    NEVER = "it always runs to its end"
    DISCARD_PROGRESS = "it returns to the queue and loses its progress"
    KEEP_PROGRESS = "it keeps its progress and its memory"


class LoadSignal(Enum):
    """How clients interpret the advertised value."""

    NONE = "nothing can be advertised"
    SELECTION_PROBABILITY = "the probability that a client uses this server when its turn comes"
    CLIENT_CONCURRENCY = "how many requests each client may have open here"
    PRIORITY_THRESHOLD = "the lowest priority of requests that clients still send here"


class Outcome(Enum):
    """How a run or a dependency call ended."""

    OK = "it returned a result"
    ERROR = "it returned an error"
    REJECTED = "the dependency rejected it before it started"  # calls only
    TIMEOUT = "it was abandoned after its timeout"
    CONNECT_FAILED = "no connection could be made"
    RESET = "the connection broke"
    CANCELLED = "it was stopped before its end"
    NOT_STARTED = "it was never started"

    @property
    def proves_not_executed(self) -> bool:
        """Whether this outcome proves that the run or call did not execute."""
        return self in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_STARTED)


class RequestState(Enum):
    """The state of a request. In `Decisions`, a change of state is an instruction to the server."""

    QUEUED = "read, and waiting for a slot"
    RUNNING = "on the cores"
    PAUSED = "taken off the cores with its progress kept"  # no rule enters this state at present
    AWAITING_CALL = "its run is waiting for permission to call the dependency"
    CALL_IN_FLIGHT = "its dependency call is in flight"
    DEGRADED = "running without its call"
    COALESCED = "waiting for the result of its original"
    ORPHANED = "answered or cancelled, but its run has not ended"  # as an instruction: stop the run if possible
    COMPLETED = "answered with its result"
    REJECTED = "rejected; not run, or idempotent"
    FAILED = "answered with an error"
    CANCELLED = "its client has disconnected"

    __hash__ = object.__hash__  # states are looked up at every event; Enum.__hash__ is slow because it is Python code


FINAL_STATES = (RequestState.COMPLETED, RequestState.REJECTED, RequestState.FAILED, RequestState.CANCELLED)


@dataclass(frozen=True)
class TrafficClass:
    """Configuration of one traffic class."""

    name: str
    priority_weight: float
    latency_objective_ms: float
    timeout_ms: float
    retry_safety: RetrySafety
    idempotency_window_ms: float = 0.0  # IDEMPOTENCY_KEY: how long after the first attempt a retry may arrive
    late_value_fraction: float = 0.0  # fraction of its value that an answer keeps after the objective
    objective_stretch: float = 0.0  # multiple of the request's run time that is added to the objective
    makes_calls: bool = False
    degraded_value_fraction: float = 0.0  # fraction of its value that a degraded answer keeps; 0: calls are required
    reserved_slot_count: int = 0  # slots that requests of other classes must not use


class Tenant(NamedTuple):
    """A tenant, and the total request rate over all servers up to which its requests have their full value."""

    name: str
    quota_per_s: float


@dataclass(frozen=True)
class Settings:
    """Configuration of one server and its environment."""

    traffic_classes: tuple[TrafficClass, ...]
    core_count: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request divided by that of a queued one
    starts_cold: bool
    cold_speed_fraction: float  # initial speed of a cold machine, as a fraction of its full speed
    warm_up_ms: float
    overload_concurrency_per_core: float  # running requests per core that a warm machine handles without collapsing
    answer_slack_ms: float  # by how much an answer may be late
    drain_grace_ms: float
    tick_ms: float  # resolution of time: events may be this much late
    server_count: int = 1
    client_count: int = 1  # load balancers in front of the server
    tenants: tuple[Tenant, ...] = ()
    over_quota_value_fraction: float = 1.0
    is_value_per_work_unit: bool = False  # the priority weight is per unit of work, not per request
    clients_mark_retries: bool = False
    preemption: Preemption = Preemption.NEVER
    load_signal: LoadSignal = LoadSignal.NONE
    retry_after_max_ms: float = 0.0  # longest Retry-After that reaches the client; 0: Retry-After is not passed on
    dependency_concurrency_share: float = 0.0  # this server's dependency share, as mean calls in flight; 0: unknown
    dependency_window_ms: float = 0.0  # window of that mean
    abandoned_call_linger_ms: float = 0.0  # how long an abandoned call still occupies the dependency
    idempotency_record_kb: float = 0.0
    response_cache_ms: float = 0.0  # how long an answer may be reused for equal idempotent requests
    idle_connection_timeout_ms: float = 0.0  # idle time after which clients close their connections
    health_check_costs_work: bool = False  # as much as a small request, unless answered from a cached result
    max_concurrency: float = inf  # maximum number of requests on the cores, set by the operator


@dataclass(slots=True, eq=False)
class Arrival:
    """A request that the server has read."""

    id: int
    traffic_class: str
    memory_kb: float
    tenant: str | None = None
    deadline_at_ms: float | None = None  # when the client of this attempt times out; None: unknown
    cost_hint_ms: float | None = None
    is_retry: bool = False  # marked as a retry
    client: int | None = None  # number of the load balancer that sent it
    read_delay_ms: float = 0.0  # time from its arrival on this machine until it was read
    original_request_id: int | None = None  # the recorded request that this one repeats
    has_key: bool = False  # it carries a key that identifies repeated or equal requests
    may_be_delayed_by_client: bool = False  # its read delay tells nothing about the load of this server


class Gauges(NamedTuple):
    """Measurements of the machine; None where there is no measurement."""

    cpu_utilization: float | None = None  # fraction of the cores in use
    run_queue_length: float | None = None  # number of tasks that run or wait for a core
    memory_utilization: float | None = None  # fraction in use
    connection_count: float | None = None


class StateChange(NamedTuple):
    """A decision to change the state of a request."""

    id: int
    state: RequestState
    duration_ms: float = 0.0  # REJECTED: the Retry-After delay; CALL_IN_FLIGHT: the timeout of the call
    retry_elsewhere_useless: bool = False  # REJECTED: a retry on another server would not help


class IdempotencyUpdate(NamedTuple):
    """A decision to keep the record of a request for `retention_ms`, or to remove it if that is 0."""

    id: int
    retention_ms: float


class Health(NamedTuple):
    """How health checks are answered until the next change."""

    is_healthy: bool
    is_cached: bool  # answer from a cached result; servers with cheap health checks may ignore this


@dataclass(eq=False)
class Decisions:
    """The decisions after one event.

    The server carries them out in this order: values for clients, idempotency updates, state changes.
    """

    state_changes: list[StateChange] = field(default_factory=list)
    idempotency_updates: list[IdempotencyUpdate] = field(default_factory=list)
    advertised_weight: float | None = None  # None here and in the fields below: unchanged
    health: Health | None = None
    idle_connection_timeout_ms: float | None = None
    wake_in_ms: float | None = None
