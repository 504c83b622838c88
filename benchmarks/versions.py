"""Earlier versions of the program, to measure beside this one.

They come from this repository's own history. Nothing is fetched: a checkout without its history cannot be measured
against.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tarfile
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = "nickelslip"


class RevisionNotFoundError(Exception):
    """The revision is not in this checkout."""


def unpack_revision(revision: str, folder: Path) -> Path:
    """Unpack the package of a revision into a folder and return that.

    Raises:
        RevisionNotFoundError: The revision is not in this checkout.
    """
    archive = subprocess.run(["git", "archive", revision, PACKAGE], cwd=ROOT, capture_output=True)
    if archive.returncode:
        raise RevisionNotFoundError(f"{revision}: {archive.stderr.decode().strip()}")
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as tar:
        tar.extractall(folder, filter="data")
    _compile(folder)
    return folder


def copy_package(folder: Path) -> Path:
    """Copy the package as it stands here into a folder, compile it as the platform's build does, and return that."""
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    _compile(folder)
    return folder


def _compile(folder: Path) -> None:
    subprocess.run([sys.executable, "-m", "compileall", "-q", PACKAGE], cwd=folder, check=True)
