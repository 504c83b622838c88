"""Changes of configuration in a running server: requests in progress, crashes at each step, misbehaving peers."""

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
from nickelslip.configuration.rollout import Rollout, RolloutPolicy, RolloutStatus, TargetState
from nickelslip.configuration.rollout_runner import run_rollout
from nickelslip.configuration.start_selection import select_start
from nickelslip.configuration.store import HistoryStore
from nickelslip.configuration.validation import InvalidDocumentError
from nickelslip.server import control_socket
from nickelslip.server.decision_executor import DecisionExecutor
from nickelslip.server.lifecycle import Phase
from tests.support.request_ids import A, B, C
from tests.support.server_rig import ServerRig, free_port
from tests.support.waiting import wait_until
from tests.test_configuration import OURS, fill, ours

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
def witness(monkeypatch):
    """A witness of every event of every request."""
    for part, name in ((AdmissionController, "_adopt"), (DecisionExecutor, "decide")):
        monkeypatch.setattr(part, name, getattr(part, name))  # put back at the end
    seen = GenerationWatch()
    install(seen)
    return seen


async def send_command(path, do, wait_ms=3000.0, **fields):
    """One command as another process would send it."""
    return await anyio.to_thread.run_sync(
        partial(anyio.run, partial(control_client.ask_once, path, do, wait_ms, **fields))
    )


# What is in hand


async def test_requests_in_every_state_end_under_the_generation_they_were_read_under(witness):
    async with ServerRig(change_rules=RULES, cpus=1) as rig:
        client = await (await rig.up()).caller()
        await rig.calling(client, A, "pay")  # at a call
        await rig.running(client, B, "book", opkey="k1")
        await client.ask(C, "book", opkey="k1", resent=1)  # coalesced with its original
        held = "00000000000000d4"
        await client.ask(held, "pay")
        await wait_until(lambda: len(rig.node.requests) == 4)
        states = {one.state for one in rig.node.requests.values()}
        assert {RequestState.CALL_IN_FLIGHT, RequestState.RUNNING, RequestState.COALESCED} <= states
        reply = await rig.push(CHANGED_DOCUMENT)
        assert reply["change"]["step"] == "on_probation" and rig.node.generation.number == 2
        assert "book" not in rig.node.generation.retry_safety_by_class  # gone, yet what was read of it goes on
        await rig.records.reply(A, "DONE", b"reply")
        await wait_until(lambda: rig.pool.told("supply", A))
        await rig.pool.finish(A)
        await rig.pool.finish(B, body=b"booked")
        await wait_until(lambda: rig.pool.told("spawn", held))
        await rig.pool.finish(held)
        ends = dict([(await client.answer())[:2] for _ in range(4)])
        assert ends == {1: "done", 2: "done", 3: "done", 4: "done"}
        assert len(rig.pool.told("spawn", A)) == 1 and not rig.pool.told("spawn", C)
        await client.ask("00000000000000e5", "book", opkey="k2")
        assert (await client.answer())[:2] == (5, "error")
        assert not witness.mixed_requests and witness.events_across_generations >= 4 and len(witness.first_seen) == 4


async def test_the_witness_catches_a_request_that_is_moved_to_another_generation(witness):
    async with ServerRig(change_rules=RULES) as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, A, "pay")
        await rig.push(CHANGED_DOCUMENT)
        control = rig.node.decision_executor.controller
        control._requests.by_id[int(A, 16)].statistics = control._classes["pay"]  # as one would by looking it up anew
        await rig.pool.finish(A)
        await client.answer()
        assert witness.mixed_requests == {int(A, 16)}


async def test_the_controller_keeps_its_measurements_and_advertised_weight_over_a_change():
    async with ServerRig(change_rules=RULES) as rig:
        client = await (await rig.up()).caller()
        await rig.running(client, A, "pay")
        await rig.pool.finish(A)
        await client.answer()
        control = rig.node.decision_executor.controller
        control._weight.weight, mean = 0.5, control._classes["pay"].run_ms
        await rig.push(CHANGED_DOCUMENT)
        assert control._classes["pay"].run_ms is mean and mean._sample_count == 1 and control._weight.weight <= 0.6
        statistics = control._classes["pay"]
        assert statistics.latency_objective_ms == 400.0 and isinstance(statistics, ClassStatistics)
        assert control._concurrency._max_concurrency == 2


