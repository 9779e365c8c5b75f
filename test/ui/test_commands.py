"""Tests of the commands for operators, run through the command group."""

import asyncio
import importlib
import threading

import pytest
from click.testing import CliRunner

from tanagerwalk.controllers.configuration import DECLARATION_KEY
from tanagerwalk.standins.keyvalue import KeyValueStandIn
from tanagerwalk.ui.commands import COMMANDS, cli
from tanagerwalk.ui.common import read_settings, run_with_store
from tanagerwalk.writes import ABSENT, Write

DECLARATION = """
[class label]
lateness = 300 ms
"""


def invoke(*arguments):
    return CliRunner().invoke(cli, [str(argument) for argument in arguments])


@pytest.fixture
def store():
    """Run the stand-in in a thread, because each command runs its own event loop."""
    loop = asyncio.new_event_loop()
    standin = KeyValueStandIn()
    loop.run_until_complete(standin.start())
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    yield standin
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.run_until_complete(standin.stop())
    loop.close()


@pytest.fixture
def settings(store, tmp_path):
    path = tmp_path / "entry.ini"
    path.write_text(f"[platform]\nkeyvalue = http://{store.address}\ntimeout = 1\n")
    return path


@pytest.fixture
def declaration(tmp_path):
    path = tmp_path / "declaration.ini"
    path.write_text(DECLARATION)
    return path


def test_every_command_has_help():
    for name in COMMANDS:
        result = invoke(name, "--help")
        assert result.exit_code == 0
        assert "Usage" in result.output


def test_check_prints_one_line_for_each_problem(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[class label]\nlateness = soon\ncolour = red\n")
    result = invoke("check", path)
    assert result.exit_code == 1
    assert result.stderr.splitlines() == [
        'tanagerwalk: [class label] lateness = "soon" is not a duration such as'
        ' "300 ms"',
        'tanagerwalk: [class label] has unknown key "colour"',
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[limits]\nqueue = 3\n", 'section [limits] has unknown key "queue"'),
        ("[limit]\nqueue = 3\n", "unknown section [limit]"),
        ("[load]\ninterval = x\n", '[load] interval = "x" is not a number'),
        ("[load]\ninterval = -1\n", "[load] interval = -1 is negative"),
        ("load", "settings are not INI"),
    ],
)
def test_invalid_settings_are_reported(tmp_path, text, message):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    result = invoke("serve", "--settings", path)
    assert result.exit_code == 1
    assert message in result.stderr
    assert "Traceback" not in result.stderr


def test_serve_rejects_default_secrets():
    result = invoke("serve")
    assert result.exit_code == 1
    assert result.stderr.splitlines() == [
        "tanagerwalk: [peers] secret still has its default value; set your own",
        "tanagerwalk: [sessions] secret still has its default value; set your own",
    ]


def test_missing_file_is_reported():
    result = invoke("check", "/nowhere.ini")
    assert result.exit_code == 1
    assert result.stderr == "tanagerwalk: /nowhere.ini: No such file or directory\n"


def test_apply_show_and_diff(settings, declaration):
    assert invoke("diff", "--settings", settings, declaration).exit_code == 1
    applied = invoke("apply", "--settings", settings, declaration)
    assert applied.output == "revision 1\n"
    assert invoke("show", "--settings", settings).stdout == DECLARATION
    assert invoke("diff", "--settings", settings, declaration).exit_code == 0


def test_apply_rejects_a_concurrent_edit(settings, declaration):
    """Two operators edit revision 1; the later apply must not undo the earlier."""
    invoke("apply", "--settings", settings, declaration)
    declaration.write_text(DECLARATION.replace("300", "200"))
    first = invoke("apply", "--settings", settings, "--after", 1, declaration)
    assert first.output == "revision 2\n"
    declaration.write_text(DECLARATION.replace("300", "100"))
    second = invoke("apply", "--settings", settings, "--after", 1, declaration)
    assert second.exit_code == 1
    assert "revision 2 is in force" in second.stderr
    assert "200 ms" in invoke("show", "--settings", settings).stdout


def test_apply_requires_the_revision_in_force(settings, declaration):
    invoke("apply", "--settings", settings, declaration)
    declaration.write_text(DECLARATION.replace("300", "200"))
    result = invoke("apply", "--settings", settings, declaration)
    assert result.exit_code == 1
    assert "apply --after 1" in result.stderr


def test_apply_succeeds_if_only_the_response_is_lost(store, settings, declaration):
    store.lose_answers = 1
    applied = invoke("apply", "--settings", settings, declaration)
    assert applied.output == "revision 1\n"


def test_apply_reports_an_unreachable_store(store, settings, declaration):
    store.outage = True
    applied = invoke("apply", "--settings", settings, declaration)
    assert applied.exit_code == 1
    assert applied.stderr == "tanagerwalk: cannot reach the key-value service\n"


async def fetch_no_metrics(addresses):
    del addresses
    return []


# Guards against a traceback where the store holds what another program wrote.
@pytest.mark.parametrize(
    "value",
    [
        b"[class label]\n; \xff\n",
        b"[class label]\ncost = x\n",
        b"[class label]\nlateness = 1 s\n[class  label]\nlateness = 2 s\n",
        b"[class label]\nlateness = 1 s\ncost = inf\n",
    ],
)
def test_stored_declaration_that_cannot_be_read_can_be_replaced(
    settings, declaration, monkeypatch, tmp_path, value
):
    async def write(client):
        return await client.write(Write(DECLARATION_KEY, value, ABSENT))

    assert run_with_store(read_settings(settings), write).is_ok()
    assert invoke("show", "--settings", settings).stdout_bytes == value
    shown = tmp_path / "shown.ini"
    shown.write_bytes(value)
    assert invoke("check", shown).exit_code == 1
    assert invoke("diff", "--settings", settings, declaration).exit_code == 1
    module = importlib.import_module("tanagerwalk.ui.report")
    monkeypatch.setattr(module, "_fetch_all_metrics", fetch_no_metrics)
    reported = invoke("report", "--settings", settings, "127.0.0.1:1")
    assert reported.exit_code == 1
    assert reported.stderr == "tanagerwalk: the declaration in force is not valid\n"
    applied = invoke("apply", "--settings", settings, "--after", 1, declaration)
    assert applied.output == "revision 2\n"
    assert invoke("show", "--settings", settings).stdout == DECLARATION
