"""The group of all commands."""

import click

from .. import __version__
from .apply import apply
from .bills import bills
from .check import check
from .demo import demo
from .serve import serve
from .standin import standin
from .status import status


@click.group()
@click.version_option(__version__)
def cli():
    """Route requests to versions and cascades, as the declaration says."""


for command in (serve, check, apply, status, bills, demo, standin):
    cli.add_command(command)
