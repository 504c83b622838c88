"""Fake load balancers and the clients behind them.

Clients send in an open loop: at random times, independent of earlier requests. A slow fleet therefore gets as many
requests as a fast one. A non-idempotent request is not retried when it may have run.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from nickelslip.emulator.client_traffic import BalancerPolicy, ClassTraffic, ClientTraffic
from nickelslip.emulator.history import MS_PER_S, History, Kind
from nickelslip.emulator.load_balancer_connection import (
    AttemptEnd,
    AttemptResult,
    LoadBalancerConnection,
    OutgoingRequest,
)

Address = tuple[str, int]
BODY_PREFIX = b"from the till"
ID_BITS = 64
COMPLETED_STATUS = "done"
REJECTED_STATUS = "later"
WEIGHT_LIFETIME_MS = 1000.0  # an advertised weight expires after this time
MIN_ATTEMPT_MS = 50.0  # no attempt is made with less time left
RATE_POLL_INTERVAL_MS = 100.0  # a change of the rate takes effect within this time
MIN_RATE_PER_S = 1e-6
START_POSITION_COUNT = 100
MEMORY_NEED = 20  # announced with each request


class AdvertisedWeight(NamedTuple):
    """The weight that a server advertised, and the time at which it was received."""

    weight: float
    at_ms: float


UNKNOWN_WEIGHT = AdvertisedWeight(1.0, 0.0)


@dataclass(frozen=True)
class ClientRequest:
    """A client's request, identical in every attempt."""

    traffic_class: str
    traffic: ClassTraffic
    idempotency_key: str
    body: bytes


