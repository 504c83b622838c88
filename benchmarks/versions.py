"""Earlier versions of the program, to measure beside this one.

Owns the unpacking of a revision of this repository's own history into a folder. It must never fetch
anything: a checkout without its history cannot be measured against.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).parent.parent


class NoHistory(Exception):
    """The revision is not in this checkout."""


def unpacked(revision: str, folder: Path) -> Path:
    """The package of this revision, in this folder."""
    told = subprocess.run(["git", "archive", revision, "nickelslip"], cwd=ROOT, capture_output=True)
    if told.returncode:
        raise NoHistory(f"{revision}: {told.stderr.decode().strip()}")
    with tarfile.open(fileobj=BytesIO(told.stdout)) as tar:
        tar.extractall(folder, filter="data")
    subprocess.run([sys.executable, "-m", "compileall", "-q", "nickelslip"], cwd=folder, check=True)
    return folder


def copied(folder: Path) -> Path:
    """The package as it stands here, in this folder, compiled as the platform's build does."""
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    shutil.copytree(ROOT / "nickelslip", folder / "nickelslip", ignore=shutil.ignore_patterns("__pycache__"))
    subprocess.run([sys.executable, "-m", "compileall", "-q", "nickelslip"], cwd=folder, check=True)
    return folder
