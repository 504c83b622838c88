"""The deployments of our own: each loads as the bench and a server would have it, and none has left a word behind."""

import pathlib
import re
import tomllib

import pytest

from nickelslip.admission.controller import AdmissionController
from nickelslip.admission.interface import RetrySafety
from nickelslip.configuration.config import config_from_platform
from nickelslip.configuration.generations import Generation

ROOT = pathlib.Path(__file__).parent.parent
SITES = sorted((ROOT / "deploy" / "sites").glob("*/*.toml"))
EFFECTS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
REPEATS = {"safe": RetrySafety.IDEMPOTENT, "keyed": RetrySafety.IDEMPOTENCY_KEY, "unsafe": RetrySafety.NON_IDEMPOTENT}


def settings(site):
    """What a server of it may be told, in the platform's form, by the lower end of each range."""

    def least(value):
        return value[0] if isinstance(value, list) else value

    family, kind = site["fam"], site["tier"][0]["kind"][0]
    work = [least(each["work_ms"]) for each in site["class"]]
    held_kb = least(family["hold_kb"])
    return {
        "classes": [
            {
                "name": each["name"],
                "gain": each["worth"],
                "aim-ms": each["aim_ms"],
                "deadline-ms": each["deadline_ms"],
                "idempotency": EFFECTS[each["effect"]],
                **({"memory-span-ms": each["window_ms"]} if "window_ms" in each else {}),
            }
            for each in site["class"]
        ],
        "tenants": [{"name": each["name"], "quota-rps": 100 * each["share"]} for each in site["tenant"]],
        "tick-ms": site["day"]["tick_ms"],
        "servers": site["scale"]["servers"][0],
        "invariants": {
            "answer-slack-ms": family["slack_ms"],
            "cold-from": least(kind["cold_from"]),
            "cold-ms": 1000 * least(kind["cold_s"]),
            "fall-multiple": site["rules"]["fall_multiple"],
            "stop-sending-within-ms": site["rules"]["drain_grace_ms"],
        },
        "specifics": {
            "cpus": kind["cores"],
            "run-factor": family["run_factor"],
            "say": "bias",
            "below": "common",
            "memory-kb": least(family["memory_runs"]) * kind["cores"] * held_kb * family["run_factor"],
            "dep-share": kind["cores"] / 2,
            "calls-over-ms": family["shared_fall_ms"],
            "stays-for-ms": 50.0,
            "kb-per-key": held_kb,
            "stop-mode": family["halt"],
            "class-calls": [least(each["calls"]) > 0 for each in family["class"]],
        },
    }, work


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_site_loads_with_all_that_the_bench_wants_beside_it(path):
    assert {each.name for each in path.parent.iterdir()} == {path.name, "real.json", "wire.json", "unlock.txt"}
    site = tomllib.loads(path.read_text())
    assert site["name"] == path.stem == path.parent.name and len(site["fam"]["class"]) == len(site["class"])
    told, work = settings(site)
    config = config_from_platform(
        {
            "name": "n1",
            "listen": "127.0.0.1:1",
            "pool": "127.0.0.1:2",
            "records": "127.0.0.1:3",
            "lookup": "127.0.0.1:4",
            "seed": "1",
            "stop_ms": site["rules"]["drain_grace_ms"] + 700,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": told,
        },
        {},
    )
    grades = config.settings.traffic_classes
    assert [grade.retry_safety for grade in grades] == [REPEATS[each["effect"]] for each in site["class"]]
    assert all(mean < grade.latency_objective_ms < grade.timeout_ms for mean, grade in zip(work, grades, strict=True))
    AdmissionController(Generation(1, config).settings, 1, 0.0).start(0.0)


def test_the_sites_pull_in_opposite_directions():
    short, long = (tomllib.loads(path.read_text()) for path in SITES)
    assert max(each["deadline_ms"] for each in short["class"]) < min(each["aim_ms"] for each in long["class"])
    assert len(short["net"]["zones"]) == 1 < len(long["net"]["zones"])
    credit = {each["effect"]: each["worth"] * each["share"] for each in short["class"]}
    assert credit["keyed"] + credit["unsafe"] > 2 * credit["safe"]
    assert len(long["class"]) > 2 * len(short["class"]) and len(long["tenant"]) > 2 * len(short["tenant"])


def words(site):
    """All that is named in it."""
    yield site["name"]
    yield from site["net"]["zones"]
    kinds = [kind for one in site["tier"] for kind in one["kind"]]
    for each in (*site["class"], *site["tenant"], *site["tier"], *kinds):
        yield each["name"]


def test_no_word_of_any_deployment_stands_in_the_package_or_the_deploy_file():
    named = {word for path in SITES for word in words(tomllib.loads(path.read_text()))}
    found = re.compile(r"\b(" + "|".join(map(re.escape, named)) + r")\b")
    files = [*(ROOT / "nickelslip").rglob("*.py"), ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "serve.py"]
    assert len(named) > 30 and len(files) > 40
    assert not [(file.name, match[0]) for file in files for match in found.finditer(file.read_text())]
