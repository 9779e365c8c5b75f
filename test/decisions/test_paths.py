"""Tests of the network paths from an instance to the backend servers."""

from tanagerwalk.decisions.paths import PathTable


def test_path_is_lost_until_a_connection_opens():
    paths = PathTable()
    assert paths.record_failure("s", 1.0)
    assert not paths.record_failure("s", 2.0)
    assert paths.is_lost("s")
    assert paths.record_opened("s", 4.5) == 3.5
    assert not paths.is_lost("s")
    assert paths.record_opened("s", 5.0) is None
