"""Command `check`: validate a declaration without applying it."""

import click

from ..declarations import parse_declaration
from .common import fail, read_text


@click.command()
@click.argument("declaration")
def check(declaration):
    """Validate a DECLARATION file."""
    result = parse_declaration(read_text(declaration))
    if result.is_error():
        fail(*result.error)
    parsed = result.ok
    click.echo(
        f"{len(parsed.classes)} classes, {len(parsed.client_accounts)} accounts,"
        f" {len(parsed.versions)} versions"
    )
