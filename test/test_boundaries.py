"""Import and naming rules: platform names are confined to the platform adapter."""

import re
from pathlib import Path

import tanagerwalk

PACKAGE = Path(tanagerwalk.__file__).parent
NAMES = re.compile(r"x-tanagerwalk-|/api/kv-|op/config|op/rollout|_ms\b.*wire", re.I)
ADAPTER_FOLDERS = ("platform", "standins")


def list_modules():
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.relative_to(PACKAGE).parts[0] not in ADAPTER_FOLDERS:
            yield path


def test_only_the_adapter_and_the_standins_use_platform_names():
    found = [path for path in list_modules() if NAMES.search(path.read_text())]
    assert found == []


def test_the_adapter_is_imported_by_two_commands():
    uses = [
        path.relative_to(PACKAGE).as_posix()
        for path in list_modules()
        if re.search(r"from \.+platform[ .]", path.read_text())
    ]
    assert uses == ["ui/config_check.py", "ui/gateway.py"]


def test_gateway_loads_no_heavy_library():
    """Guards the small memory limit of an instance against large imports."""
    heavy = re.compile(r"^(import|from) (sanic|aiohttp)\b", re.M)
    folders = ("gateway", "platform", "decisions")
    for folder in folders:
        for path in (PACKAGE / folder).glob("*.py"):
            assert not heavy.search(path.read_text()), path
