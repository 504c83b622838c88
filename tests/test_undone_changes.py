"""What a rollout or `config apply --wait` reports is what each server has in force, then and after a restart."""

import json
from dataclasses import replace

import pytest

from nickelslip.configuration import change_commands
from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import ChangeRejectedError, ChangeState
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.document_conversion import config_from
from nickelslip.configuration.generations import Generation, digest_of
from nickelslip.configuration.history import compact
from nickelslip.configuration.rollout import Rollout
from nickelslip.configuration.rollout_states import Action, RolloutPolicy, RolloutStatus, TargetState
from nickelslip.configuration.start_selection import select_start
from tests.support.server_rig import ServerRig
from tests.support.waiting import wait_until
from tests.test_configuration import draft_change, layered_document
from tests.test_configuration_manager import RULES

pytestmark = pytest.mark.anyio
ORIGIN = "roll-out 1"
HARM = CanaryVerdict(CanaryStatus.HARM, "harm")
PUSHED = {"machine": {"cores": 3}}


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


async def command(rig: ServerRig, do: str, **fields):
    return await rig.configuration_manager.command({"do": do, **fields})


async def move_peers(rig: ServerRig, count: int) -> None:
    for _ in range(count):
        generation = rig.server.generation
        await rig.move_services()
        await wait_until(lambda generation=generation: rig.server.generation is not generation)


@pytest.mark.parametrize(
    ("moves_before", "moves_in_canary_period", "moves_after"),
    ((0, 0, 1), (0, 1, 0), (0, 0, 9), (1, 0, 0), (2, 2, 2)),
)
async def test_a_rollout_undoes_its_change_on_a_server_whose_peers_moved(
    moves_before, moves_in_canary_period, moves_after
):
    """Guards against a change that stays in force because peers moved (review case 8)."""
    async with ServerRig(change_rules=RULES) as rig:
        await rig.wait_until_serving()
        await move_peers(rig, moves_before)
        await command(rig, "apply", document=PUSHED, origin=ORIGIN)
        await move_peers(rig, moves_in_canary_period)
        await command(rig, "confirm")
        await move_peers(rig, moves_after)
        assert rig.server.generation.settings.core_count == 3
        await command(rig, "rollback", **{"from": ORIGIN})
        assert rig.server.generation.settings.core_count == 2
        assert rig.server.generation.config.pool == ("127.0.0.1", rig.pool.port)


@pytest.mark.parametrize("moves_after", (0, 1))
async def test_a_rollout_undoes_its_change_on_a_server_that_was_restarted(moves_after, tmp_path):
    """Guards against a change that stays in force because its server was killed and restarted (review case 8)."""
    rules = replace(RULES, history=str(tmp_path))
    async with ServerRig(change_rules=rules) as rig:
        await rig.wait_until_serving()
        await command(rig, "apply", document=PUSHED, origin=ORIGIN)
        await command(rig, "confirm")
        await move_peers(rig, moves_after)
        rig.configuration_manager.history.store.close()
        config = rig.read()
        restarted = ServerRig(change_rules=rules)
        restarted.read = lambda: config  # the same file; its worker pool is not reached
        async with restarted:
            assert restarted.server.generation.settings.core_count == 3
            status = await command(restarted, "status")
            assert [change["origin"] for change in status["changes"]][-1] == ORIGIN
            await command(restarted, "rollback", **{"from": ORIGIN})
            assert restarted.server.generation.settings.core_count == 2


async def test_a_way_back_is_not_undone_and_survives_a_kill_while_it_is_observed(tmp_path):
    """Guards against a harmful change that comes back when its server is slow after the rollback (review case 10)."""
    async with ServerRig(change_rules=replace(RULES, history=str(tmp_path))) as rig:
        await rig.wait_until_serving()
        await command(rig, "apply", document=PUSHED, origin=ORIGIN)
        await command(rig, "confirm")
        reply = await command(rig, "rollback", **{"from": ORIGIN})
        assert reply["change"]["step"] == "on_probation"
        changes = rig.configuration_manager.changes
        restart = select_start([*rig.configuration_manager.history.store.records], changes.in_force.document, 0.0)
        assert restart.document["machine"]["cores"] == 2
        rig.configuration_manager.observation.evaluate = lambda now_ms: HARM
        await wait_until(lambda: changes.current is None)
        assert rig.server.generation.settings.core_count == 2
        restart = select_start([*rig.configuration_manager.history.store.records], changes.in_force.document, 0.0)
        assert restart.document["machine"]["cores"] == 2
        with pytest.raises(ChangeRejectedError, match="not in force"):
            await command(rig, "rollback", **{"from": ORIGIN})
        with pytest.raises(ChangeRejectedError, match="no earlier generation"):
            await command(rig, "rollback")  # by an operator who does not know that it has gone back
        records = [*rig.configuration_manager.history.store.records]
        generation = rig.server.generation
        restarted = ChangeManager(generation, changes.in_force.document, records, changes.records.file_digest)
        with pytest.raises(ChangeRejectedError, match="no earlier generation"):
            restarted.earlier_snapshot()
        assert rig.server.generation.settings.core_count == 2


