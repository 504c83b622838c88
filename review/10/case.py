"""A roll-out has gone back, and a server that is slow for a while takes the harmful change up again by itself."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

import world  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
UNDONE = 4  # exit code of `nickelslip config rollout`: the change was undone
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_MS = 2800.0
RUN_MS = 150.0
QUIET_PERIOD_S = 0.3
BUSY_PERIOD_S = 0.07  # 14 requests a second of 0.15 s each, on six cores
BEFORE_S = 22.0
AFTER_S = 12.0
SLOWER = 9.0  # so many times slower
SLOW_S = 15.0
PUSHED = {"version": 1, "machine": {"running_most": 1}}
LEAST_DONE = 0.9  # of the requests after the roll-out; with one run at a time about a third is possible
RULES = {"reload": "all"}  # and the usual times: 10 s of probation after a baseline of 20 s


@dataclass
class Node:
    """One server with its worker pool, its records and its traffic."""

    record: world.Record
    folder: Path
    number: int
    period_s: float
    is_playing: bool = True
    tries: list[world.Try] = field(default_factory=list)
    document: dict[str, Any] = field(default_factory=dict)

    async def start(self, records: str, directory: str) -> bool:
        """Start the server; return whether it is healthy."""
        self.folder.mkdir()
        self.listen = world.listen_address(self.number)
        self.pool = world.WorkerPool(self.record, {"payout": RUN_MS}, {"payout": 1})
        self.socket = str(self.folder / "control")
        changes = {"socket": self.socket, "history": str(self.folder / "history"), **RULES}
        self.document = world.own_document(self.listen, await self.pool.listen(), records, directory, changes)
        self.document["node"]["name"] = f"n{self.number}"
        self.config_path = self.folder / "config.json"
        self.config_path.write_text(json.dumps(self.document))
        self.log_path = self.folder / "server.log"
        self.server = world.ServerProcess(self.folder, self.config_path, self.log_path)
        await self.server.start()
        return await world.wait_until_healthy(self.listen)

    async def play(self, ids: itertools.count[int]) -> None:
        """Send requests until the end."""
        connections = [world.BalancerConnection(self.record, self.pool, number) for number in range(1, 4)]
        for connection in connections:
            await connection.connect(self.listen)
        while self.is_playing:
            number = next(ids)
            connection = min((each for each in connections if each.is_usable), key=lambda each: each.open_count)
            request_id = f"{0xE000000000000000 + number:016x}"
            self.tries.append(connection.ask(request_id, "payout", b"body %d" % number, TIMEOUT_MS))
            await asyncio.sleep(self.period_s)
        await world.wait_until(lambda: not any(each.open_count for each in connections), TIMEOUT_MS / 1000 + 1)
        for connection in connections:
            connection.close()

    def is_reverting(self) -> bool:
        """Return whether the log says that the way back is in its canary period."""
        lines = world.log_lines(self.log_path)
        return any(
            str(line.get("origin")).startswith("back to") and line.get("step") == "ON_PROBATION" for line in lines
        )

    async def be_slow(self) -> None:
        """Let the machine run slower for a while."""
        self.record.line(f"n{self.number}: the machine is {SLOWER} times slower for {SLOW_S} s")
        self.pool.slowness = SLOWER
        await asyncio.sleep(SLOW_S)
        self.pool.slowness = 1.0
        self.record.line(f"n{self.number}: the machine is as quick as before")


async def run_command(record: world.Record, *words: str) -> int:
    """Run a command of the program, write what it prints and return its exit code."""
    process = await asyncio.create_subprocess_exec(
        *(str(world.ROOT / ".venv" / "bin" / "python"), "-B", "deploy/serve.py", *words),
        cwd=world.ROOT,
        env=world.program_environment(),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
    for line in output.decode(errors="replace").splitlines():
        record.line(f"{' '.join(words[:2])}: {line}")
    code = process.returncode or 0
    record.line(f"{' '.join(words[:2])}: exit code {code}")
    return code


async def play(record: world.Record, folder: Path) -> int:
    """Play the case and return the exit code."""
    records = await world.RecordsService(record, 10.0).listen()
    directory = await world.Directory().listen()
    periods_s = (QUIET_PERIOD_S, BUSY_PERIOD_S, QUIET_PERIOD_S, QUIET_PERIOD_S)
    nodes = [Node(record, folder / f"n{number}", number, period_s) for number, period_s in enumerate(periods_s, 1)]
    first = nodes[0]  # a quarter of the servers is slow for a while
    try:
        for node in nodes:
            if not await node.start(records, directory):
                return NOT_RUN
        ids = itertools.count(1)
        pushed = folder / "pushed.json"
        pushed.write_text(json.dumps(PUSHED))
        async with asyncio.TaskGroup() as tasks:
            for node in nodes:
                tasks.create_task(node.play(ids))
            await asyncio.sleep(BEFORE_S)
            command = run_command(record, "config", "rollout", str(pushed), *(node.socket for node in nodes))
            rollout = tasks.create_task(command)
            is_reverting = await world.wait_until(first.is_reverting, 50.0)
            slow_s = SLOW_S + 1.0
            if is_reverting and HAS_TROUBLE:
                await first.be_slow()
                slow_s = 1.0
            code = await asyncio.wait_for(rollout, 60.0)
            await asyncio.sleep(slow_s)
            ended_at_ms = world.now_ms()
            first.period_s = BUSY_PERIOD_S
            await asyncio.sleep(AFTER_S)
            for node in nodes:
                node.is_playing = False
        await run_command(record, "config", "diff", "--socket", first.socket, str(pushed))
        for node in nodes:
            node.server.signal(signal.SIGTERM)
        for node in nodes:
            await node.server.wait(6.0)
    finally:
        for node in nodes:
            await node.server.kill()
    if not is_reverting or code != UNDONE:
        record.line("the roll-out did not go as the case needs it")
        return NOT_RUN
    after = [one for one in first.tries if one.sent_at_ms > ended_at_ms + 1000]
    done = sum(1 for one in after if one.answers and one.answers[0][1] == world.DONE)
    text = f"the roll-out ended with `undone`; n1 satisfied {done} of {len(after)} requests later"
    record.line(text)
    print(text)
    return BROKEN if done < LEAST_DONE * len(after) else HELD


def main() -> int:
    """Play the case in a temporary folder."""
    record = world.Record(FOLDER / "record.txt")
    began_s = time.monotonic()
    try:
        with tempfile.TemporaryDirectory() as folder:
            code = world.run_case(play(record, Path(folder)))
            for name in ("n1", "n2", "n3", "n4"):
                log = Path(folder) / name / "server.log"
                lines = [line for line in world.log_lines(log) if line.get("event", "").startswith("configuration")]
                for line in lines:
                    record.line(f"log of {name}: {json.dumps(line)}")
            record.line(f"{time.monotonic() - began_s:.0f} s")
            return code
    finally:
        record.close()


if __name__ == "__main__":
    world.end_with(main)
