"""Configuration changes in a running server: requests in progress, crashes at each step, malformed control messages."""

import errno
import json
import os
import random
import signal
import struct
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import replace
from functools import partial

import anyio
import anyio.to_thread
import pytest
from click.testing import CliRunner

from benchmarks.generation_watch import GenerationWatch, install
from nickelslip.admission.class_statistics import ClassStatistics
from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import RequestState
from nickelslip.configuration import control_client, history, loading, store
from nickelslip.configuration.change_lifecycle import ChangeRejectedError, RejectionReason
from nickelslip.configuration.commands import config as config_command
from nickelslip.configuration.config import ChangeRules
from nickelslip.configuration.control_protocol import FrameDecoder, encode_frame
from nickelslip.configuration.request_metrics import RequestMetrics
from nickelslip.configuration.rollout import Rollout
from nickelslip.configuration.rollout_runner import run_rollout
from nickelslip.configuration.rollout_states import RolloutPolicy, RolloutStatus, TargetState
from nickelslip.configuration.start_selection import select_start
from nickelslip.configuration.store import HistoryStore
from nickelslip.configuration.validation import InvalidDocumentError
from nickelslip.server import control_socket
from nickelslip.server.decision_executor import DecisionExecutor
from nickelslip.server.lifecycle import Phase
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig, free_port
from tests.support.waiting import wait_until
from tests.test_configuration import SMALL_DOCUMENT, layered_document, record_traffic

pytestmark = pytest.mark.anyio
RULES = ChangeRules(canary_period_ms=1000.0, max_canary_period_ms=1500.0, baseline_ms=15_000.0, reload_all=True)
CHANGED_DOCUMENT = {
    "grades": {"pay": {"quoted_ms": 400.0, "credit": 2.0}, "book": None},
    "machine": {"running_most": 2},
}


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture
def generation_watch(monkeypatch):
    """Return a watch that records under which generations each request is processed."""
    for patched_class, name in ((AdmissionController, "_adopt_settings"), (DecisionExecutor, "decide_after_change")):
        monkeypatch.setattr(patched_class, name, getattr(patched_class, name))  # restored after the test
    watch = GenerationWatch()
    install(watch)
    return watch


async def send_command(path, do, wait_ms=3000.0, **fields):
    """Send a command to the control socket as another process would, and return the reply."""
    return await anyio.to_thread.run_sync(
        partial(anyio.run, partial(control_client.ask_once, path, do, wait_ms, **fields))
    )


# Requests in progress


async def test_requests_in_every_state_keep_the_generation_under_which_they_were_read(generation_watch):
    async with ServerRig(change_rules=RULES, cpus=1) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_call(client, A, "pay")  # with a call in flight
        await rig.start_run(client, B, "book", opkey="k1")
        await client.send_request(C, "book", opkey="k1", resent=1)  # coalesced with its original
        queued_id = "00000000000000d4"
        await client.send_request(queued_id, "pay")
        await wait_until(lambda: len(rig.server.requests) == 4)
        states = {request.state for request in rig.server.requests.values()}
        assert {RequestState.CALL_IN_FLIGHT, RequestState.RUNNING, RequestState.COALESCED} <= states
        reply = await rig.push(CHANGED_DOCUMENT)
        assert reply["change"]["step"] == "on_probation" and rig.server.generation.number == 2
        assert "book" not in rig.server.generation.retry_safety_by_class  # removed, but its earlier requests continue
        await rig.records.reply(A, "DONE", b"reply")
        await wait_until(lambda: rig.pool.received_commands("supply", A))
        await rig.pool.finish(A)
        await rig.pool.finish(B, body=b"booked")
        await wait_until(lambda: rig.pool.received_commands("spawn", queued_id))
        await rig.pool.finish(queued_id)
        outcomes = dict([(await client.receive_answer())[:2] for _ in range(4)])
        assert outcomes == {1: "done", 2: "done", 3: "done", 4: "done"}
        assert len(rig.pool.received_commands("spawn", A)) == 1 and not rig.pool.received_commands("spawn", C)
        await client.send_request("00000000000000e5", "book", opkey="k2")
        assert (await client.receive_answer())[:2] == (5, "error")
        assert (
            not generation_watch.mixed_requests
            and generation_watch.events_across_generations >= 4
            and len(generation_watch.first_seen) == 4
        )