async def test_a_document_rolled_back_after_peers_moved_is_rejected_when_it_is_pushed_again():
    """Guards against taking a harmful document for another one because its digest contains the peers."""
    async with ServerRig(change_rules=RULES) as rig:
        await rig.wait_until_serving()
        await command(rig, "apply", document=PUSHED, origin=ORIGIN)
        await move_peers(rig, 1)
        await command(rig, "rollback")
        with pytest.raises(ChangeRejectedError, match="undone not long ago"):
            await command(rig, "apply", document=PUSHED, origin=ORIGIN)


async def test_a_change_made_on_top_of_another_is_not_undone_in_its_place():
    """Guards against undoing a change of an operator in place of that of a rollout."""
    async with ServerRig(change_rules=RULES) as rig:
        await rig.wait_until_serving()
        for document, origin in ((PUSHED, ORIGIN), ({"callers": {"idle_ms": 7.0}}, "operator")):
            await command(rig, "apply", document=document, origin=origin)
            await command(rig, "confirm")
        with pytest.raises(ChangeRejectedError, match="based on"):
            await command(rig, "rollback", **{"from": ORIGIN})
        assert rig.server.generation.settings.idle_connection_timeout_ms == 7.0
        status = await command(rig, "status")
        assert [change["origin"] for change in status["changes"]][-2:] == [ORIGIN, "operator"]


def test_the_generation_before_a_change_survives_moved_peers_a_compaction_and_a_restart():
    """Guards against a history that keeps only documents of the same settings with other peers."""
    file_document = layered_document().document
    start = select_start([], file_document, 0.0)
    changes = ChangeManager(
        Generation(1, layered_document().config), file_document, [start.record], digest_of(file_document)
    )
    changes.stage(1.0, draft_change(changes, 1.0, "{machine: {cores: 3}}"))
    changes.begin_applying(1.0)
    changes.mark_applied(1.0)
    changes.confirm(2.0, "good")
    for port in range(1, 80):
        in_force = changes.in_force
        document = {**in_force.document, "peers": {**in_force.document["peers"], "pool": f"127.0.0.1:{port}"}}
        config = replace(in_force.generation.config, pool=("127.0.0.1", port))
        changes.replace_peer_addresses(3.0, config, document, "SIGHUP")
    assert changes.snapshot_before("test").document["machine"]["cores"] == 2
    records = compact([*changes.records.latest])
    restart = select_start(records, file_document, 4.0)
    restarted = ChangeManager(
        Generation(restart.number, config_from(restart.document)), restart.document, records, digest_of(file_document)
    )
    assert restarted.in_force.document["machine"]["cores"] == 3
    assert restarted.snapshot_before("test").document["machine"]["cores"] == 2


def test_an_observed_way_back_is_confirmed_even_if_harm_is_found():
    changes = ChangeManager(Generation(1, layered_document().config), layered_document().document, [], "")
    change = draft_change(changes, 1.0, "{machine: {cores: 3}}")
    change.is_return = True
    changes.stage(1.0, change)
    changes.begin_applying(1.0)
    assert changes.mark_applied(1.0) is not None and changes.is_returning
    assert changes.next_state(2.0, HARM) is ChangeState.CONFIRMED
    with pytest.raises(ChangeRejectedError):
        changes.roll_back(2.0, "harm")


# Reports


class Target:
    """A simulated target of a rollout."""

    def __init__(self, **status: object) -> None:
        self.has_change = False
        self.can_roll_back = True
        self.had_document = False
        self.status = status

    def reply(self, action: Action) -> dict[str, object]:
        if action is Action.APPLY:
            if self.had_document:
                return {"ok": False, "code": "nothing"}
            self.has_change = True
            return {"ok": True, "change": {"step": "on_probation"}}
        if action is Action.ROLL_BACK:
            self.has_change = self.has_change and not self.can_roll_back
            return {"ok": True}
        changes = [{"origin": ORIGIN}] if self.has_change else []
        return {"ok": True, "step": "confirmed", "changes": changes, "verdict": None, **self.status}