# Courses of changes


async def test_ten_changes_in_a_row_are_applied_one_after_the_other():
    async with ServerRig(change_rules=RULES) as rig:
        await rig.up()
        for at in range(10):
            await rig.push({"machine": {"cores": 3 + at}})
            with pytest.raises(ChangeRejectedError) as caught:
                await rig.push({"machine": {"cores": 50}})
            assert caught.value.reason is RejectionReason.BUSY
            await rig.configuration_manager.command({"do": "confirm"})
        assert rig.node.generation.number == 11 and rig.node.generation.settings.core_count == 12
        reply = await rig.configuration_manager.command({"do": "rollback", "generation": 9})
        assert rig.node.generation.settings.core_count == 10 and reply["change"]["step"] == "on_probation"


async def test_concurrent_changes_are_never_merged_and_one_during_a_rollback_waits(tmp_path, monkeypatch):
    rules = replace(RULES, history=str(tmp_path))
    async with ServerRig(change_rules=rules) as rig:
        await rig.up()
        ends, slow = [], HistoryStore.append

        def slowly(self, record):  # the disk takes its time
            time.sleep(0.05)
            slow(self, record)

        monkeypatch.setattr(HistoryStore, "append", slowly)

        async def ask(**request):
            with suppress(ChangeRejectedError):
                await rig.configuration_manager.command(request)
                ends.append(request)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: ask(do="apply", document={"machine": {"cores": 3}}))
            tasks.start_soon(lambda: ask(do="apply", document={"callers": {"idle_ms": 7.0}}))
        assert len(ends) == 1
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: ask(do="rollback"))
            tasks.start_soon(lambda: ask(do="apply", document={"machine": {"cores": 5}}))
        assert (
            rig.node.generation.settings.core_count == 5
            and rig.node.generation.settings.idle_connection_timeout_ms == 15000.0
        )
        assert [each.event.value for each in rig.configuration_manager.changes.records] == [
            "started",
            "applied",
            "rolled back",
            "applied",
        ]


async def test_changes_while_the_worker_pool_is_down_while_links_move_and_while_draining():
    async with ServerRig(change_rules=RULES) as rig:
        rig.pool.up.set()
        await wait_until(lambda: rig.node.phase is Phase.SERVING)
        client = await rig.caller()
        await rig.pool.down()
        await wait_until(lambda: not rig.node.worker_pool.is_up)
        await rig.push({"machine": {"cores": 7}})
        await anyio.sleep(1.8)  # longer than any probation: what nobody could see is not confirmed
        assert rig.configuration_manager.changes.current is not None
        await rig.move()  # SIGHUP with other addresses, amid a probation
        await wait_until(lambda: rig.node.worker_pool.is_up)
        assert rig.node.generation.settings.core_count == 7
        await rig.running(client, A, "pay")
        await rig.configuration_manager.command({"do": "rollback"})
        assert rig.node.generation.settings.core_count == 2
        assert rig.node.generation.config.pool[1] == rig.pool.port and rig.node.worker_pool.is_up
        await rig.pool.finish(A)
        assert (await client.answer())[:2] == (1, "done")
        rig.node.begin_shutdown()
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 9}})
        assert caught.value.reason is RejectionReason.SHUTTING_DOWN


