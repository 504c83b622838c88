"""`nickelslip config`: the commands with which operators check, apply, confirm and roll back configurations.

Scripts depend on the names of commands and options, the printed texts and the keys of ``--json``. They must not change.
"""

from __future__ import annotations

import click

from nickelslip.configuration.change_commands import apply, confirm, drop, history, rollback, stage, status
from nickelslip.configuration.command_output import EXIT_CODES_HELP
from nickelslip.configuration.document_commands import check, diff, words
from nickelslip.configuration.rollout_command import rollout


@click.group(help="Check, stage, apply, confirm and undo configurations.", epilog=EXIT_CODES_HELP)
def config() -> None:
    """Group the configuration commands."""


for command in (check, words, diff, stage, apply, confirm, rollback, drop, status, history, rollout):
    config.add_command(command)