async def test_the_generation_watch_detects_a_request_that_changes_generation(generation_watch):
    async with ServerRig(change_rules=RULES) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        await rig.push(CHANGED_DOCUMENT)
        controller = rig.server.decision_executor.controller
        # The fault to detect: the class statistics are looked up again after the change.
        controller._requests.by_id[int(A, 16)].statistics = controller._classes["pay"]
        await rig.pool.finish(A)
        await client.receive_answer()
        assert generation_watch.mixed_requests == {int(A, 16)}


async def test_the_controller_keeps_its_statistics_and_advertised_weight_across_a_change():
    async with ServerRig(change_rules=RULES) as rig:
        client = await (await rig.wait_until_serving()).connect_client()
        await rig.start_run(client, A, "pay")
        await rig.pool.finish(A)
        await client.receive_answer()
        controller = rig.server.decision_executor.controller
        controller._weight.weight, mean = 0.5, controller._classes["pay"].run_ms
        await rig.push(CHANGED_DOCUMENT)
        assert (
            controller._classes["pay"].run_ms is mean and mean._sample_count == 1 and controller._weight.weight <= 0.6
        )
        statistics = controller._classes["pay"]
        assert statistics.latency_objective_ms == 400.0 and isinstance(statistics, ClassStatistics)
        assert controller._concurrency.max_concurrency == 2


# Sequences of changes


async def test_ten_consecutive_changes_are_applied_and_each_blocks_others_until_confirmed():
    async with ServerRig(change_rules=RULES) as rig:
        await rig.wait_until_serving()
        for index in range(10):
            await rig.push({"machine": {"cores": 3 + index}})
            with pytest.raises(ChangeRejectedError) as caught:
                await rig.push({"machine": {"cores": 50}})
            assert caught.value.reason is RejectionReason.BUSY
            await rig.configuration_manager.command({"do": "confirm"})
        assert rig.server.generation.number == 11 and rig.server.generation.settings.core_count == 12
        reply = await rig.configuration_manager.command({"do": "rollback", "generation": 9})
        assert rig.server.generation.settings.core_count == 10 and reply["change"]["step"] == "on_probation"


async def test_concurrent_changes_are_never_merged_and_one_during_a_rollback_waits(tmp_path, monkeypatch):
    rules = replace(RULES, history=str(tmp_path))
    async with ServerRig(change_rules=rules) as rig:
        await rig.wait_until_serving()
        accepted_commands, append = [], HistoryStore.append

        def append_slowly(self, record):  # simulates a slow disk
            time.sleep(0.05)
            append(self, record)

        monkeypatch.setattr(HistoryStore, "append", append_slowly)

        async def send(**command):
            with suppress(ChangeRejectedError):
                await rig.configuration_manager.command(command)
                accepted_commands.append(command)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: send(do="apply", document={"machine": {"cores": 3}}))
            tasks.start_soon(lambda: send(do="apply", document={"callers": {"idle_ms": 7.0}}))
        assert len(accepted_commands) == 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: send(do="rollback"))
            tasks.start_soon(lambda: send(do="apply", document={"machine": {"cores": 5}}))
        assert (
            rig.server.generation.settings.core_count == 5
            and rig.server.generation.settings.idle_connection_timeout_ms == 15000.0
        )
        assert [record.event.value for record in rig.configuration_manager.changes.records.latest] == [
            "started",
            "applied",
            "rolled back",
            "applied",
        ]


