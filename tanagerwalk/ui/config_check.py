"""Command `config-check`: check a manifest before it is sent to the platform."""

import sys
from pathlib import Path

import click

from ..decisions.locations import Home
from ..decisions.manifest_check import Severity, check_manifest
from ..decisions.manifest_differences import list_differences
from ..platform.codec import PlatformCodec
from ..platform.settings import parse_settings
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
def config_check(manifest, against, settings_path):
    """Check a MANIFEST file (JSON) before it is sent.

    The exit status is 1 if there are errors, else 0. Differences are only shown.
    """
    wanted = _read_manifest(manifest)
    home = None if settings_path is None else _read_home(settings_path)
    findings = check_manifest(wanted, home)
    for finding in findings:
        click.echo(finding)
    if against is not None:
        for line in list_differences(_read_manifest(against), wanted):
            click.echo(f"change: {line}")
    sys.exit(any(finding.severity is Severity.ERROR for finding in findings))


def _read_manifest(path):
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        return fail(f"{path}: {error.strerror}")
    result = PlatformCodec.parse_manifest("", data, NO_REVISION)
    if result.is_error():
        return fail(f"{path}: {result.error}")
    return result.ok


def _read_home(path):
    result = parse_settings(read_text(path))
    if result.is_error():
        return fail(f"{path}: {result.error}")
    settings = result.ok
    return Home(settings.failure_domain, settings.region, settings.regions)