async def test_a_harmful_change_is_rolled_back_and_a_harmless_one_confirmed():
    async with ServerRig(change_rules=replace(RULES, max_canary_period_ms=6000.0)) as rig:
        await rig.up()
        chance, begin = random.Random(3), rig.node.clock() - 14_500
        objectives_ms = {"payout": 100.0, "balance": 100.0}
        rig.configuration_manager.observation.request_metrics = rig.node.request_metrics = RequestMetrics(
            16_000.0, objectives_ms
        )
        fill(rig.configuration_manager.observation.request_metrics, chance, begin, rig.node.clock(), lambda pair: 0.97)
        await rig.push({"machine": {"cores": 6}})
        number = rig.node.generation.number
        meter = rig.configuration_manager.observation.request_metrics

        async def go_on(kept, over):
            at = rig.node.clock()
            with anyio.fail_after(8):
                while not over():
                    await anyio.sleep(0.26)
                    upto = rig.node.clock() - 1
                    fill(meter, chance, at, upto, kept)
                    at = (upto // 250) * 250

        meter.set_latency_objectives(objectives_ms)
        await go_on(lambda pair: 0.97, lambda: rig.configuration_manager.changes.current is None)
        assert rig.node.generation.number == number  # confirmed
        await rig.push({"machine": {"cores": 1}})
        meter.set_latency_objectives(objectives_ms)
        await go_on(lambda pair: 0.1, lambda: rig.configuration_manager.changes.current is None)
        assert rig.node.generation.settings.core_count == 6
        last = rig.configuration_manager.changes.records[-1]
        assert last.event is history.HistoryEvent.ROLLED_BACK and "quoted time" in last.reason
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 1}})
        assert caught.value.reason is RejectionReason.RECENTLY_ROLLED_BACK


async def test_sighup_moves_peers_at_once_and_applies_the_rest_as_a_change():
    async with ServerRig(change_rules=RULES) as rig:
        await rig.up()
        await rig.push({"machine": {"cores": 5}})
        await rig.configuration_manager.command({"do": "confirm"})
        rig.node.reload_handler.reload()  # the file says what it said: the change stays
        await anyio.sleep(0.1)
        assert rig.node.generation.settings.core_count == 5
        rig.config["pool"] = "nowhere"
        rig.node.reload_handler.reload()
        await anyio.sleep(0.1)
        assert rig.node.generation.settings.core_count == 5
        rig.config.update(pool=f"127.0.0.1:{rig.pool.port}", stop_ms=800)
        rig.node.reload_handler.reload()
        await wait_until(lambda: rig.node.generation.config.stop_ms == 800)
        assert rig.configuration_manager.changes.current is not None and rig.node.generation.settings.core_count == 2


# Files


async def test_a_file_replaced_or_written_while_it_is_read_is_never_applied_in_part(tmp_path, monkeypatch):
    file = tmp_path / "c.json5"
    file.write_text(OURS)
    real, writes = os.fstat, []

    def fstat(descriptor):
        if len(writes) < 2:
            writes.append(file.write_text(OURS + " " * (len(writes) + 1)))
        return real(descriptor)

    monkeypatch.setattr(loading.os, "fstat", fstat)
    assert loading.read_file(str(file)) == (OURS + "  ").encode()
    monkeypatch.setattr(
        loading.os,
        "fstat",
        lambda descriptor: (writes.append(1), file.write_text(OURS + " " * len(writes)), real(descriptor))[-1],
    )
    with pytest.raises(InvalidDocumentError, match="being written"):
        loading.read_file(str(file))
    monkeypatch.undo()
    with (tmp_path / "big").open("wb") as big:
        big.truncate(60 << 20)
    begun = time.monotonic()
    with pytest.raises(InvalidDocumentError, match="over"):
        loading.read_file(str(tmp_path / "big"))
    assert time.monotonic() - begun < 0.5


CALLS = ("open", "ftruncate", "pwrite", "fsync", "write", "replace", "truncate")


class Killed(BaseException):
    """The process ends here."""


