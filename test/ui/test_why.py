"""Tests of the `why` command on log files recorded from real runs."""

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from tanagerwalk.ui.why import why

GOLDEN_FOLDER = Path(__file__).parent.parent / "golden" / "why"
CASES = sorted(path.stem for path in GOLDEN_FOLDER.glob("*.log"))


def read_case(name):
    text = (GOLDEN_FOLDER / f"{name}.log").read_text()
    last = text.splitlines()[-1]
    return text, json.loads(last[last.index("{") :])["id"]


def test_golden_cases_cover_each_kind():
    assert CASES == ["cut", "late", "refused", "unreachable"]


@pytest.mark.parametrize("name", CASES)
def test_output_matches_the_golden_file(name):
    text, request_id = read_case(name)
    result = CliRunner().invoke(why, [request_id], input=text)
    assert result.exit_code == 0
    assert result.output == (GOLDEN_FOLDER / f"{name}.txt").read_text()


def test_unknown_request_is_reported():
    text, _ = read_case("late")
    result = CliRunner().invoke(why, ["nobody"], input=text + "not json {\n")
    assert result.exit_code == 1
    assert "no log line mentions request nobody" in result.output
