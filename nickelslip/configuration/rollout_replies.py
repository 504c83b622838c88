"""What a target's reply to a status check tells a rollout."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MAX_REASON_LENGTH = 200  # characters of a reason given by a target
CONFIRMED_STEP = "confirmed"  # see STATE_WORDS of `change_lifecycle`


@dataclass(frozen=True)
class TargetStatus:
    """The status of a target, as far as it concerns one rollout.

    Attributes:
        has_change: Whether what is in force is based on the change of the rollout; None if the reply does not tell.
        is_confirmed: Whether what is in force is confirmed, and no other change is being observed.
        survives_restart: Whether a restart would bring back what is in force. A target without a history counts as if
            it did; see `keeps_history`.
        keeps_history: Whether the target keeps a history, without which it starts with its files.
        reason: The reason of its latest verdict; empty if there was none.
    """

    has_change: bool | None
    is_confirmed: bool
    survives_restart: bool
    keeps_history: bool
    reason: str


def decode_status(reply: Mapping[str, Any], origin: str) -> TargetStatus:
    """Return what the reply to a status check tells.

    Args:
        reply: The reply.
        origin: The origin of the rollout's change.
    """
    changes = reply.get("changes")
    has_change = None if changes is None else any(change.get("origin") == origin for change in changes)
    current = reply.get("current") or {}
    return TargetStatus(
        has_change=has_change,
        is_confirmed=reply.get("step") == CONFIRMED_STEP and current.get("step") in (None, CONFIRMED_STEP),
        survives_restart=not reply.get("history_behind") and reply.get("confirmed") == reply.get("generation"),
        keeps_history=reply.get("history_kept") is not False,
        reason=reason_of(reply.get("verdict") or {}, "reason", ""),
    )


def reason_of(reply: Mapping[str, Any], key: str, default: str) -> str:
    """Return a text of a reply, cut to its maximum length."""
    return str(reply.get(key, default))[:MAX_REASON_LENGTH]
