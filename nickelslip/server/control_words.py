"""The words of the control protocol. Clients depend on them, so they do not change when a name in the code changes."""

from __future__ import annotations

from collections.abc import Mapping

from nickelslip.configuration.canary_verdict import CanaryStatus
from nickelslip.configuration.change_lifecycle import RejectionReason
from nickelslip.configuration.history import HistoryEvent
from nickelslip.server.lifecycle import Phase

PHASE_WORDS: Mapping[Phase, str] = {
    Phase.WAITING: "waiting",
    Phase.SERVING: "serving",
    Phase.DRAINING: "draining",
    Phase.SHUTTING_DOWN: "leaving",
    Phase.FAILED: "failed",
}
CANARY_STATUS_WORDS: Mapping[CanaryStatus, str] = {
    CanaryStatus.INSUFFICIENT_DATA: "too_soon",
    CanaryStatus.SUSPECTED: "doubt",
    CanaryStatus.NO_HARM: "no_harm",
    CanaryStatus.HARM: "harm",
}
EVENT_WORDS: Mapping[HistoryEvent, str] = {
    HistoryEvent.APPLIED: "applied",
    HistoryEvent.CONFIRMED: "confirmed",
    HistoryEvent.ROLLED_BACK: "rolled back",
    HistoryEvent.REJECTED: "refused",
    HistoryEvent.STARTED: "started",
}
REJECTION_CODES: Mapping[RejectionReason, str] = {
    RejectionReason.NO_DIFFERENCE: "nothing",
    RejectionReason.NEEDS_RESTART: "restart",
    RejectionReason.RECENTLY_ROLLED_BACK: "undone",
    RejectionReason.BUSY: "busy",
    RejectionReason.SUPERSEDED: "overtaken",
    RejectionReason.NOT_FOUND: "none",
    RejectionReason.SHUTTING_DOWN: "leaving",
    RejectionReason.INVALID_DOCUMENT: "faulty",
    RejectionReason.CONTROLLER_ERROR: "unproven",
    RejectionReason.HISTORY_UNAVAILABLE: "history",
    RejectionReason.EXPIRED: "late",
}
