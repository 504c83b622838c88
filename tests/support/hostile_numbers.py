"""Traffic with random numbers that are huge, tiny, negative or not finite, and a check that the server still serves."""

from __future__ import annotations

import random
from contextlib import suppress

import anyio

from nickelslip.server.lifecycle import Phase
from tests.support.fake_worker_pool import CALL_BODY
from tests.support.load_balancer_client import LoadBalancerClient
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until

REQUEST_NUMBERS = ("0", "-1", "-0", "5e-324", "1e-320", "1e-9", "0.0011", "1", "20", "1e5", "86400000", "1e15", "1e308",
                   "1e400", "inf", "nan", "1_0", "0x10", "９", "")  # fmt: skip
POOL_NUMBERS = (0, -1, -1e308, 5e-324, 0.5, 20, 1e9, 2**63, 10**19, 1e308, True, None, "nan", "inf", "7", [], {})
REQUEST_FIELDS = ("ms", "timeout", "need", "ts", "via", "level", "resent")
CLASSES = ("read", "pay", "book")
RUN_ENDS = ("fine", "fault", "broken_off", "late")
SERVED_EVERY_ROUNDS = 10
ROUND_PAUSE_S = 0.005
WINDOW_S = 4.2  # a little longer than the window of the class `book`
SERVED_ID_PREFIX = "5e"
HOSTILE_ID_PREFIX = "b0"


class HostileNumbers:
    """A client and a worker pool that send random numbers to a server.

    Args:
        rig: The server, which serves.
        seed: Seed of all draws.
    """

    def __init__(self, rig: ServerRig, seed: int) -> None:
        self._rig = rig
        self._random = random.Random(seed)
        self._request_count = 0
        self._client: LoadBalancerClient | None = None

    async def run(self, round_count: int) -> None:
        """Send numbers in this many rounds, and check at intervals that ordinary requests are served.

        Raises:
            AssertionError, TimeoutError: An ordinary request was not served, or something was not given back.
        """
        for number in range(round_count):
            await self._send_request()
            await self._send_notification()
            await anyio.sleep(ROUND_PAUSE_S)
            await self._end_hostile_runs()
            if number % SERVED_EVERY_ROUNDS == 0:
                await self._check_served()
        await self._check_given_back()

    async def _send_request(self) -> None:
        if self._client is None or not await self._has_sent(self._client):
            self._client = await self._rig.connect_client()

    async def _has_sent(self, client: LoadBalancerClient) -> bool:
        fields: dict[str, object] = {
            name: self._random.choice(REQUEST_NUMBERS)
            for name in self._random.sample(REQUEST_FIELDS, self._random.randint(1, 2))
        }
        class_name = self._random.choice(CLASSES)
        if class_name == "book":
            fields["opkey"] = f"key-{self._request_count}"
        try:
            await client.send_request(self._next_id(HOSTILE_ID_PREFIX), class_name, **fields)
            await self._discard_answers(client)
        except (anyio.BrokenResourceError, anyio.EndOfStream, anyio.ClosedResourceError):
            return False
        return True

    @staticmethod
    async def _discard_answers(client: LoadBalancerClient) -> None:
        with suppress(TimeoutError):
            while True:
                await client.receive_answer(0.001)

    def _next_id(self, prefix: str) -> str:
        self._request_count += 1
        return f"{prefix}{self._request_count:014x}"

    async def _send_notification(self) -> None:
        draw = self._random.choice
        line = draw(
            (
                {"op": "chatter", "seq": draw(POOL_NUMBERS), "end": "hello"},
                {"op": "polled", "tag": "1", "values": [draw(POOL_NUMBERS) for _ in range(4)]},
                {"op": "polled", "tag": "1", "values": draw(POOL_NUMBERS)},
                {"op": "finished", "seq": draw(POOL_NUMBERS), "id": "77", "end": "fine", "ms": draw(POOL_NUMBERS)},
                {"op": "unknown", "end": "spawn", "id": draw(POOL_NUMBERS)},
            )
        )
        await self._rig.pool.send_line(**line)
        self._follow_recorded_seq()

    def _follow_recorded_seq(self) -> None:
        """Go on after the last number that the server has recorded, since it passes over those before."""
        self._rig.pool.seq = max(self._rig.pool.seq, self._rig.server.worker_pool.last_seq)

    async def _end_hostile_runs(self) -> None:
        """Answer each start of the client's requests: unknown, or ended after a duration that may be anything."""
        for request in list(self._rig.server.requests.values()):
            request_id = request.received.id_hex
            if not request.has_unfinished_run or not request_id.startswith(HOSTILE_ID_PREFIX):
                continue
            if self._random.random() < 0.5:
                await self._rig.pool.send_line(op="unknown", end="spawn", id=request_id)
            else:
                took_ms = self._random.choice(POOL_NUMBERS)
                await self._rig.pool.notify(
                    "finished", request_id, end=self._random.choice(RUN_ENDS), ms=took_ms, body=""
                )

    async def _wait_until_idle(self) -> None:
        with anyio.fail_after(5.0):
            while self._rig.server.requests:
                await self._end_hostile_runs()
                await anyio.sleep(ROUND_PAUSE_S)

    async def _check_served(self) -> None:
        """Serve one request of each class, with its call, while nothing else is open."""
        await self._wait_until_idle()
        self._follow_recorded_seq()
        client = await self._rig.connect_client()
        for class_name in CLASSES:
            request_id = self._next_id(SERVED_ID_PREFIX)
            fields = {"opkey": request_id} if class_name == "book" else {}
            await self._rig.start_run(client, request_id, class_name, ms="20.0", **fields)
            if class_name != "book":
                await self._serve_call(request_id)
            await self._rig.pool.finish(request_id)
            assert (await client.receive_answer())[1] == "done", f"a request of class {class_name} was not served"
        await client.stream.aclose()

    async def _serve_call(self, request_id: str) -> None:
        """Let the run reach its call and answer that, unless the server has it go on without."""
        pool, records = self._rig.pool, self._rig.records
        await pool.block(request_id)
        call = ("OP", request_id, CALL_BODY)
        await wait_until(lambda: call in records.received or pool.received_commands("pass", request_id))
        if call in records.received:
            await records.reply(request_id, "DONE", b"reply")
            await wait_until(lambda: pool.received_commands("supply", request_id))

    async def _check_given_back(self) -> None:
        """Check that no request, call, record or memory is counted any more once the window of the keys is over."""
        await self._wait_until_idle()
        await anyio.sleep(WINDOW_S)
        controller = self._rig.server.decision_executor.controller
        assert self._rig.server.phase is Phase.SERVING and controller is not None
        assert not controller._requests.by_id and not any(controller._requests.by_state.values())
        assert controller._memory.used_kb() == 0.0
