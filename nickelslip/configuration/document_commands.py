"""`nickelslip config check`, `words` and `diff`: commands that change nothing."""

from __future__ import annotations

import os

import click

from nickelslip.configuration.command_options import FILES_ARGUMENT, JSON_OPTION, WHOLE_OPTION
from nickelslip.configuration.command_output import exit_with_faults, fault_line, print_result
from nickelslip.configuration.command_requests import ask_server, read_files
from nickelslip.configuration.json5_reader import parse_document
from nickelslip.configuration.layers import LayeredDocument, apply_layers, values_by_path
from nickelslip.configuration.loading import load_layers, read_file
from nickelslip.configuration.plan import Plan, format_value, plan_of
from nickelslip.configuration.schema import all_fields
from nickelslip.configuration.validation import InvalidDocumentError

NO_DIFFERENCES = ["nothing differs"]


@click.command(help="Check files as they stand, layer over layer, without a server.")
@FILES_ARGUMENT
@click.option("--origins", is_flag=True, help="Print every value with where it comes from.")
@JSON_OPTION
def check(files: tuple[str, ...], origins: bool, as_json: bool) -> None:
    """Check files and print all of their faults."""
    try:
        layered = load_layers(files, os.environ)
    except InvalidDocumentError as error:
        exit_with_faults(error.faults, error.omitted_count, as_json)
    value = {
        "ok": True,
        "warnings": [fault.as_dict() for fault in layered.warnings],
        "document": layered.document,
        "origins": {".".join(path): origin for path, origin in layered.origins.items()},
    }
    print_result(value, as_json, _check_lines(layered, origins))


def _check_lines(layered: LayeredDocument, with_origins: bool) -> list[str]:
    lines = [fault_line(fault) for fault in layered.warnings]
    if with_origins:
        lines += [
            f"{'.'.join(path)} = {format_value(value)}  ({layered.origin_of(path)})"
            for path, value in values_by_path(layered.document).items()
        ]
    settings = layered.config.settings
    lines.append(
        f"{layered.config.name}: {len(settings.traffic_classes)} service grades, {len(settings.tenants)} customers, "
        f"{settings.core_count} cores; in order"
    )
    return lines


@click.command(help="Print every word of the schema, its kind and when a change of it acts.")
@JSON_OPTION
def words(as_json: bool) -> None:
    """Print every field of the schema."""
    rows = [
        {
            "path": path,
            "kind": field.type.value,
            "effect": field.effect.value,
            "says": field.description,
            "choices": list(field.choices),
            "default": repr(field.default),
        }
        for path, field in all_fields()
    ]
    lines = [
        f"{row['path']}: {row['kind']}; {row['says'] or '-'}; {row['effect']}; default {row['default']}" for row in rows
    ]
    print_result({"ok": True, "words": rows}, as_json, lines)


@click.command(help="Print the plan from what a server has in force, or from a first file, to these files.")
@FILES_ARGUMENT
@click.option("--socket", "path", envvar="NICKELSLIP_SOCKET", metavar="PATH", help="Against this server.")
@click.option("--from", "before", type=click.Path(exists=True, dir_okay=False), help="Against this file.")
@WHOLE_OPTION
@JSON_OPTION
def diff(files: tuple[str, ...], path: str | None, before: str | None, whole: bool, as_json: bool) -> None:
    """Print what would change, without changing it."""
    if before is not None:
        plan = _plan_between_files(before, files, whole, as_json)
        lines = [str(difference) for difference in plan.differences] or NO_DIFFERENCES
        print_result({"ok": True, "plan": plan.as_dict()}, as_json, lines)
        return
    if path is None:
        raise click.UsageError("name a server by --socket, or a file by --from")
    reply = ask_server(path, "diff", as_json, document=read_files(files, as_json), whole=whole)
    print_result(reply, as_json, reply["lines"] or NO_DIFFERENCES)


def _plan_between_files(old_file: str, files: tuple[str, ...], whole: bool, as_json: bool) -> Plan:
    try:
        old_layer = parse_document(read_file(old_file), old_file)
        old = apply_layers([old_layer], {})
        layers = [] if whole else [old_layer]
        layers += [parse_document(read_file(file), file) for file in files]
        new = apply_layers(layers, {})
    except InvalidDocumentError as error:
        exit_with_faults(error.faults, error.omitted_count, as_json)
    return plan_of(old.document, new.document)
