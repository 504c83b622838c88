"""The server, which creates its components and connects them."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import anyio
import structlog
from anyio.abc import TaskGroup

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import (
    Gauges,
)
from nickelslip.configuration.config import Config
from nickelslip.configuration.generations import CACHED_RESPONSES_MEMORY_FRACTION, Generation
from nickelslip.configuration.request_metrics import RequestMetrics
from nickelslip.server.advertised_state import AdvertisedState
from nickelslip.server.buffer_pool import BUFFER_BYTES, BufferPool
from nickelslip.server.call_limit import CallLimit, dependency_share_of
from nickelslip.server.control_timer import ControlTimer
from nickelslip.server.decision_executor import DecisionExecutor
from nickelslip.server.directory_reporter import DirectoryReporter
from nickelslip.server.generation_adopter import GenerationAdopter
from nickelslip.server.graceful_shutdown import GracefulShutdown
from nickelslip.server.idempotency_table import IdempotencyTable
from nickelslip.server.lifecycle import Lifecycle, Phase
from nickelslip.server.open_requests import OpenRequests
from nickelslip.server.peer_address_reloader import PeerAddressReloader
from nickelslip.server.records_client import RecordsClient
from nickelslip.server.request_counter import RequestCounter
from nickelslip.server.request_reports import RequestReports
from nickelslip.server.requests import Request, fail_requests
from nickelslip.server.signals import SignalHandler
from nickelslip.server.wake_schedule import WakeSchedule
from nickelslip.server.worker_pool_link import WorkerPoolLink
from nickelslip.startup.slow_start import SlowStart

if TYPE_CHECKING:  # types only; importing them would slow down the startup
    from nickelslip.server.interfaces import ReloadHandler, RequestListener

BYTES_PER_MB = 1024 * 1024
BUFFER_MEMORY_FRACTION = 1 / 4  # of the memory of this process


class Server:
    """One server with all its components.

    Listeners and background tasks are added before `run`.

    Args:
        config: The initial configuration.
        read_config: Reads the configuration again; may raise MalformedSettingsError.

    Attributes:
        log: The log.
        generation: The configuration in force.
        requests: The open requests by number.
        buffers: The buffers of all connections.
        listeners: The listeners that receive requests.
        background_tasks: Further tasks to run until the server ends.
        task_group: The task group of the server, while it runs.
        reload_handler: Reloads the configuration; None if the server itself reloads the addresses of its peers.
        lifecycle: The phase of the server.
        advertised: The state advertised to clients.
        slow_start: The slow start.
        idempotency_table: The idempotency records and cached results.
        worker_pool: The link to the worker pool.
        dependency_client: The client of the records service.
        directory_reporter: Sends the load reports to the directory.
        wake_schedule: When the controller's timer is due.
        decision_executor: Calls the controller and executes its decisions.
        request_reports: Reports the events of requests to the controller.
    """

    def __init__(self, config: Config, read_config: Callable[[], Config]) -> None:
        self._clock_offset_ms = time.time() * 1000 - time.monotonic() * 1000
        self.log: Any = structlog.get_logger()
        self.generation = Generation(1, config)
        self.requests: dict[int, Request] = {}
        self.listeners: list[RequestListener] = []
        self.background_tasks: list[Callable[[], Awaitable[None]]] = []
        self.task_group: TaskGroup
        self.reload_handler: ReloadHandler | None = None
        self.lifecycle = Lifecycle(self.log, self.requests)
        self.advertised = AdvertisedState()
        self._create_resources(config)
        self._create_decision_components()
        self._create_control_components(read_config)

    def _create_resources(self, config: Config) -> None:
        """Create the resources that requests use: buffers, the idempotency table, peers and the slow start."""
        memory_bytes = config.memory_mb * BYTES_PER_MB
        settings = config.settings
        self.slow_start = SlowStart(
            config.name,
            config.seed,
            self.clock(),
            dependency_share_of(settings),
            settings.starts_cold,
            settings.warm_up_ms,
        )
        self.buffers = BufferPool(int(memory_bytes * BUFFER_MEMORY_FRACTION / BUFFER_BYTES))
        self.idempotency_table = IdempotencyTable(self.clock, memory_bytes * CACHED_RESPONSES_MEMORY_FRACTION)
        self.worker_pool = WorkerPoolLink(self)
        self.dependency_client = RecordsClient(self)
        self.directory_reporter = DirectoryReporter(self)

    def _create_decision_components(self) -> None:
        """Create the components that make decisions about requests and execute them."""
        self.wake_schedule = WakeSchedule(self.clock)
        self.decision_executor = DecisionExecutor(self, self.advertised, self.wake_schedule, self.lifecycle)
        self._call_limit = CallLimit(self.log, self.clock, self.slow_start, self.decision_executor)
        self._request_counter = RequestCounter(self.clock)
        self.request_reports = RequestReports(
            clock=self.clock,
            executor=self.decision_executor,
            idempotency_table=self.idempotency_table,
            counter=self._request_counter,
            slow_start=self.slow_start,
            call_limit=self._call_limit,
        )
        self._open_requests = OpenRequests(
            context=self,
            actions=self,
            sink=self.request_reports,
            executor=self.decision_executor,
            idempotency_table=self.idempotency_table,
            counter=self._request_counter,
            lifecycle=self.lifecycle,
            requests=self.requests,
        )

    def _create_control_components(self, read_config: Callable[[], Config]) -> None:
        """Create the components that react to timers, signals and configuration changes."""
        self._control_timer = ControlTimer(
            clock=self.clock,
            wake_schedule=self.wake_schedule,
            executor=self.decision_executor,
            worker_pool=self.worker_pool,
            idempotency_table=self.idempotency_table,
            listeners=self.listeners,
            advertised=self.advertised,
        )
        self._shutdown = GracefulShutdown(
            context=self,
            lifecycle=self.lifecycle,
            executor=self.decision_executor,
            advertised=self.advertised,
            directory_reporter=self.directory_reporter,
            listeners=self.listeners,
            requests=self.requests,
        )
        self._generation_adopter = GenerationAdopter(
            holder=self,
            executor=self.decision_executor,
            slow_start=self.slow_start,
            peer_links=(self.worker_pool, self.dependency_client, self.directory_reporter),
        )
        self._peer_address_reloader = PeerAddressReloader(self, read_config, self._generation_adopter)
        self._signal_handler = SignalHandler(self.log, self.lifecycle, self)

    def clock(self) -> float:
        """Return the Unix time in milliseconds, which never goes backwards."""
        return self._clock_offset_ms + time.monotonic() * 1000

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self.lifecycle.phase

    @property
    def advertised_weight(self) -> float | None:
        """The weight sent with every answer; None if there is none."""
        return self.advertised.advertised_weight

    @property
    def is_healthy(self) -> bool:
        """Whether health checks are answered as healthy."""
        return self.advertised.is_healthy

    @property
    def gauges(self) -> Gauges:
        """The measurements passed to the latest call of the controller's timer."""
        return self.decision_executor.gauges

    @property
    def request_metrics(self) -> RequestMetrics | None:
        """The metrics that count the events of requests; None if they are not counted."""
        return self._request_counter.metrics

    @request_metrics.setter
    def request_metrics(self, metrics: RequestMetrics | None) -> None:
        self._request_counter.metrics = metrics

    async def run(self) -> bool:
        """Serve until a shutdown or a failure, and return whether the server shut down without a failure."""
        async with anyio.create_task_group() as self.task_group:
            tasks = (
                self._signal_handler.run,
                self.worker_pool.run,
                self.directory_reporter.run,
                self._control_timer.run,
                *self.background_tasks,
                *(listener.serve for listener in self.listeners),
            )
            for task in tasks:
                self.task_group.start_soon(self.supervise, task)
            await self._shutdown.run()
            self.task_group.cancel_scope.cancel()
        return self.phase is Phase.SHUTTING_DOWN

    async def supervise(self, task: Callable[..., Any], *arguments: Any) -> None:
        """Run a task; an error that it raises fails the server."""
        try:
            await task(*arguments)
        except Exception as error:  # whatever the error, all open requests are still answered
            self.fail(error)

    def fail(self, error: Exception) -> None:
        """Answer all open requests with a failure, and end the server. Errors after the first are ignored."""
        if self.phase is Phase.FAILED:
            return
        self.log.error("server_failed", error=repr(error), exc_info=error)
        self.lifecycle.enter(Phase.FAILED)
        self.advertised.is_healthy = False
        self.decision_executor.discard_controller()
        self.directory_reporter.report_health_change()
        fail_requests(list(self.requests.values()), self.advertised_weight)

    def worker_pool_started(self, started_ago_ms: float) -> None:
        """Create the controller and begin to serve; repeated calls have no effect.

        Args:
            started_ago_ms: How long ago the worker pool started.
        """
        if self.phase is not Phase.WAITING:
            return
        now_ms = self.clock()
        worker_pool_age_ms = max(0.0, started_ago_ms)
        try:
            self.decision_executor.create_controller(
                self.generation.settings, self.generation.config.seed, now_ms - worker_pool_age_ms
            )
        except Exception as error:
            self.fail(error)
            return
        self.lifecycle.enter(Phase.SERVING)
        self.slow_start.worker_pool_connected(now_ms, worker_pool_age_ms)
        self.directory_reporter.change_endpoint()
        self.decision_executor.decide(AdmissionController.start)
        self.apply_call_limit()

    def accept_request(self, request: Request) -> bool:
        """Accept a received request; return False if its connection has to answer it with a failure."""
        return self._open_requests.accept(request)

    def apply_call_limit(self) -> None:
        """Apply the call limit of the current phase of the slow start."""
        self._call_limit.update()

    def reload(self) -> None:
        """Read the configuration again and apply changed addresses of the peers."""
        self._peer_address_reloader.reload()

    def reload_configuration(self) -> None:
        """Reload the configuration with the reload handler, or with this server if there is none."""
        (self.reload_handler or self).reload()

    def apply_generation(self, generation: Generation) -> None:
        """Put a generation in force."""
        self._generation_adopter.adopt(generation)

    def begin_shutdown(self) -> None:
        """Begin a graceful shutdown; repeated calls have no effect."""
        self._shutdown.begin()

    def stop_immediately(self) -> None:
        """Cancel all tasks of the server."""
        self.task_group.cancel_scope.cancel()
