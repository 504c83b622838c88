"""The event loop that the tests of the server run on."""

from __future__ import annotations

import pytest


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, bool]]:
    """Run on uvloop, as the program does."""
    return "asyncio", {"use_uvloop": True}