async def test_changes_during_a_worker_pool_outage_a_peer_address_change_and_a_drain():
    async with ServerRig(change_rules=RULES) as rig:
        rig.pool.accepts_binds.set()
        await wait_until(lambda: rig.server.phase is Phase.SERVING)
        client = await rig.connect_client()
        await rig.pool.stop()
        await wait_until(lambda: not rig.server.worker_pool.is_up)
        await rig.push({"machine": {"cores": 7}})
        # Longer than the maximum canary period, but a change that could not be observed is not confirmed.
        await anyio.sleep(1.8)
        assert rig.configuration_manager.changes.current is not None
        await rig.move_services()  # like SIGHUP with new peer addresses, here during a canary period
        await wait_until(lambda: rig.server.worker_pool.is_up)
        assert rig.server.generation.settings.core_count == 7
        await rig.start_run(client, A, "pay")
        await rig.configuration_manager.command({"do": "rollback"})
        assert rig.server.generation.settings.core_count == 2
        assert rig.server.generation.config.pool[1] == rig.pool.port and rig.server.worker_pool.is_up
        await rig.pool.finish(A)
        assert (await client.receive_answer())[:2] == (1, "done")
        rig.server.begin_shutdown()
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 9}})
        assert caught.value.reason is RejectionReason.SHUTTING_DOWN


async def test_a_harmful_change_is_rolled_back_and_a_harmless_one_confirmed():
    async with ServerRig(change_rules=replace(RULES, max_canary_period_ms=6000.0)) as rig:
        await rig.wait_until_serving()
        rng, begin_at_ms = random.Random(3), rig.server.clock() - 14_500
        objectives_ms = {"payout": 100.0, "balance": 100.0}
        rig.configuration_manager.observation.request_metrics = rig.server.request_metrics = RequestMetrics(
            16_000.0, objectives_ms
        )
        record_traffic(
            rig.configuration_manager.observation.request_metrics,
            rng,
            begin_at_ms,
            rig.server.clock(),
            lambda pair: 0.97,
        )
        await rig.push({"machine": {"cores": 6}})
        generation_number = rig.server.generation.number
        metrics = rig.configuration_manager.observation.request_metrics

        async def simulate_traffic(in_time_fraction, is_over):
            filled_until_ms = rig.server.clock()
            with anyio.fail_after(8):
                while not is_over():
                    await anyio.sleep(0.26)
                    end_at_ms = rig.server.clock() - 1
                    record_traffic(metrics, rng, filled_until_ms, end_at_ms, in_time_fraction)
                    filled_until_ms = (end_at_ms // 250) * 250

        metrics.set_latency_objectives(objectives_ms)
        await simulate_traffic(lambda pair: 0.97, lambda: rig.configuration_manager.changes.current is None)
        assert rig.server.generation.number == generation_number  # confirmed
        await rig.push({"machine": {"cores": 1}})
        metrics.set_latency_objectives(objectives_ms)
        await simulate_traffic(lambda pair: 0.1, lambda: rig.configuration_manager.changes.current is None)
        assert rig.server.generation.settings.core_count == 6
        last_record = rig.configuration_manager.changes.records.latest[-1]
        assert last_record.event is history.HistoryEvent.ROLLED_BACK and "quoted time" in last_record.reason
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 1}})
        assert caught.value.reason is RejectionReason.RECENTLY_ROLLED_BACK


async def test_sighup_applies_peer_addresses_immediately_and_the_rest_as_a_change():
    async with ServerRig(change_rules=RULES) as rig:
        await rig.wait_until_serving()
        await rig.push({"machine": {"cores": 5}})
        await rig.configuration_manager.command({"do": "confirm"})
        rig.server.reload_handler.reload()  # the file has not changed, so the change stays in force
        await anyio.sleep(0.1)
        assert rig.server.generation.settings.core_count == 5
        rig.config["pool"] = "nowhere"
        rig.server.reload_handler.reload()
        await anyio.sleep(0.1)
        assert rig.server.generation.settings.core_count == 5
        rig.config.update(pool=f"127.0.0.1:{rig.pool.port}", stop_ms=800)
        rig.server.reload_handler.reload()
        await wait_until(lambda: rig.server.generation.config.stop_ms == 800)
        assert rig.configuration_manager.changes.current is not None and rig.server.generation.settings.core_count == 2