def test_killed_at_any_step_of_writing_the_last_confirmed_document_is_in_force(tmp_path, monkeypatch):
    """Every call to the system in turn is the last one; of a write, any part may have reached the disk."""
    document, real = ours().document, {name: getattr(os, name) for name in CALLS}
    made = 0
    for step in range(200):
        folder = tmp_path / str(step)
        begun = HistoryStore(str(folder), 6.0)  # so small that it is written anew on the way
        confirmed, count, done = 0, 0, False
        first = select_start([], document, 0.0)
        begun.append(first.record)
        confirmed = first.number

        def dies(name, step=step):
            def call(*values):
                nonlocal count
                count += 1
                if count > step:
                    if name in ("pwrite", "write"):
                        part = len(values[1]) * (step % 7) // 7
                        real[name](values[0], values[1][:part], *values[2:])
                    raise Killed
                return real[name](*values)

            return call

        with monkeypatch.context() as patch:
            for name in CALLS:
                patch.setattr(store.os, name, dies(name))
            with suppress(Killed):
                for number in range(2, 7):
                    for event in (history.HistoryEvent.APPLIED, history.HistoryEvent.CONFIRMED):
                        begun.append(
                            history.HistoryRecord(
                                2 * number + (event is history.HistoryEvent.CONFIRMED),
                                event,
                                number,
                                "d",
                                "test",
                                0.0,
                                "",
                                document,
                                first.record.file_digest,
                            )
                        )
                    confirmed = number
                done = True
        begun.close()
        reopened = HistoryStore(str(folder), 6.0)
        kept = history.last_confirmed(reopened.records)
        # the record that was being written may be whole already, or not be there; nothing in between
        assert kept is not None and kept.generation in (confirmed, confirmed + 1), (step, confirmed)
        assert select_start(reopened.records, document, 1.0).document == json.loads(json.dumps(document))
        reopened.append(history.HistoryRecord(999, history.HistoryEvent.REJECTED, 9, "d", "test", 0.0))
        reopened.close()
        made = max(made, count)
        if done:
            break
    assert done and made > 20


async def test_an_unwritable_history_rejects_a_change_and_keeps_the_order_of_records(tmp_path):
    async with ServerRig(change_rules=replace(RULES, history=str(tmp_path))) as rig:
        await rig.up()
        real = rig.configuration_manager.history.store.append

        def full(record):
            raise OSError(errno.ENOSPC, "no space")

        rig.configuration_manager.history.store.append = full
        with pytest.raises(ChangeRejectedError) as caught:
            await rig.push({"machine": {"cores": 3}})
        assert (
            caught.value.reason is RejectionReason.HISTORY_UNAVAILABLE and rig.node.generation.settings.core_count == 2
        )
        rig.configuration_manager.history.store.append = real
        await rig.push({"machine": {"cores": 4}})
        rig.configuration_manager.history.store.append = full
        await rig.configuration_manager.command({"do": "confirm"})
        assert (await rig.configuration_manager.command({"do": "status"}))["history_behind"] >= 1
        rig.configuration_manager.history.store.append = real
        await wait_until(lambda: not rig.configuration_manager.history.unwritten)
        assert (
            history.last_confirmed(rig.configuration_manager.history.store.records).generation
            == rig.node.generation.number
        )
        with pytest.raises(OSError):  # one server at a time
            HistoryStore(str(tmp_path), 64.0)
        rig.configuration_manager.history.store.close()


# The control socket


class ShiftedTime:
    """The time module as the control socket sees it, with a monotonic clock that a test moves forward."""

    def __init__(self) -> None:
        self.ahead_s = 0.0

    def monotonic(self) -> float:
        return time.monotonic() + self.ahead_s


async def test_a_control_message_in_pieces_from_an_idle_peer_is_answered(tmp_path, monkeypatch):
    shifted, pieces = ShiftedTime(), []

    class Watched(FrameDecoder):
        def feed(self, data):
            pieces.append(data)
            return super().feed(data)

    monkeypatch.setattr(control_socket, "time", shifted)
    monkeypatch.setattr(control_socket, "FrameDecoder", Watched)
    path = str(tmp_path / "control")
    async with ServerRig(change_rules=replace(RULES, socket=path)) as rig:
        await rig.up()
        await wait_until(lambda: os.path.exists(path))
        message = encode_frame({"protocol": 1, "id": 1, "do": "status"})
        async with await anyio.connect_unix(path) as stream:
            frames, replies = FrameDecoder(), []
            with anyio.fail_after(2):
                while not replies:  # the greeting
                    replies += frames.feed(await stream.receive())
                shifted.ahead_s += control_socket.MESSAGE_TIMEOUT_S + 1.0
                for at in range(len(message)):
                    await stream.send(message[at : at + 1])
                    await wait_until(lambda at=at: len(pieces) == at + 1)  # each is read before the next one is sent
                while len(replies) < 2:
                    replies += frames.feed(await stream.receive())
        assert replies[1]["ok"]


