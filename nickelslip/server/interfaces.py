"""The narrow views that the components of a server have of each other, as types only.

A component imports its views from here and never `server`, so that it can be built and tested without a whole server.
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
    """What every component may use: clock, log, buffers, tasks and the configuration in force."""

    log: Any
    task_group: TaskGroup
    buffers: BufferPool

    @property
    def generation(self) -> Generation:
        """The configuration in force."""

    def clock(self) -> float:
        """Return Unix milliseconds that never go back."""

    async def supervise(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; an error that it raises fails the server."""


class ReportSource(ServerContext, Protocol):
    """The server as the directory reporter sees it."""

    slow_start: SlowStart

    @property
    def is_healthy(self) -> bool:
        """Whether health checks are answered with "healthy"."""

    def update_slow_start(self) -> None:
        """Apply what follows from the slow start after a report was sent."""


class RequestHandler(ServerContext, Protocol):
    """The server as the connections of load balancers see it."""

    @property
    def is_healthy(self) -> bool:
        """Whether health checks are answered with "healthy"."""

    @property
    def advertised_weight(self) -> float | None:
        """The weight that every answer carries; None where there is none."""

    def accept_request(self, request: Request) -> bool:
        """Take over a request that was received; False if its connection has to refuse it."""


class RunOwner(ServerContext, Protocol):
    """The server as the link to the worker pool sees it."""

    requests: dict[int, Request]

    def worker_pool_started(self, ago_ms: float) -> None:
        """Begin to serve; the worker pool has been up for `ago_ms`."""


class RequestListener(Protocol):
    """A place where clients connect and requests come in."""

    async def serve(self) -> None:
        """Accept connections and read requests until cancelled."""

    def close_idle(self, idle_ms: float) -> None:
        """Close the connections that have not been used for `idle_ms`."""

    def stop_accepting(self) -> None:
        """Accept no further connections."""

    async def shut_down(self, left_ms: float) -> None:
        """Close all connections within `left_ms`."""


class ReloadHandler(Protocol):
    """Handles a signal to read the configuration again."""

    def reload(self) -> None:
        """Read the configuration again, and apply what may change while the server runs."""


class ProcessCommands(Protocol):
    """What signals ask of a server."""

    def reload_configuration(self) -> None:
        """Read the configuration again."""

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""

    def stop_immediately(self) -> None:
        """Cancel everything."""


class RunStarter(Protocol):
    """Starts, stops and resumes the runs of requests in the worker pool."""

    def start(self, request: Request) -> None:
        """Start a run."""

    def stop(self, request: Request) -> None:
        """Stop the run."""

    def resume_with_reply(self, request: Request, body: bytes) -> None:
        """Resume the run with the reply to its call."""

    def resume_without_call(self, request: Request) -> None:
        """Resume the run without the call at which it stands."""


class WorkerPool(RunStarter, Protocol):
    """The worker pool with its gauges."""

    def take_gauges(self) -> Gauges | None:
        """Return the gauges that arrived since the last call, if any did."""

    def request_gauges(self) -> None:
        """Ask for the gauges."""


class DependencyClient(Protocol):
    """Makes the dependency calls of requests."""

    def call(self, request: Request, wait_ms: float) -> None:
        """Send the call at which the run stands; it times out after `wait_ms`."""

    def give_up(self, request: Request) -> None:
        """Give up the call in flight."""


class IdempotencyStore(Protocol):
    """Keeps results for the requests that repeat or join an earlier one."""

    def coalesce(self, request: Request) -> None:
        """Let a request have the result of its original, now or when there is one."""

    def finish(self, request: Request, outcome: Outcome, body: bytes = b"") -> None:
        """Store the result and deliver it to the requests that joined this one."""

    def forget(self, request: Request) -> None:
        """Drop the record of a request that never ran."""

    def remember(self, request: Request, span_ms: float) -> None:
        """Keep the record of a request for `span_ms`; 0 drops it."""


class HealthReporter(Protocol):
    """Reports the health of this server to the directory."""

    def report_health_change(self) -> None:
        """Report at once."""


class RequestActions(Protocol):
    """What can be done for a request."""

    @property
    def worker_pool(self) -> RunStarter:
        """Where it runs."""

    @property
    def dependency_client(self) -> DependencyClient:
        """Where its calls are made."""

    @property
    def idempotency_table(self) -> IdempotencyStore:
        """Where its result is kept."""

    @property
    def advertised_weight(self) -> float | None:
        """The weight that its answer carries; None where there is none."""

    def clock(self) -> float:
        """Return Unix milliseconds that never go back."""


class DecisionSink(Protocol):
    """Reports the events of requests to the admission controller and executes what it decides."""

    def request_received(self, request: Request) -> None:
        """Report the arrival of a request."""

    def run_ended(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of its run, which took `took_ms` on a core."""

    def call_requested(self, request: Request) -> None:
        """Report that its run has stopped at a call."""

    def call_returned(self, request: Request, outcome: Outcome, took_ms: float) -> None:
        """Report the end of its call, which took `took_ms`."""

    def client_disconnected(self, request: Request) -> None:
        """Report that its client has gone."""


class DecisionContext(RequestActions, Protocol):
    """The server as the decision executor sees it."""

    @property
    def log(self) -> Any:
        """The log."""

    @property
    def generation(self) -> Generation:
        """The configuration in force."""

    @property
    def worker_pool(self) -> WorkerPool:
        """Where requests run, with its gauges."""

    @property
    def requests(self) -> Mapping[int, Request]:
        """The open requests by number."""

    @property
    def slow_start(self) -> SlowStart:
        """The slow start, which counts calls."""

    @property
    def directory_reporter(self) -> HealthReporter:
        """Where a change of health is reported."""

    def fail(self, error: Exception) -> None:
        """Fail the server, after an error of the admission controller."""
