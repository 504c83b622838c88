"""The command line: serve, check, config, turns, version.

Owns the arguments. What a sub-command needs is imported when it is asked for. It must never hold anything of a server.
"""

from __future__ import annotations

import signal
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed

import click

import nickelslip


class Program(click.Group):
    """The sub-commands; those that `serve` does not need are imported when they are asked for."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All of them."""
        return sorted([*super().list_commands(ctx), "config", "turns"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """One of them."""
        if name == "config":
            from nickelslip.configuration.commands import config

            return config
        if name == "turns":
            from nickelslip.startup.commands import turns

            return turns
        return super().get_command(ctx, name)


CONFIG = click.option(
    "--config",
    "paths",
    envvar="ROUTER_CONFIG",
    required=True,
    metavar="FILE",
    multiple=True,
    help="The server's configuration, as JSON or JSON5; given again, a layer over the one before. "
    "ROUTER_CONFIG names it, too.",
)


@click.group(
    cls=Program,
    help="Admission and scheduling for the servers behind other people's balancers.",
    epilog="Exit codes: 0 done, 1 failed while serving, 2 a fault in the arguments or the configuration.",
)
def main() -> None:
    """The program."""


@main.command(help="Serve until told to leave by SIGTERM or an interrupt.")
@CONFIG
def serve(paths: tuple[str, ...]) -> None:
    """One server."""
    from nickelslip.server import program

    program.serve(paths)


@main.command(help="Check a configuration, and say what it is.")
@CONFIG
def check(paths: tuple[str, ...]) -> None:
    """A configuration without a server."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
    from nickelslip.server import program

    config = program.loaded(paths)
    settings = config.settings
    click.echo(
        f"{config.name}: {len(settings.traffic_classes)} service grades, {len(settings.tenants)} customers, "
        f"{settings.core_count} cores, {settings.memory_kb:g} kB; in order"
    )


@main.command(help="Print the version.")
def version() -> None:
    """The version."""
    try:
        click.echo(installed("nickelslip"))
    except PackageNotFoundError:
        click.echo(nickelslip.__version__)
