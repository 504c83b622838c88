"""Measures how a server's costs grow with size, and compares them with the users' plan.

`python -m benchmarks.capacity [--quick] [--seed N] [--out FILE]` measures. The last line of
the output is one JSON object.
`python -m benchmarks.capacity --page` makes docs/CAPACITY.md from docs/capacity/measured.json without
measuring.
"""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
import uvloop

from benchmarks.capacity.documents import ROOT
from benchmarks.capacity.page import render_page
from benchmarks.capacity.results import measured_from
from benchmarks.capacity.run import FULL, QUICK, Run
from benchmarks.capacity.summary import summary_of

DATA = ROOT / "docs" / "capacity" / "measured.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
TEMPLATE = Path(__file__).with_name("page.md")


def page_text() -> str:
    """Return the page made from the data file and the template."""
    return render_page(measured_from(json.loads(DATA.read_text())), TEMPLATE.read_text())


@click.command()
@click.option("--quick", is_flag=True, help="Fewer sizes and shorter spans: under 120 s.")
@click.option("--seed", default=7, show_default=True)
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), help="Write what was measured to this file.")
@click.option("--page", "make_page", is_flag=True, help="Measure nothing; make docs/CAPACITY.md from the data file.")
def main(quick: bool, seed: int, out: Path | None, make_page: bool) -> None:
    """Measure, or make the page."""
    if make_page:
        PAGE.write_text(page_text())
        return
    run = Run(QUICK if quick else FULL, seed, lambda line: click.echo(line, file=sys.stderr))
    measured = uvloop.run(run.measure_all(quick))
    if out is not None:
        out.write_text(json.dumps(measured.as_dict(), indent=1) + "\n")
    click.echo(json.dumps(summary_of(measured)))


if __name__ == "__main__":
    main()
