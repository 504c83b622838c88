"""Measures the effect of hundreds of servers that start cold on the services around them.

`python -m benchmarks.cold_start [--quick]` runs three versions with the same seeds and services: this one, revision
494928a, and that revision with the textbook's full-jitter backoff added. Each run has four phases:

1. All servers start at once, with every service cold.
2. A calm phase.
3. A quarter of the load reports is lost.
4. Half of the servers are killed, and start cold while the other half serves.

Figures come from what the services around the servers observed. The last line of the output is one JSON object.
"""

from __future__ import annotations

import json
import math
import statistics
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import uvloop

from benchmarks.cold_start_run import FULL_DURATIONS, QUICK_DURATIONS, PhaseDurations, bound_ms, plan_for, run_version
from benchmarks.cold_sums import measure_combined_load
from benchmarks.start_cost import bootstrap_interval, measure_start_costs
from benchmarks.versions import RevisionNotFoundError, copy_package, unpack_revision

BEFORE_REVISION = "494928a"
VERSIONS = ("this", "before", "jitter")
QUICK_SIZES = [40]
FULL_SIZES = [50, 100, 200, 300]
QUICK_PAIRS = 8
FULL_PAIRS = 30
MAX_LAG_MS = 250.0  # a run with clients further behind their schedule is invalid: the fake services fell behind
MEAN_FIGURES = (
    "directory_peak_over_mean",
    "records_over_survivable_ms",
    "serving_loss",
    "share_rise",
    "share_calm",
)
SUMMED_FIGURES = (
    "records_down",
    "links_tried_per_s_peak",
    "rules_broken",
    "falls_over",
    "left_behind",
    "falsely_unlisted",
    "unlisted_calm",
    "records_most",
)

Figures = dict[str, Any]
Runs = dict[str, list[Figures]]


@dataclass
class Benchmark:
    """The versions to measure, and the figures of their runs.

    Attributes:
        folder: Where runs write their files.
        package_folders: By version, the folder of its package.
        versions: The versions to run, in turn.
        all_figures: The figures of every run.
    """

    folder: Path
    package_folders: dict[str, Path]
    versions: list[str]
    seed: int
    durations: PhaseDurations
    all_figures: list[Figures] = field(default_factory=list)

    def run_size(self, size: int, repeats: int) -> Runs:
        """Run every version at this size, in turn."""
        runs: Runs = {version: [] for version in self.versions}
        for repeat in range(repeats):
            for version in self.versions:
                runs[version].append(self._run_once(version, size, repeat))
        return runs

    def _run_once(self, version: str, size: int, repeat: int) -> Figures:
        folder = self.folder / f"{version}-{size}-{repeat}"
        folder.mkdir()
        seed = self.seed + repeat
        figures = uvloop.run(run_version(version, folder, size, seed, self.durations, self.package_folders[version]))
        self.all_figures.append({"version": version, "size": size, "seed": seed, **figures})
        click.echo(f"{size:4} {version:7} {json.dumps(figures)}")
        return figures


def summarize(runs: Runs, bound: float) -> Figures:
    """Return the figures over all runs. Those of other versions have the version's name as a suffix."""
    summary: Figures = {}
    for version, version_runs in runs.items():
        suffix = "" if version == "this" else f"_{version}"
        for name in MEAN_FIGURES:
            summary[name + suffix] = _rounded(_mean(version_runs, name))
        for name in SUMMED_FIGURES:
            summary[name + suffix] = sum(run[name] for run in version_runs)
        summary["to_95_over_bound" + suffix] = _rounded(_mean(version_runs, "to_95_ms") / bound)
        summary["reports_a_minute" + suffix] = round(_mean(version_runs, "reports_a_minute"), 1)
    if "before" in runs:
        ratio = _mean(runs["this"], "reports_a_minute") / _mean(runs["before"], "reports_a_minute")
        summary["directory_reports_ratio"] = round(ratio, 3)
    summary["bound_ms"] = bound
    summary["callers_lag_ms"] = round(
        max(run["callers_lag_ms"] for version_runs in runs.values() for run in version_runs)
    )
    summary["fell_behind"] = summary["callers_lag_ms"] > MAX_LAG_MS
    return summary