# Files and the history


async def test_a_file_replaced_or_written_while_it_is_read_is_never_applied_in_part(tmp_path, monkeypatch):
    file = tmp_path / "c.json5"
    file.write_text(SMALL_DOCUMENT)
    real_fstat, writes = os.fstat, []

    def write_twice_and_fstat(descriptor):
        if len(writes) < 2:
            writes.append(file.write_text(SMALL_DOCUMENT + " " * (len(writes) + 1)))
        return real_fstat(descriptor)

    monkeypatch.setattr(loading.os, "fstat", write_twice_and_fstat)
    assert loading.read_file(str(file)) == (SMALL_DOCUMENT + "  ").encode()
    monkeypatch.setattr(
        loading.os,
        "fstat",
        lambda descriptor: (
            writes.append(1),
            file.write_text(SMALL_DOCUMENT + " " * len(writes)),
            real_fstat(descriptor),
        )[-1],
    )
    with pytest.raises(InvalidDocumentError, match="being written"):
        loading.read_file(str(file))
    monkeypatch.undo()
    with (tmp_path / "big").open("wb") as large_file:
        large_file.truncate(60 << 20)
    started_at_s = time.monotonic()
    with pytest.raises(InvalidDocumentError, match="over"):
        loading.read_file(str(tmp_path / "big"))
    assert time.monotonic() - started_at_s < 0.5


SYSTEM_CALLS = ("open", "ftruncate", "pwrite", "fsync", "write", "replace", "truncate")


class ProcessKilled(BaseException):
    """Raised in place of a system call at which the simulated process is killed."""


def test_a_kill_at_any_system_call_preserves_the_last_confirmed_document(tmp_path, monkeypatch):
    """Kills the process at each system call in turn, with only a part of an interrupted write on the disk."""
    document, real_calls = layered_document().document, {name: getattr(os, name) for name in SYSTEM_CALLS}
    max_call_count = 0
    for step in range(200):
        folder = tmp_path / str(step)
        history_store = HistoryStore(str(folder), 6.0)  # small enough to be compacted during the test
        confirmed, call_count, is_done = 0, 0, False
        start = select_start([], document, 0.0)
        history_store.append(start.record)
        confirmed = start.number

        def killing_call(name, step=step):
            def call(*arguments):
                nonlocal call_count
                call_count += 1
                if call_count > step:
                    if name in ("pwrite", "write"):
                        written_length = len(arguments[1]) * (step % 7) // 7
                        real_calls[name](arguments[0], arguments[1][:written_length], *arguments[2:])
                    raise ProcessKilled
                return real_calls[name](*arguments)

            return call

        with monkeypatch.context() as patch:
            for name in SYSTEM_CALLS:
                patch.setattr(store.os, name, killing_call(name))
            with suppress(ProcessKilled):
                for number in range(2, 7):
                    for event in (history.HistoryEvent.APPLIED, history.HistoryEvent.CONFIRMED):
                        history_store.append(
                            history.HistoryRecord(
                                2 * number + (event is history.HistoryEvent.CONFIRMED),
                                event,
                                number,
                                "d",
                                "test",
                                0.0,
                                "",
                                document,
                                start.record.file_digest,
                            )
                        )
                    confirmed = number
                is_done = True
        history_store.close()
        reopened = HistoryStore(str(folder), 6.0)
        last_confirmed = history.last_confirmed(reopened.records)
        # The interrupted record is either complete or absent, never partial.
        assert last_confirmed is not None and last_confirmed.generation in (confirmed, confirmed + 1), (step, confirmed)
        assert select_start(reopened.records, document, 1.0).document == json.loads(json.dumps(document))
        reopened.append(history.HistoryRecord(999, history.HistoryEvent.REJECTED, 9, "d", "test", 0.0))
        reopened.close()
        max_call_count = max(max_call_count, call_count)
        if is_done:
            break
    assert is_done and max_call_count > 20


