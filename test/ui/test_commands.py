"""Tests of the commands for operators, run through the command group."""

import asyncio
import threading

import pytest
from click.testing import CliRunner

from tanagerwalk.standins.keyvalue import KeyValueStandIn
from tanagerwalk.ui.commands import COMMANDS, cli

DECLARATION = """
[class label]
lateness = 300 ms
"""


def run(*arguments):
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
        result = run(name, "--help")
        assert result.exit_code == 0
        assert "Usage" in result.output


def test_check_names_each_problem_in_one_line(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[class label]\nlateness = soon\ncolour = red\n")
    result = run("check", path)
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
def test_bad_settings_end_with_a_plain_line(tmp_path, text, message):
    path = tmp_path / "entry.ini"
    path.write_text(text)
    result = run("serve", "--settings", path)
    assert result.exit_code == 1
    assert message in result.stderr
    assert "Traceback" not in result.stderr


def test_shipped_secrets_are_refused():
    result = run("serve")
    assert result.exit_code == 1
    assert result.stderr.splitlines() == [
        "tanagerwalk: [peers] secret still has its default value; set your own",
        "tanagerwalk: [sessions] secret still has its default value; set your own",
    ]


def test_missing_file_ends_with_a_plain_line():
    result = run("check", "/nowhere.ini")
    assert result.exit_code == 1
    assert result.stderr == "tanagerwalk: /nowhere.ini: No such file or directory\n"


def test_apply_show_and_diff(settings, declaration):
    assert run("diff", "--settings", settings, declaration).exit_code == 1
    applied = run("apply", "--settings", settings, declaration)
    assert applied.output == "revision 1\n"
    assert run("show", "--settings", settings).stdout == DECLARATION
    assert run("diff", "--settings", settings, declaration).exit_code == 0


def test_second_operator_is_told_of_the_first(settings, declaration):
    """Two operators edit revision 1; the later apply must not undo the earlier."""
    run("apply", "--settings", settings, declaration)
    declaration.write_text(DECLARATION.replace("300", "200"))
    first = run("apply", "--settings", settings, "--after", 1, declaration)
    assert first.output == "revision 2\n"
    declaration.write_text(DECLARATION.replace("300", "100"))
    second = run("apply", "--settings", settings, "--after", 1, declaration)
    assert second.exit_code == 1
    assert "revision 2 is in force" in second.stderr
    assert "200 ms" in run("show", "--settings", settings).stdout


def test_apply_over_a_declaration_that_was_not_seen_is_refused(settings, declaration):
    run("apply", "--settings", settings, declaration)
    declaration.write_text(DECLARATION.replace("300", "200"))
    result = run("apply", "--settings", settings, declaration)
    assert result.exit_code == 1
    assert "apply --after 1" in result.stderr


def test_apply_whose_answer_is_lost_is_found_in_force(store, settings, declaration):
    store.lose_answers = 1
    applied = run("apply", "--settings", settings, declaration)
    assert applied.output == "revision 1\n"


def test_apply_without_the_store_ends_with_a_plain_line(store, settings, declaration):
    store.outage = True
    applied = run("apply", "--settings", settings, declaration)
    assert applied.exit_code == 1
    assert applied.stderr == "tanagerwalk: cannot reach the key-value service\n"
