"""Requests, runs and calls that end in random ways, and a check that nothing is counted any more afterwards."""

from __future__ import annotations

import random
from contextlib import suppress

import anyio

from nickelslip.admission.interface import RequestState
from nickelslip.server.lifecycle import Phase
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.load_balancer_client import LoadBalancerClient
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

CLASSES = ("read", "pay", "book")
RUN_ENDS = ("fine", "fault", "broken_off", "late")
CALL_REPLIES = ("DONE", "WAIT", "ERROR", "PAST", "EMPTY")
TIMEOUTS_MS = (30, 80, 200, 600)
KEY_COUNT = 5
MAX_CLIENTS = 4
ROUND_PAUSE_S = 0.002
LINK_LOSS_PROBABILITY = 0.02
CLIENT_LOSS_PROBABILITY = 0.02
CALL_CONNECTION_LOSS_PROBABILITY = 0.02
WITHDRAWAL_PROBABILITY = 0.1
UNKNOWN_START_PROBABILITY = 0.1
IDLE_TIMEOUT_S = 10.0
WINDOW_S = 4.2  # a little longer than the window of the class `book`


class RandomEndings:
    """Load balancers, a worker pool and a records service that end what is open in random ways.

    Args:
        rig: The server, which serves.
        seed: Seed of all draws.
        clients_leave: Whether load balancers withdraw requests and lose connections.
    """

    def __init__(self, rig: ServerRig, seed: int, clients_leave: bool) -> None:
        self._rig = rig
        self._clients_leave = clients_leave
        self._random = random.Random(seed)
        self._request_count = 0
        self._clients: list[LoadBalancerClient] = []
        self._answered_commands: set[int] = set()  # indices of the commands and calls that have been answered
        self._answered_calls: set[int] = set()
        self._blocked_ids: set[str] = set()  # of the runs that wait at a call

    async def run(self, round_count: int) -> None:
        """Send requests for this many rounds, end everything, and check that nothing is counted any more.

        Raises:
            AssertionError, TimeoutError: Something is still open or counted, or an ordinary request is not served.
        """
        for _ in range(round_count):
            await self._send_request()
            await self._lose_something()
            await self._answer_some(0.5)
            self._check_records()
            await anyio.sleep(ROUND_PAUSE_S)
        await self._end_all()
        await self._check_given_back()
        await self._check_served()

    # Load balancers

    async def _send_request(self) -> None:
        if len(self._clients) < MAX_CLIENTS:
            self._clients.append(await self._rig.connect_client())
        client = self._random.choice(self._clients)
        class_name = self._random.choice(CLASSES)
        fields: dict[str, object] = {"timeout": self._random.choice(TIMEOUTS_MS)}
        if class_name == "book":
            fields["opkey"] = f"key-{self._random.randrange(KEY_COUNT)}-{self._request_count // 20}"
        self._request_count += 1
        try:
            tag = await client.send_request(f"{self._request_count:016x}", class_name, **fields)
            if self._clients_leave and self._random.random() < WITHDRAWAL_PROBABILITY:
                await client.send("NEVERMIND", str(tag))
            await self._discard_answers(client)
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.ClosedResourceError):
            self._clients.remove(client)

    @staticmethod
    async def _discard_answers(client: LoadBalancerClient) -> None:
        with suppress(TimeoutError):
            while True:
                await client.receive_answer(0.0005)

    # Losses

    async def _lose_something(self) -> None:
        if self._random.random() < LINK_LOSS_PROBABILITY:
            await self._rig.pool.abort_connections()
        if self._random.random() < CALL_CONNECTION_LOSS_PROBABILITY:
            await self._rig.records.abort_connections()
        if self._clients_leave and self._clients and self._random.random() < CLIENT_LOSS_PROBABILITY:
            client = self._clients.pop()
            await anyio.aclose_forcefully(client.stream)

    # Worker pool and records service

    async def _answer_some(self, probability: float) -> None:
        await self._answer_commands(probability)
        await self._answer_calls(probability)
        await self._break_off_orphaned()

    async def _break_off_orphaned(self) -> None:
        """End the runs that wait at a call while their requests are over, as the worker pool does."""
        for request in list(self._rig.server.requests.values()):
            request_id = request.received.id_hex
            if request.state is RequestState.ORPHANED and request_id in self._blocked_ids:
                self._blocked_ids.discard(request_id)
                await self._rig.pool.notify("finished", request_id, end="broken_off", ms=5.0, body="")

    async def _answer_commands(self, probability: float) -> None:
        pool = self._rig.pool
        for index, command in enumerate(pool.received):
            if index in self._answered_commands or self._random.random() > probability:
                continue
            self._answered_commands.add(index)
            match command["op"]:
                case "spawn":
                    await self._answer_start(command["id"])
                case "supply" | "pass":
                    self._blocked_ids.discard(command["id"])
                    await pool.notify("finished", command["id"], end=self._random.choice(RUN_ENDS), ms=5.0, body="")
                case "suspend":
                    await pool.notify("finished", command["id"], end="broken_off", ms=5.0, body="")

    async def _answer_start(self, request_id: str) -> None:
        if self._random.random() < UNKNOWN_START_PROBABILITY:
            await self._rig.pool.send_line(op="unknown", end="spawn", id=request_id)
        elif self._random.random() < 0.5:
            self._blocked_ids.add(request_id)
            await self._rig.pool.block(request_id)
        else:
            await self._rig.pool.notify("finished", request_id, end=self._random.choice(RUN_ENDS), ms=5.0, body="")

    async def _answer_calls(self, probability: float) -> None:
        records = self._rig.records
        for index, (verb, request_id, body) in enumerate(records.received):
            if index in self._answered_calls or verb != "OP" or self._random.random() > probability:
                continue
            self._answered_calls.add(index)
            assert body == CALL_BODY
            if records.connections_by_request[request_id] is None:
                continue
            word = self._random.choice(CALL_REPLIES)
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await records.reply(request_id, word, b"reply" if word == "DONE" else None)

    # Checks

    async def _end_all(self) -> None:
        for client in self._clients:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self._discard_answers(client)
        with anyio.fail_after(IDLE_TIMEOUT_S):
            while self._rig.server.requests:
                await self._answer_some(1.0)
                await anyio.sleep(ROUND_PAUSE_S)

    def _check_records(self) -> None:
        """Check that each record that the controller counts is one that the server keeps."""
        controller = self._rig.server.decision_executor.controller
        assert controller is not None
        counted = set(controller._idempotency_records.expires_at_ms_by_id)
        kept = {record.number for record in self._rig.server.idempotency_table.records.values()}
        assert counted <= kept, f"counted, but not kept: {counted - kept}"

    async def _check_given_back(self) -> None:
        """Check that no request, call, record, buffer or memory is counted once the window of the keys is over."""
        await anyio.sleep(WINDOW_S)
        server = self._rig.server
        controller = server.decision_executor.controller
        assert server.phase is Phase.SERVING and controller is not None
        assert not controller._requests.by_id, f"the controller holds {controller._requests.by_id}"
        assert not any(controller._requests.by_state.values())
        assert controller._memory.used_kb() == 0.0
        assert not server.dependency_client._connection_by_request
        assert not server.worker_pool._delivery._unconfirmed_runs
        assert not server.worker_pool._delivery._possibly_lost

    async def _check_served(self) -> None:
        client = await self._rig.connect_client()
        await wait_until(lambda: self._rig.server.worker_pool.is_up)
        request_id = f"{self._request_count + 1:016x}"
        await self._rig.start_run(client, request_id)
        await self._rig.pool.finish(request_id)
        assert (await client.receive_answer())[1] == "done"