async def test_partial_malformed_and_too_many_control_messages_block_nobody(tmp_path, monkeypatch):
    monkeypatch.setattr(control_socket, "MESSAGE_TIMEOUT_S", 0.3)
    path = str(tmp_path / "control")
    async with ServerRig(change_rules=replace(RULES, socket=path)) as rig:
        await rig.up()
        await wait_until(lambda: os.path.exists(path) and os.stat(path).st_mode & 0o777 == 0o600)
        half = await anyio.connect_unix(path)  # of which one message begins and never ends
        await half.send(encode_frame({"protocol": 1, "id": 1, "do": "status"})[:9])
        for junk in (
            struct.pack(">I", 1 << 30),
            b"GET / HTTP/1.0\r\n\r\n",
            struct.pack(">I", 3) + b"[1]",
            struct.pack(">I", 4) + b"{{{{",
            b"",
        ):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(junk)
                if junk:
                    with anyio.fail_after(2), suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                        while True:
                            await stream.receive()
        reply = await send_command(path, "status")
        assert reply["ok"] and reply["generation"] == 1
        assert (await send_command(path, "apply", document={"machine": {"cores": "x"}}))["code"] == "faulty"
        assert (await send_command(path, "sing"))["code"] == "none"
        assert (await send_command(path, "apply", document={"machine": {"cores": 9}}, until_ms=1))["code"] == "late"
        async with await anyio.connect_unix(path) as stream:
            frames, replies = FrameDecoder(), []
            await stream.send(encode_frame({"protocol": 99, "id": 5, "do": "status"}) + encode_frame({"do": 4}))
            with anyio.fail_after(2):
                while len(replies) < 3:
                    replies += frames.feed(await stream.receive())
            assert replies[0]["protocol"] == [1, 1] and [each["code"] for each in replies[1:]] == ["improper"] * 2
        with anyio.fail_after(2), suppress(anyio.BrokenResourceError), pytest.raises(anyio.EndOfStream):
            while True:
                await half.receive()  # its first words, and then its end
        crowd = [await anyio.connect_unix(path) for _ in range(control_socket.MAX_CONNECTIONS)]
        for each in crowd:
            await each.receive()
        with pytest.raises(control_client.ServerUnreachableError):
            await send_command(path, "status", 500.0)
        for each in crowd:
            await each.aclose()
        await wait_until(lambda: not rig.node.background_tasks[-1].__self__.open_connection_count)
        assert (await send_command(path, "status"))["ok"]
        with pytest.raises(OSError, match="another server"):
            control_socket.remove_stale_socket(path)


# The whole program


async def test_a_roll_out_rolls_back_by_its_own_mark_what_it_applied_and_nothing_else():
    """The shell over nodes that are here: the second wave meets one that undoes, and one that never answers."""
    origins, commands = {}, []

    async def ask(node, do, wait_ms, **fields):
        commands.append((node, do))
        if node == "n2":
            await anyio.sleep(0.05)
            raise control_client.ServerUnreachableError("no answer in time")
        if do == "apply":
            assert fields["until_ms"] > time.time() * 1000
            origins[node] = fields["origin"]
            return {"ok": True, "change": {"step": "on_probation", "digest": f"d-{node}"}}
        if do == "rollback":
            good = origins.get(node) == fields["from"]
            return {"ok": good, "code": "overtaken"}
        undone = node == "n1" and commands.count((node, "status")) > 1
        return {
            "ok": True,
            "digest": "d0" if undone else f"d-{node}",
            "current": None,
            "step": "on_probation" if node == "n1" and not undone else "confirmed",
            "verdict": {"reason": "grade payout"},
        }

    terms = RolloutPolicy(
        wave_fractions=(0.0, 1.0),
        status_check_interval_ms=50.0,
        unreachable_after_ms=400.0,
        reply_timeout_ms=50.0,
        rollback_timeout_ms=600.0,
    )
    plan = Rollout(["n0", "n1", "n2", "n3"], terms, 0.0)
    with anyio.fail_after(8):
        await run_rollout(plan, terms, {"machine": {"cores": 3}}, "f.json5", lambda line: None, ask)
    places = {name: state for name, (state, _) in plan.target_states().items()}
    assert plan.status is RolloutStatus.ROLLBACK_FAILED and places == {
        "n0": TargetState.ROLLED_BACK,
        "n1": TargetState.FAILED,
        "n2": TargetState.ROLLBACK_FAILED,
        "n3": TargetState.ROLLED_BACK,
    }
    assert ("n1", "rollback") not in commands and len({*origins.values()}) == 1


