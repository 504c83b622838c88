"""Something to try a server with: small stand-ins for all that it talks to, and a balancer with a few transactions.

Start the server (`make run`), then this program from the same folder; the order does not matter. First one
transaction is asked for alone, then a handful at once, more than two cores can answer within the quoted time. It
measures nothing and is no load rig.
"""

import json
import sys
import time
from base64 import b64decode, b64encode
from itertools import count
from pathlib import Path

import anyio
import anyio.abc

RUN_S = 0.15
TOGETHER = 12


def address(text: str) -> tuple[str, int]:
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Pool:
    """A worker pool with two cores, on which each run calls the records once and turns its body round."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks, self.cores, self.seq, self.replies = tasks, anyio.Semaphore(2), count(1), {}
        self.telling = anyio.Lock()

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        held = b""
        async for data in stream:
            *lines, held = (held + data).split(b"\n")
            for told in map(json.loads, lines):
                if told["op"] == "bind":
                    await self.tell(stream, op="bound", end="running", ms=0)
                elif told["op"] == "poll":
                    busy = (2 - self.cores.value) / 2
                    await self.tell(stream, op="polled", tag=told["tag"], values=[busy, 2 * busy, 0.1, 1])
                elif told["op"] == "spawn":
                    self.tasks.start_soon(self.run, stream, told["id"], b64decode(told["body"]))
                elif told["op"] in ("supply", "pass") and told["id"] in self.replies:
                    self.replies[told["id"]].set()

    async def run(self, stream: anyio.abc.SocketStream, ident: str, body: bytes) -> None:
        begun = time.monotonic()
        async with self.cores:
            await anyio.sleep(RUN_S)
        self.replies[ident] = anyio.Event()
        await self.tell(stream, op="blocked", id=ident, body=b64encode(b"look up").decode())
        await self.replies[ident].wait()
        del self.replies[ident]
        await self.tell(
            stream,
            op="finished",
            id=ident,
            end="fine",
            ms=1000 * (time.monotonic() - begun),
            body=b64encode(body[::-1]).decode(),
        )

    async def tell(self, stream: anyio.abc.SocketStream, **line: object) -> None:
        async with self.telling:
            if line["op"] in ("blocked", "finished"):
                line["seq"] = next(self.seq)
            await stream.send(json.dumps(line).encode() + b"\n")


async def records(stream: anyio.abc.SocketStream) -> None:
    """A records service that answers every call with a word."""
    held = b""
    async for data in stream:
        held += data
        while b"\r\n" in held:
            line, _, rest = held.partition(b"\r\n")
            verb, ident, *more = line.split(b" ")
            size = int(more[1]) + 2 if more else 0
            if len(rest) < size:
                break
            held = rest[size:]
            if verb == b"OP":
                await stream.send(b"%b DONE 5\r\nfound\r\n" % ident)


async def directory(sock: anyio.abc.UDPSocket) -> None:
    """A directory that shows the first report, and each change."""
    last = b""
    async for report, _ in sock:
        if report != last:
            print(f"directory: {report.decode()}")
            last = report


def message(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


async def answer(stream: anyio.abc.ByteReceiveStream) -> list[bytes]:
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


async def ask(stream: anyio.abc.SocketStream, tag: int, grade: bytes) -> None:
    now = int(time.time() * 1000)
    fields = f"req={time.time_ns() % 2**64:016x},ts={now},via=1,owner=acme,timeout=2000,need=24.5,level=0.5"
    await stream.send(message(b"ASK", b"%d" % tag, grade, fields.encode(), b"stressed"))


async def show(stream: anyio.abc.SocketStream) -> None:
    tag, word, fields, body = await answer(stream)
    what = {b"done": "satisfied", b"later": "dismissed"}.get(word, "forfeited")
    print(f"  {tag.decode():>2} {what} {body.decode()} {fields.decode()}")


async def main(path: Path) -> None:
    """Start the stand-ins, then be the balancer."""
    config = json.loads(path.read_text())
    async with anyio.create_task_group() as tasks:
        for name, handler in (("pool", Pool(tasks).serve), ("records", records)):
            host, port = address(config[name])
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
            tasks.start_soon(listener.serve, handler)
        host, port = address(config["lookup"])
        tasks.start_soon(directory, await anyio.create_udp_socket(local_host=host, local_port=port))
        stream = None
        while stream is None:
            try:
                stream = await anyio.connect_tcp(*address(config["listen"]))
            except OSError:
                print("no server yet: start it with `make run`")
                await anyio.sleep(1)
        await anyio.sleep(1)
        print("one alone:")
        await ask(stream, 1, b"payout")
        await show(stream)
        print(f"{TOGETHER} at once:")
        for tag in range(2, 2 + TOGETHER):
            await ask(stream, tag, b"balance")
        for _ in range(TOGETHER):
            await show(stream)
        await stream.aclose()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(main, Path(sys.argv[1] if len(sys.argv) > 1 else Path(__file__).with_name("config.json")))
