"""The measurements of a run, as typed values and as JSON.

docs/capacity/measured.json has this JSON format. A figure that was not measured is missing or None.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field
from typing import Any, TypeAlias

from benchmarks.capacity.fit import MIN_SIZES, Fit, Point, fit

SizedValues: TypeAlias = Mapping[int, float] | Mapping[float, float]

# How a figure was measured. The values appear in the data file and on the page.
IN_PROCESS = "hollow"
REAL = "real"
SIMULATED = "simulated"
FEW_TENANTS = 100  # compared with the plan's number of tenants where two sizes are enough


@dataclass(frozen=True)
class Series:
    """One measured quantity at several sizes of one dimension.

    `source` tells how it was measured: in a real server process, in the benchmark's own process ("hollow"), or in
    simulated time.
    """

    name: str
    dimension: str
    unit: str
    source: str
    points: tuple[Point, ...]

    @property
    def fit(self) -> Fit | None:
        """Return the fitted power law, or None if there are too few sizes or a size or value is not positive."""
        usable = len({point.size for point in self.points}) >= MIN_SIZES
        usable = usable and all(point.size > 0 and point.value > 0 for point in self.points)
        return fit(self.points) if usable else None

    def at(self, size: float) -> float | None:
        """Return the value measured at exactly this size, else the value of the fit, or None without a fit."""
        for point in self.points:
            if point.size == size:
                return point.value
        return self.fit.at(size) if self.fit is not None else None

    def measured_at(self, size: float) -> bool:
        """Whether a value was measured at exactly this size."""
        return any(point.size == size for point in self.points)


@dataclass
class Measured:
    """All measurements of one run."""

    run: dict[str, Any] = field(default_factory=dict)  # settings and environment: seed, quick, versions
    series: dict[str, Series] = field(default_factory=dict)
    figures: dict[str, float | None] = field(default_factory=dict)  # single figures, None where not measured
    notes: dict[str, str] = field(default_factory=dict)  # texts, such as the final status of a roll-out

    def add(self, name: str, dimension: str, unit: str, source: str, points: SizedValues) -> None:
        """Add one series."""
        rounded_points = tuple(Point(size, round(value, 6)) for size, value in points.items())
        self.series[name] = Series(name, dimension, unit, source, rounded_points)

    def at(self, name: str, size: float) -> float | None:
        """Return the value of a series at a size, or None if the series was not measured or has no fit there."""
        series = self.series.get(name)
        return series.at(size) if series is not None else None

    def as_dict(self) -> dict[str, Any]:
        """Return the content of the data file."""
        return asdict(self)


def measured_from(value: Mapping[str, Any]) -> Measured:
    """Return the measurements in the content of a data file."""
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