async def test_an_unwritable_history_rejects_a_change_and_keeps_the_order_of_records(tmp_path):
    async with ServerRig(change_rules=replace(RULES, history=str(tmp_path))) as rig:
        await rig.wait_until_serving()
        append = rig.configuration_manager.history.store.append

        def append_to_full_disk(record):
            raise OSError(errno.ENOSPC, "no space")

        rig.configuration_manager.history.store.append = append_to_full_disk
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 3}})
        assert (
            caught.value.reason is RejectionReason.HISTORY_UNAVAILABLE
            and rig.server.generation.settings.core_count == 2
        )
        rig.configuration_manager.history.store.append = append
        await rig.push({"machine": {"cores": 4}})
        rig.configuration_manager.history.store.append = append_to_full_disk
        await rig.configuration_manager.command({"do": "confirm"})
        assert (await rig.configuration_manager.command({"do": "status"}))["history_behind"] >= 1
        rig.configuration_manager.history.store.append = append
        await wait_until(lambda: not rig.configuration_manager.history.unwritten)
        assert (
            history.last_confirmed(rig.configuration_manager.history.store.records).generation
            == rig.server.generation.number
        )
        with pytest.raises(OSError):  # the folder is locked by the server
            HistoryStore(str(tmp_path), 64.0)
        rig.configuration_manager.history.store.close()


# The control socket


class ShiftedTime:
    """Replaces the time module in the control socket, with a monotonic clock that the test can advance."""

    def __init__(self) -> None:
        self.ahead_s = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.ahead_s


async def test_a_control_message_sent_byte_by_byte_after_idle_time_is_answered(tmp_path, monkeypatch):
    shifted_time, received_pieces = ShiftedTime(), []

    class RecordingFrameDecoder(FrameDecoder):
        def feed(self, data):
            received_pieces.append(data)
            return super().feed(data)

    monkeypatch.setattr(control_socket, "time", shifted_time)
    monkeypatch.setattr(control_socket, "FrameDecoder", RecordingFrameDecoder)
    path = str(tmp_path / "control")
    async with ServerRig(change_rules=replace(RULES, socket=path)) as rig:
        await rig.wait_until_serving()
        await wait_until(lambda: os.path.exists(path))
        message = encode_frame({"protocol": 1, "id": 1, "do": "status"})
        async with await anyio.connect_unix(path) as stream:
            decoder, replies = FrameDecoder(), []
            with anyio.fail_after(2):
                while not replies:  # the greeting
                    replies += decoder.feed(await stream.receive())
                shifted_time.ahead_s += control_socket.MESSAGE_TIMEOUT_S + 1.0
                for index in range(len(message)):
                    await stream.send(message[index : index + 1])
                    # Each byte must be read before the next one is sent.
                    await wait_until(lambda index=index: len(received_pieces) == index + 1)
                while len(replies) < 2:
                    replies += decoder.feed(await stream.receive())
        assert replies[1]["ok"]


