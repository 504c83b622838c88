"""What a rollout or `config apply --wait` reports is what each server has in force, then and after a restart."""

from dataclasses import replace

import pytest

from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import ChangeRejectedError, ChangeState
from nickelslip.configuration.change_manager import ChangeManager
from nickelslip.configuration.generations import Generation
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
