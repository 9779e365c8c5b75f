"""The command that checks a manifest before it is sent."""

import asyncio
import json

import pytest
from click.testing import CliRunner

from tanagerwalk.standins.gateway_cluster import (
    API_KEY,
    GatewayCluster,
    build_manifest,
    build_regional_manifest,
)
from tanagerwalk.ui.commands import cli

SETTINGS = """
node_name = "front-1"
ip = "10.1.0.40"
zone = "a-1"
region = "a"
port_range = [7340, 7355]
[zones]
a-1 = "a"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[platform]
address = "10.200.1.7:8223"
"""


def invoke(*arguments):
    return CliRunner().invoke(cli, ["config-check", *map(str, arguments)])


def write(path, data):
    path.write_bytes(data)
    return path


def test_sound_manifest_passes_in_silence(tmp_path):
    result = invoke(write(tmp_path / "new.json", build_manifest()))
    assert (result.exit_code, result.output) == (0, "")


def test_errors_set_the_exit_status_and_differences_do_not(tmp_path):
    settings = write(tmp_path / "settings", SETTINGS.encode())
    old = write(tmp_path / "old.json", build_manifest(1))
    data = build_regional_manifest(2, {"jobs": ["z"]})
    new = write(tmp_path / "new.json", data)
    result = invoke(new, "--against", old)
    change = "change: route jobs changed: allowed_regions [] -> [z]\n"
    assert (result.exit_code, result.output) == (0, change)
    result = invoke(new, "--against", old, "--settings", settings)
    error = "error: region z: no failure domain is in it\n"
    assert (result.exit_code, result.output) == (1, error + change)


SERVICE = json.loads(build_manifest())["services"][1]
ACCOUNTS = [
    {"name": "archive", "api_keys": [API_KEY, "other-key"]},
    {"name": "desk", "api_keys": ["own-key", API_KEY, API_KEY]},
]


@pytest.mark.parametrize(
    ("repeated", "output"),
    [
        (
            {"services": json.loads(build_manifest())["services"] + [SERVICE]},
            "error: service desk: is there more than once, and only the last counts\n",
        ),
        (
            {"tenants": ACCOUNTS},
            "error: account archive: one of its keys counts for account desk\n",
        ),
        ({"tenants": ACCOUNTS[1:] * 2}, ""),
    ],
)
def test_repeated_entries_are_errors(tmp_path, repeated, output):
    result = invoke(write(tmp_path / "new.json", build_manifest(**repeated)))
    assert (result.exit_code, result.output) == (int(bool(output)), output)


async def test_servers_are_read_from_the_store_of_the_settings(tmp_path):
    async with GatewayCluster() as cluster:
        await cluster.store.put("servers/foreign", b"{}")
        await cluster.add_server("desk-0", "desk", domain="b-1")
        await cluster.add_server("draft-0", "drafts", domain="a-1")
        text = SETTINGS.replace("10.200.1.7:8223", cluster.store.address)
        text = text.replace('a-1 = "a"', 'a-1 = "a"\nb-1 = "b"')
        settings = write(tmp_path / "settings", text.encode())
        allowed = {"jobs": ["a"], "bookings": ["b"], "plans": ["a"]}
        new = write(tmp_path / "new.json", build_regional_manifest(1, allowed))
        arguments = (new, "--settings", settings, "--servers")
        result = await asyncio.to_thread(invoke, *arguments)
        warning = "warning: route jobs: no server of service desk is in region a\n"
        assert (result.exit_code, result.output) == (0, warning)
        await cluster.store.stop()
        result = await asyncio.to_thread(invoke, *arguments)
    assert result.exit_code == 1
    assert result.output.startswith("tanagerwalk: the store can't be read: ")


def test_servers_are_not_read_without_settings(tmp_path):
    result = invoke(write(tmp_path / "new.json", build_manifest()), "--servers")
    assert result.exit_code == 2
    assert "--servers needs --settings" in result.output


def test_file_that_is_no_manifest_is_told_in_one_line(tmp_path):
    for path in (write(tmp_path / "new.json", b"{}"), tmp_path / "missing"):
        result = invoke(path)
        assert result.exit_code == 1
        assert result.output.startswith(f"tanagerwalk: {path}: ")
        assert result.output.count("\n") == 1
