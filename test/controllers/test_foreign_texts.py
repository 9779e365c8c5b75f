"""Values of the store and files that are not UTF-8."""

import random

import pytest
from click.testing import CliRunner
from expression import Ok

from tanagerwalk.controllers.configuration import ConfigurationController
from tanagerwalk.decisions.configuration import ConfigurationState
from tanagerwalk.decisions.leases import DomainLease, LeaseTimes
from tanagerwalk.metrics import Metrics
from tanagerwalk.settings import parse_settings
from tanagerwalk.ui.commands import cli
from tanagerwalk.writes import Entry, NewerRead

GOOD = "[class label]\nlateness = 300 ms\n"
NOT_UTF8 = b"[class label]\nlateness = 300 ms\n; \xff\n"


class Store:
    """Holds one value of the declaration."""

    def __init__(self, value):
        self.value = value

    async def get_newer(self, key, after):
        del after
        return Ok(NewerRead(Entry(key, self.value, 5), 5))


def build_controller(value):
    state = ConfigurationState(30.0)
    settings = parse_settings().ok.configuration
    controller = ConfigurationController(
        Store(value), state, settings, Metrics(), lambda: 0.0, random.Random(1)
    )
    return controller, state


# Guards against one value of the store that ends the task which follows it.
async def test_stored_declaration_that_is_not_utf8_is_refused():
    controller, state = build_controller(NOT_UTF8)
    controller.accept(1, GOOD, -1000.0)
    await controller.poll()
    assert (state.revision, state.refused) == (1, 5)


@pytest.mark.parametrize("value", [b"x", b"[class a]\nlateness = soon\n"])
async def test_stored_declaration_that_does_not_parse_keeps_the_former(value):
    controller, state = build_controller(value)
    controller.accept(1, GOOD, -1000.0)
    await controller.poll()
    assert (state.revision, state.refused) == (1, 5)
    assert state.declaration.classes.keys() == {"label"}


async def test_lease_whose_value_is_not_utf8_has_a_holder():
    lease = DomainLease("a-1", "own.1", LeaseTimes(10.0, 1.0, 1.0))
    lease.record_entry(Entry(lease.key, b"\xff\xfe 7", 5), 0.0, 0)
    assert lease.holder


@pytest.mark.parametrize("command", [["check"], ["serve", "--settings"]])
def test_file_that_is_not_utf8_is_a_problem_in_one_line(tmp_path, command):
    path = tmp_path / "file.ini"
    path.write_bytes(NOT_UTF8)
    result = CliRunner().invoke(cli, [*command, str(path)])
    assert result.exit_code == 1
    assert result.stderr == f"tanagerwalk: {path}: not UTF-8\n"
