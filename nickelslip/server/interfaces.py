"""The protocols through which the components of a server use each other.

A component imports these protocols and never `server`, so that it can be created and tested without a whole server.
They are imported for type checking only.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from anyio.abc import TaskGroup

from nickelslip.admission.interface import Gauges, Outcome
from nickelslip.configuration.generations import Generation
from nickelslip.server.buffer_pool import BufferPool
from nickelslip.server.requests import Request
from nickelslip.startup.slow_start import SlowStart


class ServerContext(Protocol):
    """The shared facilities of all components: clock, log, buffers, tasks and the configuration in force."""

    log: Any
    task_group: TaskGroup
    buffers: BufferPool

    @property
    def generation(self) -> Generation:
        """The configuration in force."""

    def clock(self) -> float:
        """Return the Unix time in milliseconds, which never goes backwards."""

    async def supervise(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; an error that it raises fails the server."""


class ReportSource(ServerContext, Protocol):
    """The part of the server that the directory reporter uses."""

    slow_start: SlowStart

    @property
    def is_healthy(self) -> bool:
        """Whether health checks are answered as healthy."""

    def apply_call_limit(self) -> None:
        """Apply the call limit of the current phase of the slow start, after a report was sent."""


class RequestHandler(ServerContext, Protocol):
    """The part of the server that connections to load balancers use."""

    @property
    def is_healthy(self) -> bool:
        """Whether health checks are answered as healthy."""

    @property
    def advertised_weight(self) -> float | None:
        """The weight sent with every answer; None if there is none."""

    def accept_request(self, request: Request) -> bool:
        """Accept a received request; return False if its connection has to answer it with a failure."""


class RunOwner(ServerContext, Protocol):
    """The part of the server that the link to the worker pool uses."""

    requests: dict[int, Request]

    def worker_pool_started(self, started_ago_ms: float) -> None:
        """Begin to serve; the worker pool started `started_ago_ms` milliseconds ago."""


class RequestListener(Protocol):
    """Accepts connections from clients and receives their requests."""

    async def serve(self) -> None:
        """Accept connections and read requests until cancelled."""

    def close_idle(self, idle_ms: float) -> None:
        """Close the connections that have not been used for `idle_ms`."""

    def stop_accepting(self) -> None:
        """Accept no further connections."""

    async def shut_down(self, remaining_ms: float) -> None:
        """Close all connections within `remaining_ms`."""


class ReloadHandler(Protocol):
    """Reloads the configuration when a signal requests it."""

    def reload(self) -> None:
        """Read the configuration again, and apply the changes that need no restart."""


class ProcessCommands(Protocol):
    """The commands that signals trigger."""

    def reload_configuration(self) -> None:
        """Read the configuration again."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""

    def stop_immediately(self) -> None:
        """Cancel all tasks of the server."""


class RunControl(Protocol):
    """Starts, stops and resumes the runs of requests in the worker pool."""

    def start(self, request: Request) -> None:
        """Start a run of the request."""

    def stop(self, request: Request) -> None:
        """Stop the run of the request."""

    def resume_with_reply(self, request: Request, body: bytes) -> None:
        """Resume the run with the reply to its call."""

    def resume_without_call(self, request: Request) -> None:
        """Resume the run without the call that it requested."""


class WorkerPool(RunControl, Protocol):
    """Executes runs and supplies gauges."""

    def take_gauges(self) -> Gauges | None:
        """Return the gauges that have arrived since the previous call, or None."""

    def request_gauges(self) -> None:
        """Query the gauges; the reply is returned by `take_gauges`."""


class DependencyClient(Protocol):
    """Makes the dependency calls of requests."""

    def call(self, request: Request, timeout_ms: float) -> None:
        """Send the call that the run requested; it times out after `timeout_ms`."""

    def abandon_call(self, request: Request) -> None:
        """Abandon the call in flight."""


class IdempotencyStore(Protocol):
    """Keeps the records and results of requests for later duplicates."""

    def coalesce(self, request: Request) -> None:
        """Deliver the result of its original request to a duplicate, now or when the original finishes."""

    def finish(self, request: Request, outcome: Outcome, body: bytes = b"") -> None:
        """Store the result and deliver it to the coalesced requests."""

    def forget(self, request: Request) -> None:
        """Remove the record of a request that never ran or must not be shared; the next request with its key runs."""

    def remember(self, request: Request, retention_ms: float) -> None:
        """Keep the record of a request for `retention_ms`; 0 or less removes it."""


class HealthReporter(Protocol):
    """Reports the health of this server to the directory."""

    def report_health_change(self) -> None:
        """Send a report immediately."""


class RequestActions(Protocol):
    """The components and values with which the decisions on a request are carried out."""

    @property
    def worker_pool(self) -> RunControl:
        """Executes the run of the request."""

    @property
    def dependency_client(self) -> DependencyClient:
        """Makes the dependency calls of the run."""

    @property
    def idempotency_table(self) -> IdempotencyStore:
        """Keeps the idempotency record and the result of the request."""

    @property
    def advertised_weight(self) -> float | None:
        """The weight sent with the answer; None if there is none."""

    def clock(self) -> float:
        """Return the Unix time in milliseconds, which never goes backwards."""


class RequestEventSink(Protocol):
    """Reports the events of requests to the admission controller and executes its decisions."""

    def request_received(self, request: Request) -> None:
        """Report the arrival of a request."""

    def fire_overdue_timer(self) -> None:
        """Let the controller decide what it should have decided before the event that is about to be handled."""

    def run_ended(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of the request's run, which took `took_ms`, calls included."""

    def call_requested(self, request: Request) -> None:
        """Report that the request's run is blocked at a call."""

    def call_returned(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of the run's call, which took `took_ms`."""

    def client_disconnected(self, request: Request) -> None:
        """Report that the request's client has disconnected."""


class DecisionContext(RequestActions, Protocol):
    """The part of the server that the decision executor uses."""

    @property
    def log(self) -> Any:
        """The structured log of the server."""

    @property
    def generation(self) -> Generation:
        """The configuration in force."""

    @property
    def worker_pool(self) -> WorkerPool:
        """The worker pool, which also supplies gauges."""

    @property
    def requests(self) -> Mapping[int, Request]:
        """The open requests by number."""

    @property
    def slow_start(self) -> SlowStart:
        """The slow start, which is notified of started calls."""

    @property
    def directory_reporter(self) -> HealthReporter:
        """Reports changes of health."""

    def fail(self, error: Exception) -> None:
        """Fail the server after an error of the admission controller."""
