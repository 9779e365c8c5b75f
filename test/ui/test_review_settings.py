"""Numbers of the settings file that are no numbers of bytes. Found in a review."""

import pytest
from soak.fleet import SETTINGS_TEMPLATE

from tanagerwalk.ui.gateway import _load_settings


# Guards against a process that ends at its start by OverflowError, which is neither an
# OSError nor a ValueError.
@pytest.mark.parametrize("limit", ["memory_mb = inf", "memory_mb = nan"])
def test_number_without_a_value_is_a_problem_of_the_settings(tmp_path, limit):
    identity = {"name": "g", "ip": "127.0.0.1", "store": "127.0.0.1:5"}
    text = SETTINGS_TEMPLATE.format(**identity, front=1, ready=2, peers=3)
    path = tmp_path / "gateway.toml"
    path.write_text(f"{text}\n[limits]\n{limit}\n")
    assert _load_settings(path).is_error()
