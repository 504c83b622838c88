"""Prepares this version of the package and earlier ones for comparison.

Earlier versions come from the repository's local history. Nothing is fetched, so a checkout without its history has no
version to compare with.
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
    """Unpack the package of a revision into a folder, compile it, and return the folder.

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
    """Copy the current package into a folder, compile it as the platform's build does, and return the folder."""
    shutil.copytree(ROOT / "deploy", folder / "deploy")
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=shutil.ignore_patterns("__pycache__"))
    _compile(folder)
    return folder


def _compile(folder: Path) -> None:
    subprocess.run([sys.executable, "-m", "compileall", "-q", PACKAGE], cwd=folder, check=True)
