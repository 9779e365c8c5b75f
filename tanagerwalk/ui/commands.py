"""Command group that imports each command only when it is called.

An entry instance has little memory, so `serve` must not import the
dependencies of the other commands.
"""

from importlib import import_module

import click

from .. import __version__

COMMANDS = (
    "apply",
    "bills",
    "check",
    "config-check",
    "demo",
    "diff",
    "gateway",
    "report",
    "serve",
    "show",
    "standin",
    "status",
    "why",
)


class CommandGroup(click.Group):
    """Loads each command from the module of the same name."""

    def list_commands(self, ctx):
        """Return the names of all commands."""
        return list(COMMANDS)

    def get_command(self, ctx, cmd_name):
        """Return the command with this name, or None if there is none."""
        if cmd_name not in COMMANDS:
            return None
        module = cmd_name.replace("-", "_")
        return getattr(import_module(f".{module}", __package__), module)


@click.group(cls=CommandGroup)
@click.version_option(__version__)
def cli():
    """Route requests to model versions and cascades, as a declaration specifies."""
