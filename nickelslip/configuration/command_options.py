"""The options and arguments that several commands of `nickelslip config` share."""

from __future__ import annotations

import click

SOCKET_OPTION = click.option(
    "--socket",
    "path",
    envvar="NICKELSLIP_SOCKET",
    required=True,
    metavar="PATH",
    help="The server's control socket. NICKELSLIP_SOCKET names it, too.",
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
FORCE_OPTION = click.option("--force", is_flag=True, help="Take a document that was undone not long ago.")
WHOLE_OPTION = click.option(
    "--whole", is_flag=True, help="The files are the whole document; else they are laid over the one in force."
)
FILES_ARGUMENT = click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False))
