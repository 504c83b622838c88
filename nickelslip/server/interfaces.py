"""What the parts of a server have around them: the narrow view that each one gets of the rest.

Owns these views, as types only. A part imports this file and never the node that stands behind it; so the parts can
be built, and tested, among surroundings of another kind.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from anyio.abc import TaskGroup

from nickelslip.configuration.generations import Generation
from nickelslip.server.buffer_pool import BufferPool
from nickelslip.server.requests import Request
from nickelslip.startup.slow_start import SlowStart


class ServerContext(Protocol):
    """For every part: clock, log, buffers, tasks, and the configuration in force."""

    log: Any
    task_group: TaskGroup
    buffers: BufferPool

    @property
    def generation(self) -> Generation: ...
    def clock(self) -> float: ...
    async def supervise(self, part: Callable[..., Any], *values: Any) -> None: ...


class ReportSource(ServerContext, Protocol):
    """For the report to the directory: it says when one is due, and hears that one went out."""

    is_healthy: bool
    slow_start: SlowStart

    def update_slow_start(self) -> None: ...


class RequestHandler(ServerContext, Protocol):
    """For a front: where a transaction that was read goes, and what is said outward meanwhile."""

    is_healthy: bool
    advertised_weight: float | None

    def accept_request(self, one: Request) -> bool: ...


class RunOwner(ServerContext, Protocol):
    """For the link to the worker pool: whose runs these are, and who hears that it came up."""

    requests: dict[int, Request]

    def worker_pool_started(self, ago_ms: float) -> None: ...
