"""What the parts of a server have around them: the narrow view that each one gets of the rest.

Owns these views, as types only. A part imports this file and never the node that stands behind it; so the parts can
be built, and tested, among surroundings of another kind.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from anyio.abc import TaskGroup

from nickelslip.coming_up.start import Start
from nickelslip.configuration.generations import Generation
from nickelslip.server.streams import Buffers
from nickelslip.server.transactions import Transaction


class Surroundings(Protocol):
    """For every part: clock, log, buffers, tasks, and the configuration in force."""

    log: Any
    tasks: TaskGroup
    buffers: Buffers

    @property
    def generation(self) -> Generation: ...
    def clock(self) -> float: ...
    async def guard(self, part: Callable[..., Any], *values: Any) -> None: ...


class Reported(Surroundings, Protocol):
    """For the report to the directory: it says when one is due, and hears that one went out."""

    healthy: bool
    coming_up: Start

    def look(self) -> None: ...


class Host(Surroundings, Protocol):
    """For a front: where a transaction that was read goes, and what is said outward meanwhile."""

    healthy: bool
    said: float | None

    def take(self, one: Transaction) -> bool: ...


class Employer(Surroundings, Protocol):
    """For the link to the worker pool: whose runs these are, and who hears that it came up."""

    transactions: dict[int, Transaction]

    def workers_up(self, ago_ms: float) -> None: ...