async def test_invalid_messages_and_excess_connections_do_not_block_the_control_socket(tmp_path, monkeypatch):
    monkeypatch.setattr(control_socket, "MESSAGE_TIMEOUT_S", 0.3)
    path = str(tmp_path / "control")
    async with ServerRig(change_rules=replace(RULES, socket=path)) as rig:
        await rig.wait_until_serving()
        await wait_until(lambda: os.path.exists(path) and os.stat(path).st_mode & 0o777 == 0o600)
        incomplete = await anyio.connect_unix(path)  # sends a message that never ends
        await incomplete.send(encode_frame({"protocol": 1, "id": 1, "do": "status"})[:9])
        for malformed in (
            struct.pack(">I", 1 << 30),
            b"GET / HTTP/1.0\r\n\r\n",
            struct.pack(">I", 3) + b"[1]",
            struct.pack(">I", 4) + b"{{{{",
            b"",
        ):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(malformed)
                if malformed:
                    with anyio.fail_after(2), suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                        while True:
                            await stream.receive()
        reply = await send_command(path, "status")
        assert reply["ok"] and reply["generation"] == 1
        assert (await send_command(path, "apply", document={"machine": {"cores": "x"}}))["code"] == "faulty"
        assert (await send_command(path, "sing"))["code"] == "none"
        assert (await send_command(path, "apply", document={"machine": {"cores": 9}}, until_ms=1))["code"] == "late"
        async with await anyio.connect_unix(path) as stream:
            decoder, replies = FrameDecoder(), []
            await stream.send(encode_frame({"protocol": 99, "id": 5, "do": "status"}) + encode_frame({"do": 4}))
            with anyio.fail_after(2):
                while len(replies) < 3:
                    replies += decoder.feed(await stream.receive())
            assert replies[0]["protocol"] == [1, 1] and [reply["code"] for reply in replies[1:]] == ["improper"] * 2
        with anyio.fail_after(2), suppress(anyio.BrokenResourceError), pytest.raises(anyio.EndOfStream):
            while True:
                await incomplete.receive()  # the greeting, then the end of the stream
        connections = [await anyio.connect_unix(path) for _ in range(control_socket.MAX_CONNECTIONS)]
        for connection in connections:
            await connection.receive()
        with pytest.raises(control_client.ServerUnreachableError):
            await send_command(path, "status", 500.0)
        for connection in connections:
            await connection.aclose()
        await wait_until(lambda: not rig.server.background_tasks[-1].__self__.open_connection_count)
        assert (await send_command(path, "status"))["ok"]
        with pytest.raises(OSError, match="another server"):
            control_socket.remove_stale_socket(path)


# Rollouts and the complete program


async def test_a_rollout_rolls_back_only_changes_of_its_own_origin():
    """Runs a rollout over simulated targets. In its second wave, one rolls back and another never replies."""
    origins, commands, rolled_back = {}, [], set()

    async def ask(target, do, wait_ms, **fields):
        commands.append((target, do))
        if target == "n2":
            await anyio.sleep(0.05)
            raise control_client.ServerUnreachableError("no answer in time")
        if do == "apply":
            assert fields["until_ms"] > time.time() * 1000
            origins[target] = fields["origin"]
            return {"ok": True, "change": {"step": "on_probation", "digest": f"d-{target}"}}
        if do == "rollback":
            is_own = origins.get(target) == fields["from"]
            rolled_back.update([target] if is_own else [])
            return {"ok": is_own, "code": "overtaken"}
        is_rolled_back = target in rolled_back or (target == "n1" and commands.count((target, "status")) > 1)
        return {
            "ok": True,
            "changes": [] if is_rolled_back else [{"origin": origins[target]}],
            "current": None,
            "step": "on_probation" if target == "n1" and not is_rolled_back else "confirmed",
            "verdict": {"reason": "grade payout"},
        }

    policy = RolloutPolicy(
        wave_fractions=(0.0, 1.0),
        status_check_interval_ms=50.0,
        unreachable_after_ms=400.0,
        reply_timeout_ms=50.0,
        rollback_timeout_ms=600.0,
    )
    rollout = Rollout(["n0", "n1", "n2", "n3"], policy, 0.0)
    with anyio.fail_after(8):
        await run_rollout(rollout, policy, {"machine": {"cores": 3}}, "f.json5", lambda line: None, ask)
    states = {name: state for name, (state, _) in rollout.target_states().items()}
    assert rollout.status is RolloutStatus.ROLLBACK_FAILED and states == {
        "n0": TargetState.ROLLED_BACK,
        "n1": TargetState.FAILED,
        "n2": TargetState.ROLLBACK_FAILED,
        "n3": TargetState.ROLLED_BACK,
    }
    assert ("n1", "rollback") not in commands and len({*origins.values()}) == 1


