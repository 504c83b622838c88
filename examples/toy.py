"""A demonstration: small fakes of the services around a server, and a load balancer that sends a few requests.

Start the server (`make run`) and this program from the same folder, in either order. The load balancer sends a single
request first. Then it sends a burst, more than two cores can answer within the latency objective. Nothing is measured.
The program imports nothing from nickelslip, so it shows each protocol in full and runs from any folder.
"""

import json
import sys
import time
from base64 import b64decode, b64encode
from itertools import count
from pathlib import Path

import anyio
import anyio.abc

CORES = 2
WORK_S = 0.15
BURST_SIZE = 12


def address(text: str) -> tuple[str, int]:
    """Split `host:port` into host and port."""
    host, port = text.rsplit(":", 1)
    return host, int(port)


class WorkerPool:
    """A worker pool with two cores, in which each run calls the records service once and reverses its body."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.cores = anyio.Semaphore(CORES)
        self.numbers = count(1)
        self.replies: dict[str, anyio.Event] = {}
        self.send_lock = anyio.Lock()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Execute the commands of one connection."""
        buffer = b""
        async for data in stream:
            *lines, buffer = (buffer + data).split(b"\n")
            for command in map(json.loads, lines):
                if command["op"] == "bind":
                    await self.send(stream, op="bound", end="running", ms=0)
                elif command["op"] == "poll":
                    busy = (CORES - self.cores.value) / CORES
                    await self.send(stream, op="polled", tag=command["tag"], values=[busy, CORES * busy, 0.1, 1])
                elif command["op"] == "spawn":
                    self.tasks.start_soon(self.run, stream, command["id"], b64decode(command["body"]))
                elif command["op"] in ("supply", "pass") and command["id"] in self.replies:
                    self.replies[command["id"]].set()

    async def run(self, stream: anyio.abc.SocketStream, request_id: str, body: bytes) -> None:
        """Run one request, with one call to the records service."""
        started_at = time.monotonic()
        async with self.cores:
            await anyio.sleep(WORK_S)
        self.replies[request_id] = anyio.Event()
        await self.send(stream, op="blocked", id=request_id, body=b64encode(b"look up").decode())
        await self.replies[request_id].wait()
        del self.replies[request_id]
        await self.send(
            stream,
            op="finished",
            id=request_id,
            end="fine",
            ms=1000 * (time.monotonic() - started_at),
            body=b64encode(body[::-1]).decode(),
        )

    async def send(self, stream: anyio.abc.SocketStream, **notification: object) -> None:
        """Send a notification, with a sequence number if it must not be lost."""
        async with self.send_lock:
            if notification["op"] in ("blocked", "finished"):
                notification["seq"] = next(self.numbers)
            await stream.send(json.dumps(notification).encode() + b"\n")


async def serve_records(stream: anyio.abc.SocketStream) -> None:
    """Serve as a records service that answers every call with the same word."""
    buffer = b""
    async for data in stream:
        buffer += data
        while b"\r\n" in buffer:
            line, _, rest = buffer.partition(b"\r\n")
            verb, request_id, *arguments = line.split(b" ")
            size = int(arguments[1]) + 2 if arguments else 0
            if len(rest) < size:
                break
            buffer = rest[size:]
            if verb == b"OP":
                await stream.send(b"%b DONE 5\r\nfound\r\n" % request_id)


async def print_reports(sock: anyio.abc.UDPSocket) -> None:
    """Serve as a directory that prints the first load report, and each one that differs from the one before."""
    last_report = b""
    async for report, _ in sock:
        if report != last_report:
            print(f"directory: {report.decode()}")
            last_report = report


def message(*parts: bytes) -> bytes:
    """Encode a message of the load balancers' protocol."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def read_answer(stream: anyio.abc.ByteReceiveStream) -> list[bytes]:
    """Read the parts of one answer."""

    async def line() -> bytes:
        text = b""
        while not text.endswith(b"\r\n"):
            text += await stream.receive(1)
        return text[1:-2]

    parts = []
    for _ in range(int(await line())):
        size = int(await line()) + 2
        part = b""
        while len(part) < size:
            part += await stream.receive(size - len(part))
        parts.append(part[:-2])
    return parts


async def send_request(stream: anyio.abc.SocketStream, tag: int, traffic_class: bytes) -> None:
    """Send one request."""
    now = int(time.time() * 1000)
    fields = f"req={time.time_ns() % 2**64:016x},ts={now},via=1,owner=acme,timeout=2000,need=24.5,level=0.5"
    await stream.send(message(b"ASK", b"%d" % tag, traffic_class, fields.encode(), b"stressed"))


async def print_answer(stream: anyio.abc.SocketStream) -> None:
    """Print the next answer."""
    tag, word, fields, body = await read_answer(stream)
    outcome = {b"done": "satisfied", b"later": "dismissed"}.get(word, "forfeited")
    print(f"  {tag.decode():>2} {outcome} {body.decode()} {fields.decode()}")


async def main(path: Path) -> None:
    """Start the fake services, then send requests as a load balancer."""
    config = json.loads(path.read_text())
    async with anyio.create_task_group() as tasks:
        for name, handler in (("pool", WorkerPool(tasks).serve), ("records", serve_records)):
            host, port = address(config[name])
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            tasks.start_soon(listener.serve, handler)
        host, port = address(config["lookup"])
        tasks.start_soon(print_reports, await anyio.create_udp_socket(local_host=host, local_port=port))
        stream = None
        while stream is None:
            try:
                stream = await anyio.connect_tcp(*address(config["listen"]))
            except OSError:
                print("no server yet: start it with `make run`")
                await anyio.sleep(1)
        await anyio.sleep(1)
        print("one alone:")
        await send_request(stream, 1, b"payout")
        await print_answer(stream)
        print(f"{BURST_SIZE} at once:")
        for tag in range(2, 2 + BURST_SIZE):
            await send_request(stream, tag, b"balance")
        for _ in range(BURST_SIZE):
            await print_answer(stream)
        await stream.aclose()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, Path(sys.argv[1] if len(sys.argv) > 1 else Path(__file__).with_name("config.json")))
