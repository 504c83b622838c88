"""Bad clients whose messages never end take all buffers, and requests of the usual balancers are lost."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMITS = {"memory_mb": 64, "sockets": 1024}
BALANCERS = 4
PERIOD_S = 0.08  # between two requests of one balancer
PLAY_S = 40.0
BAD_CLIENTS = 850
FIRST_WAVE_S = 3.0
WAVE_PERIOD_S = 12.0  # the longest that such a client is kept is 11 s
WAVES = 3
SLACK_MS = 60.0 + world.SOCKET_SLACK_MS
CROSSING_MS = 50.0  # a request that crosses a close within this time is sent again
MOST_LOST = 0.003  # of all requests


class Balancer:
    """One balancer with one connection at a time; it connects again when that one ends."""

    def __init__(self, record: world.Record, pool: world.WorkerPool, number: int, ids: itertools.count[int]) -> None:
        self._record = record
        self._pool = pool
        self._number = number
        self._ids = ids
        self.tries: list[world.Try] = []

    async def play(self, address: str, until_s: float) -> None:
        """Send requests until the time is over."""
        connection = world.BalancerConnection(self._record, self._pool, self._number)
        await connection.connect(address)
        while time.monotonic() < until_s:
            if not connection.is_usable:
                await asyncio.sleep(0.1)
                connection = world.BalancerConnection(self._record, self._pool, self._number)
                try:
                    await connection.connect(address)
                except OSError:
                    continue
            self._ask(connection)
            await asyncio.sleep(PERIOD_S)
        await world.wait_until(lambda: not connection.open_count, 12.0)
        connection.close()

    def _ask(self, connection: world.BalancerConnection) -> None:
        number = next(self._ids)
        traffic_class, timeout_ms = ("payout", 2800.0) if number % 3 == 0 else ("balance", 11000.0)
        request_id = f"{0xA000000000000000 + number:016x}"
        self.tries.append(connection.ask(request_id, traffic_class, b"body %d" % number, timeout_ms))


async def bad_client(address: str, closed_after_s: list[float]) -> None:
    """Connect, send a message that never ends, and wait for the close that is owed."""
    host, port = address.rsplit(":", 1)
    began_s = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return
    writer.write(b"*5\r\n$3\r\nASK\r\n$1\r\n1\r\n$7\r\nbal")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(12.0):
            while await reader.read(4096):
                pass
    closed_after_s.append(time.monotonic() - began_s)
    writer.close()


async def wave(address: str, closed_after_s: list[float]) -> None:
    """Let all bad clients come at once."""
    await asyncio.gather(*(bad_client(address, closed_after_s) for _ in range(BAD_CLIENTS)))


def is_lost(one: world.Try) -> bool:
    """Return whether a request was lost by the rule, with its excuses.

    The first request on a connection has failed and is not lost. A request that crosses the close within 50 ms is
    sent again. A reset by the server excuses nothing.
    """
    if len(one.answers) == 1:
        return one.answers[0][0] > one.due_at_ms + SLACK_MS
    if one.answers:
        return True
    if one.is_first_on_connection:
        return False
    return one.ended_at_ms - one.sent_at_ms > CROSSING_MS


async def play(record: world.Record, folder: Path) -> int:
    """Play the case and return the exit code."""
    pool = world.WorkerPool(record, {"balance": 360.0, "payout": 160.0}, {"balance": 1, "payout": 1})
    listen = world.listen_address()
    records = world.RecordsService(record, 20.0)
    directory = world.Directory()
    config = world.platform_config(
        listen, await pool.listen(), await records.listen(), await directory.listen(), **LIMITS
    )
    config_path = folder / "config.json"
    config_path.write_text(json.dumps(config))
    server = world.ServerProcess(folder, config_path, folder / "server.log")
    await server.start()
    try:
        if not await world.wait_until_healthy(listen):
            record.line("the server did not become healthy")
            return NOT_RUN
        ids = itertools.count(1)
        balancers = [Balancer(record, pool, number, ids) for number in range(1, BALANCERS + 1)]
        closed_after_s: list[float] = []
        began_s = time.monotonic()
        most_mb = 0.0
        async with asyncio.TaskGroup() as tasks:
            for balancer in balancers:
                tasks.create_task(balancer.play(listen, began_s + PLAY_S))
            for number in range(WAVES if HAS_TROUBLE else 0):
                await asyncio.sleep(max(0.0, began_s + FIRST_WAVE_S + number * WAVE_PERIOD_S - time.monotonic()))
                record.line(f"{BAD_CLIENTS} bad clients connect and send a message that never ends")
                tasks.create_task(wave(listen, closed_after_s))
                await asyncio.sleep(1.5)
                most_mb = max(most_mb, server.resident_mb())
        has_crashed = server.exit_code is not None
        server.signal(signal.SIGTERM)
        await server.wait(6.0)
    finally:
        await server.kill()
    return judge(
        record, [one for balancer in balancers for one in balancer.tries], closed_after_s, most_mb, has_crashed
    )


def judge(
    record: world.Record, tries: list[world.Try], closed_after_s: list[float], most_mb: float, has_crashed: bool
) -> int:
    """Write the result and return the exit code."""
    lost = [one for one in tries if is_lost(one)]
    for one in lost:
        record.line(
            f"lost: {one.request_id}, sent {one.ended_at_ms - one.sent_at_ms:.0f} ms before its connection ended"
        )
    answered = sum(1 for one in tries if one.answers)
    done = sum(1 for one in tries if one.answers and one.answers[0][1] == world.DONE)
    text = f"{len(tries)} requests, {answered} answered, {done} of them done, {len(lost)} lost"
    text += f"; server at most {most_mb:.0f} MB resident, crashed: {has_crashed}"
    if closed_after_s:
        text += f"; bad clients closed after {max(closed_after_s):.1f} s at the latest"
    record.line(text)
    print(text)
    return BROKEN if len(lost) > MOST_LOST * len(tries) or has_crashed else HELD


def main() -> int:
    """Play the case in a temporary folder."""
    record = world.Record(FOLDER / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = world.run_case(play(record, Path(folder)))
            record.line("server log: " + (Path(folder) / "server.log").read_text()[-6000:])
            return code
    finally:
        record.close()


if __name__ == "__main__":
    world.end_with(main)