def _mean(runs: list[Figures], name: str) -> float:
    mean: float = statistics.mean(run[name] for run in runs)
    return mean


def _rounded(figure: float) -> float | None:
    return None if math.isinf(figure) else round(figure, 3)


def _start_cost_figures(package_folders: dict[str, Path], quick: bool, seed: int) -> Figures:
    folders = {name: package_folders[name] for name in ("this", "before")}
    costs = uvloop.run(measure_start_costs(folders, QUICK_PAIRS if quick else FULL_PAIRS))
    return {
        "start_cpu_ms": round(costs.median_ms["this"], 1),
        "start_cpu_ms_before": round(costs.median_ms["before"], 1),
        "start_cpu_ms_ratio": round(statistics.median(costs.ratios), 3),
        "start_cpu_ms_ratio_90": bootstrap_interval(costs.ratios, seed),
    }


def _prepare(folder: Path, versions: list[str], seed: int, durations: PhaseDurations) -> Benchmark:
    """Unpack the versions. Without the repository's history only this version is measured."""
    old = folder / "before"
    try:
        unpack_revision(BEFORE_REVISION, old)
    except RevisionNotFoundError as error:
        click.echo(f"measured alone: {error}", err=True)
        versions = ["this"]
    package_folders = {"this": copy_package(folder / "this"), "before": old, "jitter": old}
    return Benchmark(folder, package_folders, versions, seed, durations)


def _parse_sizes(sizes: str, quick: bool) -> list[int]:
    if sizes:
        return [int(size) for size in sizes.split(",")]
    return QUICK_SIZES if quick else FULL_SIZES


@click.command()
@click.option("--quick", is_flag=True, help="40 processes, under 90 s.")
@click.option("--seed", default=1, show_default=True)
@click.option("--sizes", default="", help="Comma-separated numbers of processes; default 40, in full 50,100,200,300.")
@click.option("--versions", default=",".join(VERSIONS), show_default=True)
@click.option("--repeats", default=1, show_default=True)
@click.option(
    "--sums",
    default="20,30",
    show_default=True,
    help="Sizes for what is sent together to something cold, and for restarts; empty: not measured.",
)
@click.option("--out", type=click.Path(path_type=Path), default=None, help="Write every run's figures here, as JSON.")
def main(quick: bool, seed: int, sizes: str, versions: str, repeats: int, sums: str, out: Path | None) -> None:
    """Every version at every size, in turn."""
    durations = QUICK_DURATIONS if quick else FULL_DURATIONS
    sizes_to_run = _parse_sizes(sizes, quick)
    with tempfile.TemporaryDirectory(prefix="cold") as folder:
        benchmark = _prepare(Path(folder), versions.split(","), seed, durations)
        result: Figures = {"benchmark": "cold_start", "seed": seed, "quick": quick}
        for size in sizes_to_run:
            runs = benchmark.run_size(size, repeats)
            figures = summarize(runs, bound_ms(plan_for(size, seed)))
            result |= {"processes": size, **figures} if len(sizes_to_run) == 1 else {f"at_{size}": figures}
        if sums:
            combined_load_sizes = [int(size) for size in sums.split(",")]
            result |= uvloop.run(measure_combined_load(lambda size: plan_for(size, seed), combined_load_sizes, quick))
        if "before" in benchmark.versions:
            result |= _start_cost_figures(benchmark.package_folders, quick, seed)
    if out is not None:
        out.write_text(json.dumps(benchmark.all_figures, indent=1))
    click.echo(json.dumps(result))


if __name__ == "__main__":
    main()
