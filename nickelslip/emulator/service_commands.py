"""The commands that control the fake services, by the names under which they are sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from nickelslip.emulator.shared_services import SharedServices


class UnknownServiceCommandError(ValueError):
    """The command is not in COMMANDS."""


async def run_command(services: SharedServices, command: str, **values: Any) -> Any:
    """Run one of COMMANDS and return its result.

    Raises:
        UnknownServiceCommandError: The command is not in COMMANDS.
    """
    if command not in COMMANDS:
        raise UnknownServiceCommandError(f"unknown command: {command}")
    result = COMMANDS[command](services, **values)
    return await result if asyncio.iscoroutine(result) else result


def _set_link(
    services: SharedServices, server: str, link: str = "", ways: list[str] | None = None, **faults: Any
) -> None:
    services.relays.set_faults(server, link, ways, faults)


COMMANDS: dict[str, Callable[..., Any]] = {
    "pool": SharedServices.start_pool,
    "end_pool": lambda services, server, why: services.end_pool(server, why),
    "came_up": SharedServices.register_later,
    "set_link": _set_link,
    "reset_links": lambda services, server, link="": services.relays.reset(server, link),
    "directory_down": SharedServices.take_directory_down,
    "directory_up": SharedServices.bring_directory_up,
    "directory_loses": lambda services, part: services.lose_reports(part),
    "records_down": SharedServices.take_records_down,
    "records_slow": lambda services, by: services.slow_records(by),
    "move": lambda services, server: services.relays.move(server),
    "ask": lambda services, rate: services.set_request_rate(rate),
    "restart_balancers": lambda services, part=1.0: services.restart_balancers(part),
    "figures": SharedServices.figures,
}
"""Methods by command name; lambdas map values whose keys differ from the names of the arguments."""
