"""The deployments in deploy/sites: each must load, and none of their names may occur in the package."""

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
IDEMPOTENCY_WORDS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
RETRY_SAFETY = {
    "safe": RetrySafety.IDEMPOTENT,
    "keyed": RetrySafety.IDEMPOTENCY_KEY,
    "unsafe": RetrySafety.NON_IDEMPOTENT,
}


def settings_and_work(site):
    """Return a server's settings in the platform's format, and the work of a run by class, in milliseconds.

    Where the deployment gives a range, the lower end is used.
    """

    def lower_end(value):
        return value[0] if isinstance(value, list) else value

    family, kind = site["fam"], site["tier"][0]["kind"][0]
    work = [lower_end(traffic_class["work_ms"]) for traffic_class in site["class"]]
    held_kb = lower_end(family["hold_kb"])
    return {
        "classes": [
            {
                "name": traffic_class["name"],
                "gain": traffic_class["worth"],
                "aim-ms": traffic_class["aim_ms"],
                "deadline-ms": traffic_class["deadline_ms"],
                "idempotency": IDEMPOTENCY_WORDS[traffic_class["effect"]],
                **({"memory-span-ms": traffic_class["window_ms"]} if "window_ms" in traffic_class else {}),
            }
            for traffic_class in site["class"]
        ],
        "tenants": [{"name": tenant["name"], "quota-rps": 100 * tenant["share"]} for tenant in site["tenant"]],
        "tick-ms": site["day"]["tick_ms"],
        "servers": site["scale"]["servers"][0],
        "invariants": {
            "answer-slack-ms": family["slack_ms"],
            "cold-from": lower_end(kind["cold_from"]),
            "cold-ms": 1000 * lower_end(kind["cold_s"]),
            "fall-multiple": site["rules"]["fall_multiple"],
            "stop-sending-within-ms": site["rules"]["drain_grace_ms"],
        },
        "specifics": {
            "cpus": kind["cores"],
            "run-factor": family["run_factor"],
            "say": "bias",
            "below": "common",
            "memory-kb": lower_end(family["memory_runs"]) * kind["cores"] * held_kb * family["run_factor"],
            "dep-share": kind["cores"] / 2,
            "calls-over-ms": family["shared_fall_ms"],
            "stays-for-ms": 50.0,
            "kb-per-key": held_kb,
            "stop-mode": family["halt"],
            "class-calls": [lower_end(traffic_class["calls"]) > 0 for traffic_class in family["class"]],
        },
    }, work


@pytest.mark.parametrize("path", SITES, ids=lambda path: path.stem)
def test_a_deployment_loads_and_has_all_files_that_the_bench_needs(path):
    assert {file.name for file in path.parent.iterdir()} == {path.name, "real.json", "wire.json", "unlock.txt"}
    site = tomllib.loads(path.read_text())
    assert site["name"] == path.stem == path.parent.name and len(site["fam"]["class"]) == len(site["class"])
    settings, work = settings_and_work(site)
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
            "settings": settings,
        },
        {},
    )
    traffic_classes = config.settings.traffic_classes
    assert [traffic_class.retry_safety for traffic_class in traffic_classes] == [
        RETRY_SAFETY[site_class["effect"]] for site_class in site["class"]
    ]
    assert all(
        work_ms < traffic_class.latency_objective_ms < traffic_class.timeout_ms
        for work_ms, traffic_class in zip(work, traffic_classes, strict=True)
    )
    AdmissionController(Generation(1, config).settings, 1, 0.0).start(0.0)


def test_the_deployments_differ_in_timeouts_zones_classes_and_tenants():
    short, long = (tomllib.loads(path.read_text()) for path in SITES)
    assert max(traffic_class["deadline_ms"] for traffic_class in short["class"]) < min(
        traffic_class["aim_ms"] for traffic_class in long["class"]
    )
    assert len(short["net"]["zones"]) == 1 < len(long["net"]["zones"])
    value = {
        traffic_class["effect"]: traffic_class["worth"] * traffic_class["share"] for traffic_class in short["class"]
    }
    assert value["keyed"] + value["unsafe"] > 2 * value["safe"]
    assert len(long["class"]) > 2 * len(short["class"]) and len(long["tenant"]) > 2 * len(short["tenant"])


def names_in(site):
    """Yield the names of a deployment and of its zones, classes, tenants, tiers and kinds of server."""
    yield site["name"]
    yield from site["net"]["zones"]
    kinds = [kind for tier in site["tier"] for kind in tier["kind"]]
    for named in (*site["class"], *site["tenant"], *site["tier"], *kinds):
        yield named["name"]


def test_no_name_from_a_deployment_occurs_in_the_package_or_the_deploy_files():
    names = {name for path in SITES for name in names_in(tomllib.loads(path.read_text()))}
    any_name = re.compile(r"\b(" + "|".join(map(re.escape, names)) + r")\b")
    files = [*(ROOT / "nickelslip").rglob("*.py"), ROOT / "deploy" / "balancer.toml", ROOT / "deploy" / "serve.py"]
    assert len(names) > 30 and len(files) > 40
    assert not [(file.name, match[0]) for file in files for match in any_name.finditer(file.read_text())]
