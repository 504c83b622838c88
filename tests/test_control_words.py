"""The words of the control socket, of `--json` output and of the log must stay as they were at commit 91e3a4a."""

import pytest

from nickelslip.configuration.change_lifecycle import STATE_WORDS, TRANSITIONS, ChangeRejectedError, ChangeState
from nickelslip.configuration.change_lifecycle import RejectionReason as Reason
from nickelslip.configuration.plan import EFFECT_WORDS
from nickelslip.configuration.schema_fields import Effect
from nickelslip.server import control_commands as commands
from nickelslip.server.control_words import CANARY_STATUS_WORDS, EVENT_WORDS, PHASE_WORDS, REJECTION_CODES

STATES = {"drafted", "checked", "staged", "applying", "on_probation", "confirmed", "rolled_back", "refused"}
EVENTS = {"applied", "confirmed", "rolled back", "refused", "started"}
PHASES = {"waiting", "serving", "draining", "leaving", "failed"}
CANARY_STATUSES = {"too_soon", "doubt", "no_harm", "harm"}
CODES = {
    "nothing": "nothing differs from what is in force",
    "restart": "some of it needs a restart",
    "undone": "this document was undone not long ago",
    "busy": "another change is staged, being applied or on probation",
    "overtaken": "another generation has come into force since it was staged",
    "none": "there is no such change",
    "leaving": "the server leaves",
    "faulty": "the document is faulty",
    "unproven": "the module does not take it",
    "history": "the history cannot be written",
    "late": "its sender does not wait for it any more",
}
EFFECTS = {
    "at_once": "taken at once",
    "new": "taken by transactions read from now on",
    "links": "needs links to new peers",
    "restart": "needs a restart",
}


@pytest.mark.parametrize(
    ("table", "words"),
    ((STATE_WORDS, STATES), (EVENT_WORDS, EVENTS), (PHASE_WORDS, PHASES), (CANARY_STATUS_WORDS, CANARY_STATUSES)),
)
def test_every_member_has_its_word(table, words):
    assert set(table) == set(type(next(iter(table)))) and set(table.values()) == words
    assert len(table) == len(words)


def test_codes_and_effects_keep_their_words_and_texts():
    assert set(REJECTION_CODES) == set(Reason) and {REJECTION_CODES[reason]: reason.value for reason in Reason} == CODES
    assert set(EFFECT_WORDS) == set(Effect) and {EFFECT_WORDS[effect]: effect.value for effect in Effect} == EFFECTS


def test_every_state_has_transitions_except_the_final_ones():
    assert set(TRANSITIONS) == set(ChangeState)
    final_states = {ChangeState.CONFIRMED, ChangeState.ROLLED_BACK, ChangeState.REJECTED}
    assert {state for state, next_states in TRANSITIONS.items() if not next_states} == final_states


def test_requests_are_decoded_to_commands():
    part = {"machine": {"cores": 3}}
    document_part = commands.DocumentPart(part, False)
    draft_request = commands.DraftRequest(document_part, "control socket", False)
    forced_request = commands.DraftRequest(commands.DocumentPart(part, True), "x" * 200, True)
    for request, command in (
        ({"do": "status"}, commands.StatusCommand()),
        ({"do": "history"}, commands.HistoryCommand()),
        ({"do": "check", "document": part}, commands.CheckCommand(document_part)),
        ({"do": "diff", "document": 5}, commands.CheckCommand(commands.DocumentPart(None, False))),
        ({"do": "stage", "document": part}, commands.StageCommand(draft_request)),
        ({"do": "apply", "document": part, "until_ms": 5.0}, commands.ApplyDocumentCommand(draft_request)),
        (
            {"do": "apply", "document": part, "whole": True, "force": True, "origin": "x" * 300},
            commands.ApplyDocumentCommand(forced_request),
        ),
        ({"do": "apply"}, commands.ApplyStagedCommand(None)),
        ({"do": "apply", "number": 3}, commands.ApplyStagedCommand(3)),
        ({"do": "drop"}, commands.DiscardStagedCommand()),
        ({"do": "confirm"}, commands.ConfirmCommand()),
        ({"do": "rollback"}, commands.RollbackCommand(None, None)),
        ({"do": "rollback", "generation": 2, "from": "roll-out"}, commands.RollbackCommand(2, "roll-out")),
    ):
        assert commands.is_read_only(request) is (request["do"] in ("status", "history"))
        assert commands.decode_command(request, 5.0) == command


def test_requests_that_cannot_be_decoded_are_rejected_with_their_reason():
    for request, reason in (
        ({"do": "apply", "until_ms": 4.9, "number": "x"}, Reason.EXPIRED),
        ({"do": "apply", "number": True}, Reason.NOT_FOUND),
        ({"do": "apply", "number": "3"}, Reason.NOT_FOUND),
        ({"do": "rollback", "generation": 1.0}, Reason.NOT_FOUND),
    ):
        with pytest.raises(ChangeRejectedError) as error_info:
            commands.decode_command(request, 5.0)
        assert error_info.value.reason is reason
    with pytest.raises(ChangeRejectedError, match="no command 'nope'") as error_info:
        commands.is_read_only({"do": "nope"})
    assert error_info.value.reason is Reason.NOT_FOUND
