"""The command that checks a manifest before it is sent."""

from click.testing import CliRunner

from tanagerwalk.standins.gateway_cluster import (
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


def test_file_that_is_no_manifest_is_told_in_one_line(tmp_path):
    for path in (write(tmp_path / "new.json", b"{}"), tmp_path / "missing"):
        result = invoke(path)
        assert result.exit_code == 1
        assert result.output.startswith(f"tanagerwalk: {path}: ")
        assert result.output.count("\n") == 1
