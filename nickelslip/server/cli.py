"""The command line: serve, check, config, turns, version.

Each sub-command imports its dependencies only when it is called.
"""

from __future__ import annotations

import signal
from importlib.metadata import PackageNotFoundError
from importlib.metadata import version as installed_version

import click

import nickelslip


class LazyGroup(click.Group):
    """A command group that imports the sub-commands `config` and `turns` on demand."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all sub-commands."""
        return sorted([*super().list_commands(ctx), "config", "turns"])

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """Return the sub-command of this name, or None if there is none."""
        if name == "config":
            from nickelslip.configuration.commands import config

            return config
        if name == "turns":
            from nickelslip.startup.commands import turns

            return turns
        return super().get_command(ctx, name)


CONFIG_OPTION = click.option(
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
    cls=LazyGroup,
    help="Admission and scheduling for the servers behind other people's balancers.",
    epilog="Exit codes: 0 done, 1 failed while serving, 2 a fault in the arguments or the configuration.",
)
def main() -> None:
    """Run the command line."""


@main.command(help="Serve until told to leave by SIGTERM or an interrupt.")
@CONFIG_OPTION
def serve(paths: tuple[str, ...]) -> None:
    """Run a server with the configuration in these files."""
    from nickelslip.server import program

    program.serve(paths)


@main.command(help="Check a configuration, and say what it is.")
@CONFIG_OPTION
def check(paths: tuple[str, ...]) -> None:
    """Check the configuration in these files and print a summary."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGTERM})
    from nickelslip.server import program

    config = program.load_or_exit(paths)
    settings = config.settings
    click.echo(
        f"{config.name}: {len(settings.traffic_classes)} service grades, {len(settings.tenants)} customers, "
        f"{settings.core_count} cores, {settings.memory_kb:g} kB; in order"
    )


@main.command(help="Print the version.")
def version() -> None:
    """Print the version of the installed package, or that of the source tree if the package is not installed."""
    try:
        click.echo(installed_version("nickelslip"))
    except PackageNotFoundError:
        click.echo(nickelslip.__version__)
