"""The result of one evaluation of a change in its canary period."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class CanaryStatus(Enum):
    """The status of a change in its canary period."""

    INSUFFICIENT_DATA = "not enough data for a decision"
    SUSPECTED = "one evaluation has found harm; the next one confirms or dismisses it"
    NO_HARM = "no statistically significant harm"
    HARM = "requests perform worse than before the change"


@dataclass(frozen=True)
class CanaryVerdict:
    """The result of one evaluation.

    Attributes:
        status: The status of the change.
        reason: The finding as text. For harm, it starts with the kind of harm and a colon.
        figures: The figures behind the finding, under the keys that clients read.
    """

    status: CanaryStatus
    reason: str
    figures: dict[str, float] = field(default_factory=dict)