def start_program(tmp_path, port, **changes):
    """Start the program without its peers: it waits for them, and applies changes meanwhile."""
    base, extra = tmp_path / "base.json5", tmp_path / "extra.json"
    if not base.exists():
        base.write_text(OURS)
    extra.write_text(
        json.dumps(
            {
                "node": {"listen": f"127.0.0.1:{port}"},
                "changes": {"socket": str(tmp_path / "s"), "history": str(tmp_path / "h"), **changes},
            }
        )
    )
    environment = {name: value for name, value in os.environ.items() if not name.startswith("ROUTER_")}
    process = subprocess.Popen(
        [sys.executable, "-m", "nickelslip.server", "serve", "--config", str(base), "--config", str(extra)],
        env=environment,
        stdout=subprocess.PIPE,
    )
    for line in process.stdout:  # bounded by the server's own start
        if b'"control_socket_listening"' in line:
            break
    return process, base


def test_operators_apply_confirm_and_roll_back_and_the_history_survives_a_kill(tmp_path):
    run, path = CliRunner(), ["--socket", str(tmp_path / "s")]

    def ask(*words, code=0):
        result = run.invoke(config_command, [*words])
        assert result.exit_code == code, result.output
        return result.output

    overlay, bad = tmp_path / "more.json5", tmp_path / "bad.json5"
    overlay.write_text("{machine: {cores: 6}, // as measured on Friday\n}")
    bad.write_text("{machine: {cores: 0,\n running_mots: 3}, grades: {payout: {repeat: 'often'}}}")
    port = free_port()
    process, base = start_program(tmp_path, port)
    try:
        assert "in order" in ask("check", str(base))
        faults = ask("check", str(base), str(bad), code=2)
        assert f"{bad}:1:12: machine.cores" in faults and "running_most" in faults and "payout.repeat" in faults
        assert "machine.cores: 2 -> 6 (taken at once)" in ask("diff", *path, str(overlay))
        assert "machine.cores: 2 -> 6" in ask("diff", "--from", str(base), str(overlay))
        assert "is staged" in ask("stage", *path, str(overlay))
        assert "another change" in ask("stage", *path, str(overlay), "--force", code=3)
        assert "on probation" in ask("apply", *path)
        process.send_signal(signal.SIGKILL)  # before it was confirmed
        process.wait()
        process, _ = start_program(tmp_path, port)
        assert json.loads(ask("status", *path, "--json"))["generation"] == 1
        ask("apply", *path, str(overlay))
        ask("confirm", *path)
        process.send_signal(signal.SIGKILL)
        process.wait()
        process, _ = start_program(tmp_path, port)
        status = json.loads(ask("status", *path, "--json"))
        assert status["generation"] == 3 and status["origin"] == "history, confirmed"
        assert "nothing differs" in ask("diff", *path, str(overlay))
        assert "nothing differs" in ask("apply", *path, str(overlay), code=3)
        assert "confirmed" in ask("history", *path)
        assert "needs a restart" in ask("apply", *path, str(bad.write_text("{node: {name: 'x'}}") and bad), code=3)
        assert ask("status", "--socket", str(tmp_path / "none"), code=5)
        rolled = json.loads(ask("rollout", str(bad), str(tmp_path / "s"), "--json", code=4))
        assert rolled["course"] == "undone" and rolled["nodes"][str(tmp_path / "s")]["place"] == "bad"
        base.write_text(OURS.replace("cores: 2", "cores: 3"))  # another file is a later word
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
        process, _ = start_program(tmp_path, port)
        assert json.loads(ask("status", *path, "--json"))["origin"] == "file"
    finally:
        process.kill()
        process.wait()
