"""Command `standin`: run a stand-in for an external system, for tests."""

import asyncio

import click

from ..logs import configure_logs
from ..standins.engine import EngineStandIn
from ..standins.keyvalue import KeyValueStandIn
from ..standins.platform import PlatformStandIn
from ..standins.server import run_standin
from ..standins.service import ServiceStandIn

STANDIN_CLASSES = {
    "engine": EngineStandIn,
    "keyvalue": KeyValueStandIn,
    "platform": PlatformStandIn,
    "service": ServiceStandIn,
}


@click.command()
@click.argument("kind", type=click.Choice(sorted(STANDIN_CLASSES)))
@click.option(
    "--version",
    "versions",
    multiple=True,
    help="Version that an engine starts with; may be repeated.",
)
def standin(kind, versions):
    """Run the stand-in KIND on a free port; the log shows its address."""
    configure_logs()
    server = EngineStandIn(versions) if kind == "engine" else STANDIN_CLASSES[kind]()
    asyncio.run(run_standin(server))
