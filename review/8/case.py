"""A roll-out that goes back leaves the change on a server whose peers moved, and says that no server has it."""

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
RUN_MS = 200.0
QUIET_PERIOD_S = 1.0
BUSY_PERIOD_S = 0.07  # 14 requests a second of 0.2 s each, on six cores
BEFORE_S = 12.0
AFTER_S = 12.0
PUSHED = {"version": 1, "machine": {"running_most": 1}}
LEAST_DONE = 0.9  # of the requests after the roll-out; with one run at a time about a third is possible
RULES = {"probation_ms": 2000, "probation_most_ms": 6000, "baseline_ms": 8000, "reload": "all"}


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
            request_id = f"{0xC000000000000000 + number:016x}"
            self.tries.append(connection.ask(request_id, "payout", b"body %d" % number, TIMEOUT_MS))
            await asyncio.sleep(self.period_s)
        await world.wait_until(lambda: not any(each.open_count for each in connections), TIMEOUT_MS / 1000 + 1)
        for connection in connections:
            connection.close()

    def has_reached(self, step: str) -> bool:
        """Return whether the log says that a change came to this step."""
        return any(line.get("step") == step for line in world.log_lines(self.log_path))

    async def move_pool(self) -> None:
        """Replace the file by one that names the worker pool's new address, and send SIGHUP."""
        self.document["peers"]["pool"] = await self.pool.move()
        replacement = self.folder / "config.new"
        replacement.write_text(json.dumps(self.document))
        replacement.replace(self.config_path)
        self.record.line(f"n{self.number}: new address of the worker pool in the file, SIGHUP")
        self.server.signal(signal.SIGHUP)


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
    nodes = [Node(record, folder / "n1", 1, QUIET_PERIOD_S), Node(record, folder / "n2", 2, BUSY_PERIOD_S)]
    first, second = nodes
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
            command = run_command(record, "config", "rollout", str(pushed), first.socket, second.socket)
            rollout = tasks.create_task(command)
            # n1 has confirmed the change by then; the roll-out goes on to n2
            is_confirmed = await world.wait_until(lambda: second.has_reached("ON_PROBATION"), 20.0)
            if is_confirmed and HAS_TROUBLE:
                await first.move_pool()
            code = await asyncio.wait_for(rollout, 60.0)
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
    if not is_confirmed or code != UNDONE:
        record.line("the roll-out did not go as the case needs it")
        return NOT_RUN
    after = [one for one in first.tries if one.sent_at_ms > ended_at_ms + 1000]
    done = sum(1 for one in after if one.answers and one.answers[0][1] == world.DONE)
    text = f"the roll-out ended with `undone`; n1 satisfied {done} of {len(after)} requests after it"
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
            for name in ("n1", "n2"):
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