class LoadBalancer:
    """A load balancer with weighted round robin over the listed servers and retries at other servers.

    Args:
        number: Identifies the load balancer to servers and in the seed.
        addresses: Addresses by server.
        read_list: Returns the endpoint list.
        traffic: The traffic of its clients.
        policy: Its behaviour.
        seed: Seed of all its random draws.
        history: Records requests and answers.

    Attributes:
        lag_ms: Largest delay of a client's request after its scheduled time.
        is_started: Whether clients send requests.
    """

    def __init__(
        self,
        number: int,
        addresses: dict[str, Address],
        read_list: Callable[[], list[str]],
        traffic: ClientTraffic,
        policy: BalancerPolicy,
        seed: int,
        history: History,
    ) -> None:
        self.traffic = traffic
        self.lag_ms = 0.0
        self.is_started = False
        self._number = number
        self._addresses = addresses
        self._read_list = read_list
        self._policy = policy
        self._history = history
        self._random = random.Random(f"balancer {number} {seed}")
        self._listed: list[str] = []
        self._weights: dict[str, AdvertisedWeight] = {}
        self._retry_at_ms: dict[str, float] = {}
        self._connections: dict[str, LoadBalancerConnection] = {}
        self._position = self._random.randrange(START_POSITION_COUNT)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Make clients send requests from now on."""
        self.is_started = True
        self._spawn(self._poll_endpoint_list())
        self._spawn(self._send_requests())

    def restart(self) -> None:
        """Reset every connection and discard the advertised weights and Retry-After times; keep the endpoint list."""
        self._abort_connections()
        self._connections.clear()
        self._weights.clear()
        self._retry_at_ms.clear()

    async def close(self) -> None:
        """Stop the clients and reset every connection."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._abort_connections()

    def _abort_connections(self) -> None:
        for connection in list(self._connections.values()):
            connection.abort()

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Endpoints

    async def _poll_endpoint_list(self) -> None:
        while True:
            listed = self._read_list()
            await asyncio.sleep(self._policy.list_delay_ms / MS_PER_S)
            self._listed = listed

    def _choose_server(self, excluded: set[str]) -> str | None:
        now_ms = self._history.clock()
        candidates = [name for name in self._listed if name not in excluded]
        for _ in range(2 * len(candidates)):
            self._position += 1
            name = candidates[self._position % len(candidates)]
            if not self._should_skip(name, now_ms):
                return name
        return None

    def _should_skip(self, name: str, now_ms: float) -> bool:
        """Return whether to skip a server because of its Retry-After or, at random, its advertised weight."""
        if not self._policy.heeds_signals:
            return False
        if now_ms < self._retry_at_ms.get(name, 0.0):
            return True
        weight, at_ms = self._weights.get(name, UNKNOWN_WEIGHT)
        return now_ms - at_ms < WEIGHT_LIFETIME_MS and self._random.random() > weight

    def _read_signals(self, name: str, status: str, fields: Mapping[str, str]) -> None:
        now_ms = self._history.clock()
        if "signal" in fields:
            self._weights[name] = AdvertisedWeight(float(fields["signal"]), now_ms)
        if status == REJECTED_STATUS and "holdoff" in fields:
            self._retry_at_ms[name] = now_ms + float(fields["holdoff"])

    # Clients

    async def _send_requests(self) -> None:
        due_at_ms = self._history.clock()
        while True:
            due_at_ms += MS_PER_S * self._random.expovariate(max(self.traffic.rate_per_s, MIN_RATE_PER_S))
            wait_ms = due_at_ms - self._history.clock()
            if wait_ms > 0:
                await asyncio.sleep(min(wait_ms, RATE_POLL_INTERVAL_MS) / MS_PER_S)
            if wait_ms > RATE_POLL_INTERVAL_MS:
                # Redraw in case the rate has changed. Exponential intervals are memoryless, so their distribution is
                # unaffected.
                due_at_ms = self._history.clock()
                continue
            self.lag_ms = max(self.lag_ms, -wait_ms)
            self._spawn(self._run_client(self._draw_class()))

    def _draw_class(self) -> str:
        classes = self.traffic.classes
        fractions = [traffic.request_fraction for traffic in classes.values()]
        return self._random.choices(list(classes), fractions)[0]

    def _draw_id(self) -> str:
        return f"{self._random.getrandbits(ID_BITS):016x}"

    async def _run_client(self, traffic_class: str) -> None:
        """Send one client's request, with retries."""
        traffic = self.traffic.classes[traffic_class]
        sent_at_ms = self._history.clock()
        self._history.add(Kind.CLIENT_REQUESTED, "", "", [traffic_class, traffic.priority_weight], sent_at_ms)
        idempotency_key = self._draw_id() if traffic.has_idempotency_key else ""
        body = BODY_PREFIX + self._draw_id().encode()
        request = ClientRequest(traffic_class, traffic, idempotency_key, body)
        tried: set[str] = set()
        for attempt_number in range(self._policy.max_attempts):
            remaining_ms = traffic.timeout_ms - (self._history.clock() - sent_at_ms)
            name = self._choose_server(tried) if remaining_ms > MIN_ATTEMPT_MS else None
            if name is None:
                return
            tried.add(name)
            result, request_id = await self._attempt(name, request, remaining_ms, attempt_number > 0)
            if result.status == COMPLETED_STATUS:
                self._record_success(name, request_id, request, sent_at_ms)
                return
            if not _may_retry(result, traffic):
                return

    def _record_success(self, name: str, request_id: str, request: ClientRequest, sent_at_ms: float) -> None:
        traffic = request.traffic
        is_within_objective = self._history.clock() - sent_at_ms <= traffic.latency_objective_ms
        detail = [
            request.traffic_class,
            traffic.priority_weight,
            is_within_objective,
            sent_at_ms,
            traffic.degraded_value_fraction,
        ]
        self._history.add(Kind.CLIENT_COMPLETED, name, request_id, detail)

    async def _attempt(
        self, name: str, request: ClientRequest, remaining_ms: float, is_retry: bool
    ) -> tuple[AttemptResult, str]:
        """Make an attempt at one server; return its result and its request id."""
        connection = await self._connection(name)
        if connection is None:
            return AttemptResult(AttemptEnd.NOT_CONNECTED), ""
        request_id = self._draw_id()
        fields = self._encode_fields(request_id, request.idempotency_key, remaining_ms, is_retry)
        outgoing = OutgoingRequest(
            request_id, request.traffic_class, fields, request.idempotency_key, request.body, remaining_ms
        )
        return await connection.send(outgoing), request_id

    async def _connection(self, name: str) -> LoadBalancerConnection | None:
        connection = self._connections.get(name)
        if connection is not None and connection.is_usable:
            return connection
        connection = await LoadBalancerConnection.connect(
            name, self._addresses[name], self._history, self._read_signals
        )
        if connection is not None:
            self._connections[name] = connection
        return connection

    def _encode_fields(self, request_id: str, idempotency_key: str, remaining_ms: float, is_retry: bool) -> str:
        tenants = self.traffic.tenants
        tenant = self._random.choices(list(tenants), list(tenants.values()))[0]
        fields = [
            f"req={request_id}",
            f"ts={time.time() * MS_PER_S:.0f}",
            f"via={self._number}",
            f"owner={tenant}",
            f"timeout={remaining_ms:.0f}",
            f"need={MEMORY_NEED}",
            f"level={self._random.random():.4f}",
        ]
        if is_retry:
            fields.append("resent=1")
        if idempotency_key:
            fields.append(f"opkey={idempotency_key}")
        return ",".join(fields)


def _may_retry(result: AttemptResult, traffic: ClassTraffic) -> bool:
    """Return whether a retry is safe: the request did not run, or it may run again."""
    if traffic.is_idempotent or result.status == REJECTED_STATUS:
        return True
    return result.end in (AttemptEnd.NOT_CONNECTED, AttemptEnd.CROSSED)
