"""The checks of a configuration change: whether it may be drafted, and what a verdict on it leads to."""

from __future__ import annotations

from nickelslip.configuration.canary_verdict import CanaryStatus, CanaryVerdict
from nickelslip.configuration.change_lifecycle import (
    ChangeRejectedError,
    ChangeState,
    ConfigurationChange,
    RejectionReason,
)
from nickelslip.configuration.config import ChangeRules

MAX_DIFFERENCES_IN_MESSAGE = 5
MS_PER_S = 1000


def draft_error(change: ConfigurationChange, rejected_for_ms: float) -> ChangeRejectedError | None:
    """Return the error with which a drafted change is rejected, or None if it is valid.

    Args:
        change: The change.
        rejected_for_ms: How much longer its document is rejected after it was rolled back; 0 or less if it is not.
    """
    if change.plan.is_empty:
        return ChangeRejectedError(RejectionReason.NO_DIFFERENCE)
    if change.plan.needing_restart:
        shown_differences = change.plan.needing_restart[:MAX_DIFFERENCES_IN_MESSAGE]
        return ChangeRejectedError(RejectionReason.NEEDS_RESTART, "; ".join(map(str, shown_differences)))
    if rejected_for_ms > 0 and not change.forced:
        detail = f"refused for {rejected_for_ms / MS_PER_S:.0f} s more unless forced"
        return ChangeRejectedError(RejectionReason.RECENTLY_ROLLED_BACK, detail)
    return None


def state_after_verdict(
    verdict: CanaryVerdict, elapsed_ms: float, rules: ChangeRules, is_return: bool = False
) -> ChangeState | None:
    """Return the state to which a verdict moves a change in its canary period, or None if it stays there.

    After the maximum canary period, a change is confirmed unless harm was found or is suspected, even if the data is
    insufficient to call it harmless.

    Args:
        verdict: The verdict.
        elapsed_ms: The time since the canary period began.
        rules: The change rules in force.
        is_return: Whether the change goes back to a confirmed generation, and is confirmed even if harm is found.
    """
    if verdict.status is CanaryStatus.HARM:
        return ChangeState.CONFIRMED if is_return else ChangeState.ROLLED_BACK
    if elapsed_ms >= rules.max_canary_period_ms and verdict.status is not CanaryStatus.SUSPECTED:
        return ChangeState.CONFIRMED
    if elapsed_ms >= rules.canary_period_ms and verdict.status is CanaryStatus.NO_HARM:
        return ChangeState.CONFIRMED
    return None
