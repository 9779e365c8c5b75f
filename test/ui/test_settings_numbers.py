"""Numbers of the settings file that no limit can have."""

import math
import resource
import struct

import pytest
from hypothesis import example, given
from hypothesis import strategies as st
from soak.fleet import SETTINGS_TEMPLATE

from tanagerwalk.gateway.descriptors import raise_system_limit
from tanagerwalk.platform import settings as platform_settings
from tanagerwalk.platform.settings import parse_settings
from tanagerwalk.ui.gateway import _load_settings

IDENTITY = """
node_name = "g"
ip = "127.0.0.1"
zone = "a-1"
region = "a"
port_range = [3, 4]
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:5"
"""
ODD_NUMBERS = ["inf", "-inf", "nan", "-1", "-1e-9", "1e308", "1" + "0" * 400]
NUMBERS = st.sampled_from([*ODD_NUMBERS, "1" * 5000, "true", '"7"', '"inf"']) | (
    st.integers().map(str) | st.floats().map(str)
)


def list_numbers():
    """Return the section and name of each number of the settings file."""
    sections = {
        "limits": platform_settings._Limits,
        "bounds": platform_settings._Bounds,
        "platform": platform_settings._Platform,
    }
    return [
        (section, name)
        for section, type_ in sections.items()
        for name, kind in type_.__annotations__.items()
        if kind in (int, float)
    ]


def write_with(section, name, number):
    """Return a settings file with one number in a section."""
    if section == "platform":
        return f"{IDENTITY}{name} = {number}\n"
    return f"{IDENTITY}[{section}]\n{name} = {number}\n"


# Guards against a process that ends at its start by OverflowError, which is neither an
# OSError nor a ValueError.
@pytest.mark.parametrize("limit", ["memory_mb = inf", "memory_mb = nan"])
def test_number_without_a_value_is_a_problem_of_the_settings(tmp_path, limit):
    identity = {"name": "g", "ip": "127.0.0.1", "store": "127.0.0.1:5"}
    text = SETTINGS_TEMPLATE.format(**identity, front=1, ready=2, peers=3)
    path = tmp_path / "gateway.toml"
    path.write_text(f"{text}\n[limits]\n{limit}\n")
    assert _load_settings(path).is_error()


# Guards against a number that is read and then ends the start, or the controller that
# reads the settings again on SIGHUP, where it is used.
@pytest.mark.parametrize(("section", "name"), list_numbers())
@given(number=NUMBERS)
@example(number="inf")
@example(number="nan")
@example(number="-1")
@example(number="1" + "0" * 400)
@example(number="1" * 5000)
def test_each_number_is_bounded_or_a_problem(section, name, number):
    result = parse_settings(write_with(section, name, number))
    if result.is_error():
        assert result.error.startswith("settings: ")
        return
    settings = result.ok
    numbers = [getattr(settings.bounds, each) for each in settings.bounds.__slots__]
    numbers += [settings.max_descriptors, settings.memory_limit]
    numbers += [settings.store.max_value_size]
    largest = platform_settings.MAX_NUMBER * platform_settings.BYTES_PER_MB
    assert all(0 <= each <= largest for each in numbers), numbers
    assert not any(math.isnan(each) for each in numbers)
    assert settings.max_descriptors <= platform_settings.MAX_NUMBER


# Guards against a start that ends by OverflowError where the system sets no limit.
def test_huge_number_of_descriptors_is_no_end_of_the_start(monkeypatch):
    wanted = []

    def set_limit(kind, limits):
        # The system call takes a C long; the real one would change this process.
        wanted.append(struct.unpack("l", struct.pack("l", limits[0]))[0])

    unlimited = (1024, resource.RLIM_INFINITY)
    monkeypatch.setattr(resource, "getrlimit", lambda kind: unlimited)
    monkeypatch.setattr(resource, "setrlimit", set_limit)
    number = "1" + "0" * 30
    result = parse_settings(write_with("limits", "max_fds", number))
    assert result.is_ok(), result.error
    raise_system_limit(result.ok.max_descriptors)
    assert wanted == [result.ok.max_descriptors]
