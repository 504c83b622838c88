"""An echo server on loopback: the baseline for the latency that the machine and the client add to a request.

`python -m benchmarks.capacity.echo_server` prints its port and serves until it is killed.
"""

from __future__ import annotations

import asyncio

import uvloop


class Echo(asyncio.Protocol):
    """A connection that sends all received data back."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Send the data back."""
        self._transport.write(data)  # type: ignore[attr-defined]


async def main() -> None:
    """Print a free port and serve on it until killed."""
    server = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(main())
