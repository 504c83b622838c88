"""What a run measured, as typed values and as JSON.

The JSON is the form of docs/capacity/measured.json. A figure that was not measured is missing or None.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, TypeAlias

from benchmarks.capacity.fit import MIN_SIZES, Fit, Point, fit

SizedValues: TypeAlias = Mapping[int, float] | Mapping[float, float]

# How a figure was had; the words stand in the data file and on the page.
IN_PROCESS = "hollow"
REAL = "real"
SIMULATED = "simulated"
FEW_TENANTS = 100  # beside the plan's, where two sizes are enough


@dataclass(frozen=True)
class Series:
    """One measured quantity at several sizes of one dimension.

    `source` says how it was had: in a real process, in the benchmark's own process ("hollow"), or in simulated time.
    """

    name: str
    dimension: str
    unit: str
    source: str
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit | None:
        """The power law, or None where there is none to be fitted (too few sizes, or a value of 0 or less)."""
        usable = len({point.size for point in self.points}) >= MIN_SIZES
        usable = usable and all(point.size > 0 and point.value > 0 for point in self.points)
        return fit(self.points) if usable else None

    def at(self, size: float) -> float | None:
        """What was measured at exactly this size, else what the fit gives there."""
        for point in self.points:
            if point.size == size:
                return point.value
        return self.fit.at(size) if self.fit is not None else None

    def measured_at(self, size: float) -> bool:
        """Whether this very size was run."""
        return any(point.size == size for point in self.points)


@dataclass
class Measured:
    """All that one run brought."""

    run: dict[str, Any] = field(default_factory=dict)  # how it was run: seed, quick, versions
    series: dict[str, Series] = field(default_factory=dict)
    figures: dict[str, float | None] = field(default_factory=dict)  # single figures, None where not measured
    notes: dict[str, str] = field(default_factory=dict)  # words, such as the end of a roll-out

    def add(self, name: str, dimension: str, unit: str, source: str, points: SizedValues) -> None:
        """Keep one series."""
        kept = tuple(Point(size, round(value, 6)) for size, value in points.items())
        self.series[name] = Series(name, dimension, unit, source, kept)

    def at(self, name: str, size: float) -> float | None:
        """The value of a series at a size, or None where the series was not measured."""
        series = self.series.get(name)
        return series.at(size) if series is not None else None

    def as_dict(self) -> dict[str, Any]:
        """For the data file."""
        return asdict(self)


def measured_from(value: Mapping[str, Any]) -> Measured:
    """What a data file holds."""
    series = {
        name: Series(
            stored["name"],
            stored["dimension"],
            stored["unit"],
            stored["source"],
            tuple(Point(point["size"], point["value"]) for point in stored["points"]),
        )
        for name, stored in value["series"].items()
    }
    return Measured(dict(value["run"]), series, dict(value["figures"]), dict(value["notes"]))
