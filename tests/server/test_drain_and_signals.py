"""The drain, and the signals that the program handles."""

import json
import os
import pathlib
import signal
import subprocess
import sys

import anyio
import pytest

from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig, free_port
from tests.support.waiting import wait_until, wait_until_deadline

pytestmark = pytest.mark.anyio


async def test_a_drain_runs_requests_received_within_the_grace_period_and_rejects_later_ones():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        rig.server.begin_shutdown()
        await client.send("STATUS", "90", "")
        assert (await client.receive_answer())[:2] == (90, "sick")
        await rig.start_run(client, B)
        await anyio.sleep(0.25)
        await client.send_request(C)
        assert (await client.receive_answer())[:2] == (3, "later") and not rig.pool.received_commands("spawn", C)
        await rig.pool.finish(A)
        await rig.pool.finish(B)
        assert [(await client.receive_answer())[:2] for _ in range(3)] == [(1, "done"), (2, "done"), (0, "closing")]
        await client.stream.aclose()
        await wait_until(lambda: rig.exited_cleanly is True)
        with pytest.raises(OSError):
            await rig.connect_client()


async def receive_statuses(client, count, statuses):
    for _ in range(count):
        statuses.append((await client.receive_answer())[1])


async def test_a_shutdown_answers_all_requests_before_the_process_is_killed():
    async with ServerRig() as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A)
        await rig.start_run(client, B, "pay")
        started_at = anyio.current_time()
        rig.server.begin_shutdown()
        statuses: list[str] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receive_statuses, client, 2, statuses)
            await wait_until_deadline(lambda: len(statuses) == 2, started_at + 0.7)
        assert statuses == ["error", "error"]
        await wait_until_deadline(lambda: rig.exited_cleanly is True, started_at + 0.75)


@pytest.mark.parametrize("stop_signal", (signal.SIGTERM, signal.SIGINT))
async def test_the_program_serves_and_shuts_down_on_a_signal_without_writing_files(stop_signal, tmp_path):
    async with ServerRig(in_subprocess=True) as rig:
        rig.pool.accepts_binds.set()
        port = free_port()
        file = tmp_path / "config.json"
        file.write_text(json.dumps({**rig.config, "listen": f"127.0.0.1:{port}"}))
        environment = {**os.environ, "ROUTER_CONFIG": str(file)}
        with subprocess.Popen(
            [sys.executable, "-B", "-m", "nickelslip.server", "serve"],
            env=environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        ) as process:
            try:
                process_status = pathlib.Path(f"/proc/{process.pid}/status")
                await wait_until(lambda: int(process_status.read_text().split("SigBlk:")[1].split()[0], 16) & 1)
                process.send_signal(signal.SIGHUP)  # most modules have not been imported yet
                rig.port = port
                client = None
                with anyio.fail_after(10):
                    while client is None:
                        try:
                            client = await rig.connect_client()
                        except OSError:
                            await anyio.sleep(0.02)
                await wait_until(lambda: rig.pool.gauge_query_count)
                file.write_text("{")
                process.send_signal(signal.SIGHUP)
                await rig.start_run(client, A)
                process.send_signal(stop_signal)
                process.send_signal(signal.SIGHUP)
                await rig.pool.finish(A)
                assert [(await client.receive_answer())[1] for _ in range(2)] == ["done", "closing"]
                await client.stream.aclose()
                await wait_until(lambda: process.poll() is not None)
                assert process.returncode == 0
                lines = [json.loads(line) for line in process.stdout.read().splitlines()]
                assert any("not JSON" in line.get("error", "") for line in lines)
                phases = [line.get("phase") for line in lines if line["event"] == "phase_changed"]
                assert [phase for phase in phases if phase] == ["SERVING", "DRAINING", "SHUTTING_DOWN"]
            finally:
                process.kill()
        assert os.listdir(tmp_path) == ["config.json"]