def run_to_the_end(targets: dict[str, Target], on_step=lambda now_ms: None) -> Rollout:
    rollout, now_ms = Rollout([*targets], RolloutPolicy(wave_fractions=(0.0,)), 0.0), 0.0
    while not rollout.is_finished and now_ms < 600_000:
        for instruction in rollout.advance(now_ms):
            reply = targets[instruction.target].reply(instruction.action)
            rollout.record_reply(now_ms, instruction.target, instruction.action, reply, ORIGIN)
        now_ms += 100.0
        on_step(now_ms)
    return rollout


def failing_target() -> Target:
    return Target(changes=[], verdict={"reason": "harm"})


def test_a_rollout_does_not_claim_that_a_target_rolled_back_which_does_not_tell_so():
    """Guards against the report that no node has a change which one of them still has (review cases 8 and 10)."""
    silent = Target(changes=None)  # as a server of an earlier version replies
    still_changed = Target()
    still_changed.can_roll_back = False
    back_after_restart = Target()
    for target in (still_changed, back_after_restart):
        rollout = run_to_the_end({"n1": target, "n2": failing_target()}, lambda now_ms: None)
        assert rollout.target_states()["n2"].state is TargetState.FAILED
        expected = TargetState.ROLLED_BACK if target is back_after_restart else TargetState.ROLLBACK_FAILED
        assert rollout.target_states()["n1"].state is expected
    rollout = run_to_the_end({"n1": silent, "n2": Target()})
    assert rollout.status is RolloutStatus.ROLLBACK_FAILED
    assert "does not tell" in rollout.target_states()["n1"].reason


@pytest.mark.parametrize("status", ({"history_behind": 2}, {"generation": 3, "confirmed": 2}))
def test_a_change_that_a_restart_would_lose_or_bring_back_is_not_reported_as_decided(status):
    """Guards against reports that no longer hold after a kill and a restart."""
    rollout = run_to_the_end({"n1": Target(**status), "n2": Target()})
    assert rollout.status is RolloutStatus.ROLLBACK_FAILED
    assert "restart" in rollout.target_states()["n1"].reason


def test_a_target_that_lost_the_change_after_its_wave_fails_the_rollout():
    targets = {"n1": Target(), "n2": Target()}

    def lose(now_ms: float) -> None:
        if targets["n2"].has_change:
            targets["n1"].has_change = False

    rollout = run_to_the_end(targets, lose)
    assert rollout.status is RolloutStatus.ROLLED_BACK and not targets["n2"].has_change
    assert rollout.target_states()["n1"].state is TargetState.FAILED


def test_a_target_that_had_the_document_before_keeps_it_and_is_reported_so():
    had = Target()
    had.had_document = True
    rollout = run_to_the_end({"n1": had, "n2": failing_target()})
    assert rollout.status is RolloutStatus.ROLLED_BACK
    assert rollout.target_states()["n1"].state is TargetState.CONFIRMED
    assert "already" in rollout.target_states()["n1"].reason


CHANGE = {"number": 1, "generation": 2, "applied_ms": 5.0, "origin": "x", "digest": "d1"}


def wait_for_confirmation(monkeypatch, *statuses: dict[str, object]) -> None:
    replies = iter(statuses)
    monkeypatch.setattr(change_commands, "ask_server", lambda path, do, as_json: next(replies))
    monkeypatch.setattr(change_commands, "POLL_INTERVAL_S", 0.0)
    change_commands._wait_for_confirmation("path", CHANGE, 60_000.0, as_json=True)


def status_reply(step: str, is_in_force: bool = True, **fields: object) -> dict[str, object]:
    references = [{"generation": 2, "since_ms": 5.0, "origin": "x"}] if is_in_force else []
    return {"ok": True, "step": step, "changes": references, "history_behind": 0, "history_kept": True, **fields}


def test_waiting_for_a_change_continues_when_peers_move_in_its_canary_period(monkeypatch, capsys):
    """Guards against reporting a change as undone that stays in force, as its digest contains the peers."""
    moved = {"digest": "d2", "verdict": None}
    wait_for_confirmation(
        monkeypatch,
        status_reply("on_probation", **moved),
        status_reply("confirmed", history_behind=1, **moved),
        status_reply("confirmed", **moved),
    )
    assert json.loads(capsys.readouterr().out)["history_behind"] == 0
    with pytest.raises(SystemExit) as error_info:
        wait_for_confirmation(monkeypatch, status_reply("confirmed", is_in_force=False, digest="d1", verdict=None))
    assert error_info.value.code == 4
