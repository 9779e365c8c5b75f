"""Command `show`: print the declaration in force."""

import click

from .common import fail, read_declaration, settings_option


@click.command()
@settings_option
def show(settings_path):
    """Print the declaration in force, and its revision on standard error."""
    entry = read_declaration(settings_path)
    if entry is None:
        fail("no declaration is in force")
    click.echo(f"revision {entry.revision}", err=True)
    click.echo(entry.value, nl=False)
