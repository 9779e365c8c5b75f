"""Decoding of servers' entries that other writers have left."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from odd_servers import SERVER, encode_server, list_odd_entries

from tanagerwalk.platform.servers import parse_rollout_order, parse_server

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.sampled_from([*SERVER, "x"]), children, max_size=9)
    ),
)


def test_entry_of_a_server_is_decoded():
    assert parse_server("servers/i-1", encode_server(), 1).is_ok()


# Guards against an exception for bytes that another writer left, and against a server
# of impossible fields: numbers that overflow where they are used, addresses that can't
# be connected to, ids that add lines to requests.
@pytest.mark.parametrize(
    ("key", "value"),
    list_odd_entries(),
    ids=[f"{key[:20]!r}-{value[-40:]!r}" for key, value in list_odd_entries()],
)
def test_odd_entry_names_no_server(key, value):
    assert parse_server(key, value, 1).is_error()


@given(st.text(), st.binary())
def test_any_bytes_are_decoded_without_an_exception(name, data):
    parse_server(f"servers/{name}", data, 1)
    parse_rollout_order(f"op/rollout/{name}", data, 1)


@given(st.sampled_from([*SERVER, "stage", "models"]), JSON)
def test_any_field_is_decoded_without_an_exception(field, value):
    result = parse_server("servers/i-1", encode_server(**{field: value}), 1)
    if result.is_ok():
        server = result.ok
        assert 1 <= server.address[1] <= 65535
        assert server.slots >= 1
        assert server.service
