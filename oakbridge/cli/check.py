"""``oakbridge check``: reports all mistakes of a configuration at once."""

from __future__ import annotations

from pathlib import Path

import click

from oakbridge.cli.common import InvalidInputError, print_json
from oakbridge.cli.serve import file_options
from oakbridge.config.errors import ConfigFileError
from oakbridge.config.load import load
from oakbridge.config.reference import reference_page
from oakbridge.sources.inspection import inspect_server_files


@click.command("check")
@click.argument("path", metavar="FILE", required=False, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The mistakes as JSON.")
@click.option(
    "--reference", is_flag=True, help="Print the reference of all keys instead, as Markdown."
)
def command(path: Path | None, as_json: bool, reference: bool) -> None:  # noqa: C901
    """Check a configuration, and the server files that it names; exit code 2 if there are mistakes."""
    if reference:
        click.echo(reference_page(), nl=False)
        return
    if path is None:
        raise InvalidInputError("check: expected the configuration's FILE")
    problems, counts = [], ""
    try:
        loaded = load(path)
        options = file_options(loaded)
        counts = f"{len(loaded.file.classes)} classes, {len(loaded.file.tenants)} tenants"
        if options is not None:
            inspection = inspect_server_files(options.path, options.is_directory)
            problems = inspection.problems
            counts += f", {len(inspection.parsed.servers)} servers in {options.path}"
        elif loaded.file.servers.inline:
            counts += f", {len(loaded.file.servers.inline)} servers"
        if loaded.file.peers is not None:
            from oakbridge.config.peers import peers_options

            peers_options(loaded)
        if loaded.file.sites is not None:
            from oakbridge.config.sites import node_sites

            node_sites(loaded)
    except ConfigFileError as error:
        problems = [*problems, *error.problems]
    if as_json:
        print_json({
            "ok": not problems,
            "problems": [
                {
                    "file": problem.file, "line": problem.line,
                    "field": problem.field_name(), "expected": problem.expected,
                }
                for problem in problems
            ],
        })  # fmt: skip
    elif problems:
        raise InvalidInputError("\n".join(map(str, problems)))
    else:
        click.echo(f"{path}: good ({counts})")
    if problems:
        raise click.exceptions.Exit(2)
