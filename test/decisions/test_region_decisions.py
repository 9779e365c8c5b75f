"""Regions in which requests may be processed."""

from types import SimpleNamespace

import pytest

from tanagerwalk.decisions.allowed_regions import (
    AllowedRegions,
    find_regions,
    intersect_regions,
    list_unknown_regions,
)
from tanagerwalk.decisions.locations import Home
from tanagerwalk.outcomes import RefusalReason
from tanagerwalk.platform.manifests import parse_manifest
from tanagerwalk.standins.gateway_cluster import API_KEY, HOST, build_regional_manifest

HOME = Home("a-1", "a", {"a-1": "a", "a-2": "a", "b-1": "b", "c-1": "c"})


def build_server(domain):
    return SimpleNamespace(failure_domain=domain)


def parse(*args, **changes):
    return parse_manifest(build_regional_manifest(1, *args, **changes), 1).ok


def build_request(path, account="archive", key=API_KEY):
    return SimpleNamespace(host=HOST, path=path, account=account, key=key)


@pytest.mark.parametrize(
    ("regions", "domains"),
    [
        (None, {"a-1", "b-1", "x-1", ""}),
        ({"b"}, {"b-1"}),
        ({"a", "c", "elsewhere"}, {"a-1", "c-1"}),
        (set(), set()),
    ],
)
def test_servers_of_allowed_regions_only(regions, domains):
    allowed = AllowedRegions(HOME, None if regions is None else frozenset(regions))
    all_domains = ("a-1", "b-1", "c-1", "x-1", "")
    found = {d for d in all_domains if allowed.allows_server(build_server(d))}
    assert found == (domains if regions is not None else set(all_domains))


def test_peers_of_allowed_regions_and_of_the_own_one():
    allowed = AllowedRegions(HOME, frozenset({"b"}))
    domains = ("a-1", "a-2", "b-1", "c-1", "x-1", "", None)
    found = [domain for domain in domains if allowed.allows_peer(domain)]
    assert found == ["a-1", "a-2", "b-1"]


@pytest.mark.parametrize(
    ("regions", "domains", "unreachable", "reason"),
    [
        (None, [], [], None),
        (set(), ["a-1"], [], RefusalReason.NO_ALLOWED_REGION),
        ({"b"}, ["a-1", "x-1"], [], RefusalReason.NO_ALLOWED_SERVER),
        ({"b"}, ["b-1"], ["b-1"], RefusalReason.ALLOWED_REGIONS_UNREACHABLE),
        ({"b", "c"}, ["b-1", "c-1"], ["b-1"], None),
        ({"b"}, ["a-1", "b-1"], ["a-1"], None),
    ],
)
def test_refusal_tells_what_is_missing(regions, domains, unreachable, reason):
    allowed = AllowedRegions(HOME, None if regions is None else frozenset(regions))
    servers = map(build_server, domains)
    found = allowed.find_refusal(
        servers, lambda server: server.failure_domain not in unreachable
    )
    assert found is reason


def test_no_set_stands_for_all_regions():
    some = frozenset({"a"})
    assert intersect_regions(None, None) is None
    assert intersect_regions(None, some) == intersect_regions(some, None) == some
    assert intersect_regions(some, frozenset({"b"})) == frozenset()


@pytest.mark.parametrize(
    ("of_route", "of_account", "regions"),
    [
        ([], [], None),
        (["a"], [], {"a"}),
        ([], ["b"], {"b"}),
        (["a", "b"], ["b", "c"], {"b"}),
        (["a"], ["b"], set()),
    ],
)
def test_manifest_of_the_store_binds_by_route_and_account(
    of_route, of_account, regions
):
    manifest = parse({"jobs": of_route}, of_account)
    assert find_regions(manifest, build_request("/jobs/7")) == regions


def test_account_binds_without_its_route_and_without_need_of_its_key():
    manifest = parse({}, ["b"])
    assert find_regions(manifest, build_request("/gone/7")) == {"b"}
    assert find_regions(manifest, build_request("/open/7", account=None)) == {"b"}
    assert find_regions(manifest, build_request("/open/7", None, None)) is None


def test_unknown_regions_are_listed_and_kept():
    manifest = parse({"jobs": ["b", "d"], "open": ["a"]}, ["e", "c"])
    assert list_unknown_regions(manifest, HOME) == ["d", "e"]
    assert manifest.find_route(HOST, "/jobs/7").allowed_regions == {"b", "d"}
    assert list_unknown_regions(parse({}), HOME) == []
