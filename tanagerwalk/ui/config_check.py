"""Command `config-check`: check a manifest before it is sent to the platform."""

import asyncio
import sys
from pathlib import Path

import click

from ..decisions.locations import Home
from ..decisions.manifest_check import Severity, check_manifest
from ..decisions.manifest_differences import list_differences
from ..platform.codec import PlatformCodec
from ..platform.manifests import find_repetitions
from ..platform.settings import parse_settings
from ..platform.store import MetadataStore
from .common import fail, read_text

# The revision that the store would give it is not known yet.
NO_REVISION = 0


@click.command("config-check")
@click.argument("manifest")
@click.option("--against", metavar="FILE", help="Manifest in force, to compare with.")
@click.option(
    "--settings",
    "settings_path",
    metavar="FILE",
    help="Settings file of an instance, which names the regions.",
)
@click.option(
    "--servers",
    "reads_servers",
    is_flag=True,
    help="Read the backend servers from the store that the settings name.",
)
def config_check(manifest, against, settings_path, reads_servers):
    """Check a MANIFEST file (JSON) before it is sent.

    The exit status is 1 if there are errors, else 0. Differences are only shown.
    """
    if reads_servers and settings_path is None:
        raise click.UsageError("--servers needs --settings")
    data = _read_bytes(manifest)
    wanted = _parse_manifest(manifest, data)
    settings = None if settings_path is None else _read_settings(settings_path)
    findings = check_manifest(
        wanted,
        home=None if settings is None else _build_home(settings),
        repetitions=find_repetitions(data).ok,
        servers=_read_servers(settings.store.address) if reads_servers else None,
    )
    for finding in findings:
        click.echo(finding)
    if against is not None:
        in_force = _parse_manifest(against, _read_bytes(against))
        for line in list_differences(in_force, wanted):
            click.echo(f"change: {line}")
    sys.exit(any(finding.severity is Severity.ERROR for finding in findings))


def _read_bytes(path):
    try:
        return Path(path).read_bytes()
    except OSError as error:
        return fail(f"{path}: {error.strerror}")


def _parse_manifest(path, data):
    result = PlatformCodec.parse_manifest("", data, NO_REVISION)
    if result.is_error():
        return fail(f"{path}: {result.error}")
    return result.ok


def _read_settings(path):
    result = parse_settings(read_text(path))
    if result.is_error():
        return fail(f"{path}: {result.error}")
    return result.ok


def _build_home(settings):
    return Home(settings.failure_domain, settings.region, settings.regions)


def _read_servers(address):
    """Return the RegisteredServers of the store; entries of others are left out."""
    result = asyncio.run(_list_server_entries(address))
    if result.is_error():
        return fail(f"the store can't be read: {result.error.value}")
    parsed = (
        PlatformCodec.parse_server(entry.key, entry.value, entry.revision)
        for entry in result.ok.entries
    )
    return [server.ok for server in parsed if server.is_ok()]


async def _list_server_entries(address):
    store = MetadataStore(address)
    try:
        return await store.list(PlatformCodec.server_prefix, may_be_old=True)
    finally:
        store.close()
