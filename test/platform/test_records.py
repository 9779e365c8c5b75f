"""Decoding of server entries, manifests, roll-out orders and settings."""

import json

import pytest

from tanagerwalk.manifest import Repeatability
from tanagerwalk.platform.manifests import MAX_NUMBER, parse_manifest
from tanagerwalk.platform.servers import parse_rollout_order, parse_server
from tanagerwalk.platform.settings import parse_settings
from tanagerwalk.registry import ServerState
from tanagerwalk.standins.gateway_cluster import (
    HOST,
    build_manifest,
    build_regional_manifest,
)

SERVER = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "a-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 12,
    "new_field": {},
}
SETTINGS = """
node_name = "front-1"
ip = "10.1.0.40"
zone = "a-1"
region = "a"
port_range = [7340,7355]
new_field = 1
[zones]
a-1 = "a"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
revoke_ms = 4000
strict_revoke = true
[platform]
address = "10.200.1.7:8223"
"""


def test_server_is_decoded():
    server = parse_server("servers/i-1", json.dumps(SERVER).encode(), 1).ok
    assert server.id == "i-1"
    assert server.address == ("10.0.0.1", 80)
    assert server.state is ServerState.READY


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"slots": "six"},
        {"slots": 0},
        {"address": "nowhere"},
        {"service": 3},
        {"zone": None},
        {"service": ""},
    ],
)
def test_invalid_server_entry_is_an_error(change):
    data = json.dumps(SERVER | change).encode()
    assert parse_server("servers/i-1", data, 1).is_error()


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"{", b"null"])
def test_undecodable_server_entry_is_an_error(data):
    assert parse_server("servers/i-1", data, 1).is_error()


def test_longest_matching_route_prefix_is_chosen():
    routes = [
        {"name": n, "host": HOST, "prefix": p, "kind": "idempotent", "service": "s"}
        for n, p in (("short", "/a/"), ("long", "/a/b/"))
    ]
    manifest = parse_manifest(build_manifest(routes=routes), 5).ok
    assert manifest.find_route(HOST, "/a/b/c").name == "long"
    assert manifest.find_route(HOST, "/a/bc").name == "short"
    assert manifest.find_route(HOST, "/ab") is None
    assert manifest.find_route("x", "/a/b/c") is None


def test_manifest_is_decoded():
    manifest = parse_manifest(build_manifest(), 5).ok
    plan = manifest.find_route(HOST, "/plans/1")
    assert plan.repeatability is Repeatability.STREAM
    assert plan.repeatable
    assert not manifest.find_route(HOST, "/bookings/1").repeatable
    assert manifest.revision == 5
    assert manifest.limits.header_size == 4096


def test_allowed_regions_are_decoded():
    data = build_regional_manifest(1, {"jobs": ["a", "b"]}, ["b", "c"])
    manifest = parse_manifest(data, 5).ok
    jobs = manifest.find_route(HOST, "/jobs/1")
    assert jobs.allowed_regions == {"a", "b"}
    assert manifest.account_regions == {"archive": {"b", "c"}}
    assert manifest.find_allowed_regions(jobs, "archive") == {"b"}
    plans = manifest.find_route(HOST, "/plans/1")
    assert manifest.find_allowed_regions(plans, None) is None


@pytest.mark.parametrize("regions", ["a", [1], {"a": 1}])
def test_allowed_regions_that_are_no_list_of_names_are_an_error(regions):
    data = build_regional_manifest(1, {"jobs": regions})
    assert parse_manifest(data, 5).is_error()


def test_regions_of_failure_domains_are_decoded():
    assert parse_settings(SETTINGS).ok.regions == {"a-1": "a"}


@pytest.mark.parametrize("data", [b"", b"{}", b'{"routes":[{}],"services":[]}'])
def test_invalid_manifest_is_an_error(data):
    assert parse_manifest(data, 5).is_error()


def test_order_must_name_its_own_service():
    data = b'{"service":"desk","target":"v2","duration_s":12}'
    assert parse_rollout_order("op/rollout/desk", data, 7).ok.target == "v2"
    assert parse_rollout_order("op/rollout/other", data, 7).is_error()


@pytest.mark.parametrize("value", ["true", "false"])
def test_preference_for_the_own_failure_domain_can_be_turned_off(value):
    text = f"{SETTINGS}\n[routing]\nprefer_own_zone = {value}\n"
    assert parse_settings(SETTINGS).ok.prefers_own_domain
    assert parse_settings(text).ok.prefers_own_domain == (value == "true")


def test_settings_are_decoded():
    settings = parse_settings(SETTINGS).ok
    assert settings.listeners.clients == ("10.1.0.40", 8227)
    assert settings.bounds.revocation_delay == 4.0
    assert settings.bounds.strict_revocation


@pytest.mark.parametrize(
    ("old", "new"),
    [("8223", "x"), ('node_name = "front-1"', ""), ("[zones]", "[zones")],
)
def test_invalid_settings_give_a_one_line_error(old, new):
    error = parse_settings(SETTINGS.replace(old, new)).error
    assert error.startswith("settings: ")
    assert "\n" not in error


# A rate near the largest float made each choice of a server raise an overflow.
def test_huge_numbers_of_a_service_are_bounded():
    service = {"name": "desk", "cold_per_s": 1.3e308, "cold_start_s": -1.0}
    wire = {"version": 1, "routes": [], "services": [service]}
    data = json.dumps(wire).encode()
    found = parse_manifest(data, 1).ok.services["desk"]
    assert found.cold_rate <= MAX_NUMBER
    assert found.cold_start == 0.0
