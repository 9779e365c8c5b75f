"""The load header of backend servers, with three figures, four, or odd ones."""

import pytest
from structlog.testing import capture_logs

from tanagerwalk.decisions.engine_load import EngineLoad
from tanagerwalk.logs import configure_logs
from tanagerwalk.platform.load_headers import parse_load
from tanagerwalk.repeated_warnings import RepeatedWarning


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (None, None),
        (b"3,0,8", EngineLoad(3, 0, 8)),
        (b"3, 1, 8, 100", EngineLoad(3, 1, 8, 1.0)),
        (b"3,0,8,250", EngineLoad(3, 0, 8, 2.5)),
        (b"3,0,8,62.5", EngineLoad(3, 0, 8, 0.625)),
        (b"3,0,8,100,7", EngineLoad(3, 0, 8, 1.0)),
        (b"3,0", None),
        (b"3,x,8,100", None),
    ],
)
def test_load_is_parsed(text, load):
    assert parse_load(text) == load


@pytest.mark.parametrize(
    "word", [b"", b"0", b"-250", b"nan", b"inf", b"x", b"1000000000", b"1e999"]
)
def test_counts_are_kept_beside_an_impossible_slowdown(word):
    assert parse_load(b"3,0,8," + word) == EngineLoad(3, 0, 8)


def test_problem_of_every_answer_is_logged_ever_more_rarely():
    configure_logs("debug")
    warning = RepeatedWarning("invalid")
    with capture_logs() as logs:
        for _ in range(1000):
            warning.record(value="x")
    assert [line["count"] for line in logs] == [2**n for n in range(10)]
