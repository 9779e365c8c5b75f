"""Command `diff`: compare a declaration file with the one in force."""

import difflib
import sys

import click

from .common import read_declaration, read_text, settings_option


@click.command()
@settings_option
@click.argument("declaration")
def diff(settings_path, declaration):
    """Show what applying a DECLARATION file would change.

    The exit status is 1 if there are differences, as with diff(1).
    """
    wanted = read_text(declaration)
    entry = read_declaration(settings_path)
    current = entry.value.decode("utf-8", "replace") if entry else ""
    title = f"revision {entry.revision}" if entry else "no declaration in force"
    lines = list(
        difflib.unified_diff(
            current.splitlines(), wanted.splitlines(), title, declaration, lineterm=""
        )
    )
    for line in lines:
        click.echo(line)
    sys.exit(1 if lines else 0)