def start_program(tmp_path, port, **changes):
    """Start the program without its peers. It waits for them and applies changes meanwhile."""
    base, overlay = tmp_path / "base.json5", tmp_path / "extra.json"
    if not base.exists():
        base.write_text(SMALL_DOCUMENT)
    overlay.write_text(
        json.dumps(
            {
                "node": {"listen": f"127.0.0.1:{port}"},
                "changes": {"socket": str(tmp_path / "s"), "history": str(tmp_path / "h"), **changes},
            }
        )
    )
    environment = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    process = subprocess.Popen(
        [sys.executable, "-m", "nickelslip.server", "serve", "--config", str(base), "--config", str(overlay)],
        env=environment,
        stdout=subprocess.PIPE,
    )
    for line in process.stdout:  # bounded by the start-up time of the server
        if b'"control_socket_listening"' in line:
            break
    return process, base


def test_operators_apply_confirm_and_roll_back_and_the_history_survives_a_kill(tmp_path):
    runner, socket_option = CliRunner(), ["--socket", str(tmp_path / "s")]

    def run_command(*arguments, exit_code=0):
        result = runner.invoke(config_command, [*arguments])
        assert result.exit_code == exit_code, result.output
        return result.output

    overlay, invalid = tmp_path / "more.json5", tmp_path / "bad.json5"
    overlay.write_text("{machine: {cores: 6}, // a comment\n}")
    invalid.write_text("{machine: {cores: 0,\n running_mots: 3}, grades: {payout: {repeat: 'often'}}}")
    port = free_port()
    process, base = start_program(tmp_path, port)
    try:
        assert "in order" in run_command("check", str(base))
        faults = run_command("check", str(base), str(invalid), exit_code=2)
        assert f"{invalid}:1:12: machine.cores" in faults and "running_most" in faults and "payout.repeat" in faults
        assert "machine.cores: 2 -> 6 (taken at once)" in run_command("diff", *socket_option, str(overlay))
        assert "machine.cores: 2 -> 6" in run_command("diff", "--from", str(base), str(overlay))
        assert "is staged" in run_command("stage", *socket_option, str(overlay))
        assert "another change" in run_command("stage", *socket_option, str(overlay), "--force", exit_code=3)
        assert "on probation" in run_command("apply", *socket_option)
        process.send_signal(signal.SIGKILL)  # before it was confirmed
        process.wait()
        process, _ = start_program(tmp_path, port)
        assert json.loads(run_command("status", *socket_option, "--json"))["generation"] == 1
        run_command("apply", *socket_option, str(overlay))
        run_command("confirm", *socket_option)
        process.send_signal(signal.SIGKILL)
        process.wait()
        process, _ = start_program(tmp_path, port)
        status = json.loads(run_command("status", *socket_option, "--json"))
        assert status["generation"] == 3 and status["origin"] == "history, confirmed"
        assert "nothing differs" in run_command("diff", *socket_option, str(overlay))
        assert "nothing differs" in run_command("apply", *socket_option, str(overlay), exit_code=3)
        assert "confirmed" in run_command("history", *socket_option)
        assert "needs a restart" in run_command(
            "apply", *socket_option, str(invalid.write_text("{node: {name: 'x'}}") and invalid), exit_code=3
        )
        assert run_command("status", "--socket", str(tmp_path / "none"), exit_code=5)
        result = json.loads(run_command("rollout", str(invalid), str(tmp_path / "s"), "--json", exit_code=4))
        assert result["course"] == "undone" and result["nodes"][str(tmp_path / "s")]["place"] == "bad"
        # a changed file takes precedence over the history
        base.write_text(SMALL_DOCUMENT.replace("cores: 2", "cores: 3"))
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        process, _ = start_program(tmp_path, port)
        assert json.loads(run_command("status", *socket_option, "--json"))["origin"] == "file"
    finally:
        process.kill()
        process.wait()
